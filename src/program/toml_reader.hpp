// Reads TOML files of the operator's: every key at most once, every mistake with file, line and column,
// unknown keys told.
#pragma once

#include <algorithm>
#include <fstream>
#include <functional>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#define TOML_EXCEPTIONS 1
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include "program/units.hpp"
#include "statement/statement_profile.hpp"

namespace indigovane::program {

using limits::Duration;
using statement::Route;

inline toml::table parse_toml(const std::string& text, const std::string& file) {
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        throw FileError(file + ":" + std::to_string(error.source().begin.line) + ":" +
                        std::to_string(error.source().begin.column) + ": " +
                        std::string(error.description()));
    }
}

inline std::string read_operators_file(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw FileError(path + ": it can't be read");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

inline std::size_t distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t corner = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            std::size_t above = row[j];
            row[j] = std::min({above + 1, row[j - 1] + 1, corner + (a[i - 1] == b[j - 1] ? 0 : 1)});
            corner = above;
        }
    }
    return row[b.size()];
}

class TomlReader {
  public:
    explicit TomlReader(std::string file) : file_(std::move(file)) {}

    void wrong(const toml::source_region& at, const std::string& what) {
        mistakes_.push_back(file_ + ":" + std::to_string(at.begin.line) + ":" +
                            std::to_string(at.begin.column) + ": " + what);
    }
    void finish() const {
        if (mistakes_.empty()) return;
        std::string all;
        for (const std::string& m : mistakes_) all += (all.empty() ? "" : "\n") + m;
        throw FileError(all);
    }

    // A table's keys, each read at most once; what nobody has read is a mistake.
    class Table {
      public:
        Table(TomlReader& reader, const toml::table& table, std::string where)
            : reader_(reader), table_(table), where_(std::move(where)) {}
        ~Table() {
            for (const auto& [key, node] : table_) {
                std::string name(key.str());
                if (known_.count(name)) continue;
                std::string meant;
                for (const std::string& k : known_)
                    if (distance(name, k) <= 2) meant = k;
                reader_.wrong(key.source(), "'" + name + "' is not known in " + where_ +
                                                (meant.empty() ? "" : "; did you mean '" + meant + "'?"));
            }
        }
        const toml::node* get(const char* key) {
            known_.insert(key);
            return table_.get(key);
        }
        template <typename T>
        void value(const char* key, T& out, const char* wanted, const std::function<bool(T)>& fits = {}) {
            const toml::node* node = get(key);
            if (!node) return;
            auto v = node->value_exact<T>();
            if (!v || (fits && !fits(*v)))
                return reader_.wrong(node->source(), std::string(key) + ": " + wanted + " is wanted");
            out = *v;
        }
        template <typename T>
        void unit(const char* key, T& out, const char* wanted,
                  const std::function<std::optional<T>(std::string_view)>& read) {
            const toml::node* node = get(key);
            if (!node) return;
            auto text = node->value_exact<std::string>();
            auto v = text ? read(*text) : std::nullopt;
            if (!v) {
                std::string hint;
                if (node->is_number() ||
                    (text && !text->empty() && text->find_first_not_of("0123456789.") == std::string::npos))
                    hint = " (a number without a unit is none)";
                return reader_.wrong(node->source(), std::string(key) + ": " + wanted + " is wanted" + hint);
            }
            out = *v;
        }
        void duration(const char* key, Duration& out, bool positive = true) {
            unit<Duration>(key, out, "a duration like \"250ms\" or \"2s\"", [&](std::string_view t) {
                auto d = read_duration(t);
                return d && (!positive || d->count() > 0) ? d : std::nullopt;
            });
        }
        template <typename T>
        void size(const char* key, T& out, T least, T most) {
            std::int64_t v = std::int64_t(out);
            std::string wanted =
                "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
            value<std::int64_t>(key, v, wanted.c_str(), [&](std::int64_t n) {
                return n >= std::int64_t(least) && n <= std::int64_t(most);
            });
            out = T(v);
        }
        void route(const char* key, Route& out) {
            std::string text;
            value<std::string>(key, text, "\"primary\" or \"refuse\"",
                               [](std::string s) { return s == "primary" || s == "refuse"; });
            if (!text.empty()) out = text == "primary" ? Route::primary : Route::refuse;
        }
        std::string name(const char* key = "name") {
            std::string out;
            if (!get(key)) {
                reader_.wrong(table_.source(), where_ + " needs a '" + key + "'");
                return out;
            }
            value<std::string>(key, out, "a name in quotes", [](std::string s) { return !s.empty(); });
            return out;
        }
        std::vector<std::string> names(const char* key) {
            std::vector<std::string> out;
            const toml::node* node = get(key);
            if (!node) return out;
            const toml::array* list = node->as_array();
            if (!list) {
                reader_.wrong(node->source(), std::string(key) + ": a list of names is wanted");
                return out;
            }
            for (const toml::node& item : *list)
                if (auto s = item.value_exact<std::string>(); s && !s->empty())
                    out.push_back(*s);
                else
                    reader_.wrong(item.source(), std::string(key) + ": each is a name in quotes");
            return out;
        }
        const toml::table& raw() const { return table_; }

      private:
        TomlReader& reader_;
        const toml::table& table_;
        std::string where_;
        std::set<std::string> known_;
    };

    void each(Table& root, const char* key, const std::function<void(Table&)>& read) {
        const toml::node* node = root.get(key);
        if (!node) return;
        const toml::array* list = node->as_array();
        if (!list) return wrong(node->source(), "[[" + std::string(key) + "]] is wanted");
        for (const toml::node& item : *list) {
            const toml::table* t = item.as_table();
            if (!t) {
                wrong(item.source(), "[[" + std::string(key) + "]] is wanted");
                continue;
            }
            Table table(*this, *t, "[[" + std::string(key) + "]]");
            read(table);
        }
    }
    void one(Table& root, const char* key, const std::function<void(Table&)>& read) {
        const toml::node* node = root.get(key);
        if (!node) return;
        const toml::table* t = node->as_table();
        if (!t) return wrong(node->source(), "[" + std::string(key) + "] is a table");
        Table table(*this, *t, "[" + std::string(key) + "]");
        read(table);
    }

  private:
    std::string file_;
    std::vector<std::string> mistakes_;
};

// A file that holds one table, [key], and nothing else.
inline void read_only_table(const std::string& text, const std::string& file, const char* key,
                            const std::function<void(TomlReader&, TomlReader::Table&)>& read) {
    toml::table parsed = parse_toml(text, file);
    TomlReader reader(file);
    {
        TomlReader::Table root(reader, parsed, "the file");
        if (!root.get(key)) reader.wrong(parsed.source(), "[" + std::string(key) + "] is missing");
        reader.one(root, key, [&](TomlReader::Table& t) { read(reader, t); });
    }
    reader.finish();
}

}  // namespace indigovane::program
