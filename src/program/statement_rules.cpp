#include "program/statement_rules.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

#define TOML_EXCEPTIONS 1
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace indigovane::program {

using limits::Duration;
using statement::Effect;
using statement::Kind;
using statement::Route;

namespace {

// A whole number or a decimal with a unit of the table behind it.
template <std::size_t N>
std::optional<double> with_unit(std::string_view text,
                                const std::pair<std::string_view, double> (&units)[N]) {
    double value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || value < 0 || value > 1e15) return std::nullopt;
    std::string_view unit = text.substr(std::size_t(end - text.data()));
    for (auto [name, factor] : units)
        if (unit == name) return value * factor;
    return std::nullopt;
}

std::size_t distance(std::string_view a, std::string_view b) {
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

class Reader {
  public:
    explicit Reader(std::string file) : file_(std::move(file)) {}

    void wrong(const toml::source_region& at, const std::string& what) {
        mistakes_.push_back(file_ + ":" + std::to_string(at.begin.line) + ":" +
                            std::to_string(at.begin.column) + ": " + what);
    }
    void finish() const {
        if (mistakes_.empty()) return;
        std::string all;
        for (const std::string& m : mistakes_) all += (all.empty() ? "" : "\n") + m;
        throw StatementConfigError(all);
    }

    // A table's keys, each read at most once; what nobody has read is a mistake.
    class Table {
      public:
        Table(Reader& reader, const toml::table& table, std::string where)
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
        Reader& reader_;
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

Effect effect(Reader::Table& t, Effect fallback) {
    std::string text;
    t.value<std::string>("effect", text, "\"reads\", \"writes\" or \"session\"",
                         [](std::string s) { return s == "reads" || s == "writes" || s == "session"; });
    return text == "reads"     ? Effect::reads
           : text == "writes"  ? Effect::writes
           : text == "session" ? Effect::session
                               : fallback;
}

void read_classes(Reader& reader, Reader::Table& root, StatementConfig& c) {
    std::set<std::string> seen;
    reader.each(root, "class", [&](Reader::Table& t) {
        statement::ClassRule rule;
        rule.name = t.name();
        for (const std::string& hex : t.names("shapes")) {
            statement::Shape shape;
            if (!statement::Shape::parse(hex, shape))
                reader.wrong(t.raw().get("shapes")->source(),
                             "shapes: '" + hex + "' is no shape of 32 hex digits");
            else if (!seen.insert("shape " + hex).second)
                reader.wrong(t.raw().get("shapes")->source(), "shapes: '" + hex + "' has a class already");
            else
                rule.shapes.push_back(shape);
        }
        rule.tables = t.names("tables");
        for (const std::string& table : rule.tables)
            if (!seen.insert("table " + table).second)
                reader.wrong(t.raw().get("tables")->source(), "tables: '" + table + "' has a class already");
        for (const std::string& text : t.names("kinds")) {
            Kind kind{};
            if (!statement::parse_kind(text, kind) || kind == Kind::many || kind == Kind::invalid)
                reader.wrong(
                    t.raw().get("kinds")->source(),
                    "kinds: '" + text + "' is none of read, locking, write, session, transaction, utility");
            else if (!seen.insert("kind " + text).second)
                reader.wrong(t.raw().get("kinds")->source(), "kinds: '" + text + "' has a class already");
            else
                rule.kinds.push_back(kind);
        }
        Duration cost{}, bound{};
        t.duration("cost", cost);
        t.duration("bound", bound);
        rule.cost_us = std::uint32_t(std::min<std::int64_t>(cost.count(), 60'000'000));
        rule.bound_us = std::uint64_t(bound.count());
        if (rule.shapes.empty() && rule.tables.empty() && rule.kinds.empty() && bound.count() == 0)
            reader.wrong(t.raw().source(),
                         "[[class]] names no shapes, tables, kinds or bound: it says nothing");
        c.rules.add_class(std::move(rule));
    });
}

void read_limits(Reader& reader, Reader::Table& root, StatementConfig& c) {
    limits::Settings& l = c.limits;
    reader.one(root, "limits", [&](Reader::Table& t) {
        t.value<bool>("enabled", l.enabled, "true or false");
        t.duration("work", l.work);
        t.unit<double>("reserve", l.reserve, "a percentage like \"25%\", up to 90%", [](std::string_view s) {
            auto p = read_percentage(s);
            return p && *p <= 0.9 ? p : std::nullopt;
        });
        t.size<std::size_t>("queue", l.queue, 0, 100000);
        t.duration("wait", l.wait, false);
        t.size<std::size_t>("shapes", l.shapes, 16, 1000000);
        t.unit<double>("shape_share", l.shape_share, "a percentage like \"25%\"", [](std::string_view s) {
            auto p = read_percentage(s);
            return p && *p > 0 && *p <= 1 ? p : std::nullopt;
        });
        t.duration("costly", l.costly);
        t.size<unsigned>("trial", l.trial, 1, 1000);
        t.size<unsigned>("trial_outcomes", l.trial_outcomes, 1, 1000);
        t.size<unsigned>("timeouts", l.timeouts, 1, 1000);
        t.duration("quarantine", l.quarantine);
        t.duration("quarantine_most", l.quarantine_most);
        t.duration("longest_retry_after", l.longest_retry_after);
        if (l.quarantine_most < l.quarantine)
            reader.wrong(t.raw().source(), "quarantine_most: shorter than quarantine");
    });
    double total = 0;
    reader.each(root, "share", [&](Reader::Table& t) {
        std::string tenant = t.name("tenant");
        double share = 0;
        t.unit<double>("share", share, "a percentage like \"59%\"", [](std::string_view s) {
            auto p = read_percentage(s);
            return p && *p > 0 && *p <= 1 ? p : std::nullopt;
        });
        if (!t.raw().get("share")) reader.wrong(t.raw().source(), "[[share]] needs a 'share'");
        total += share;
        if (total > 1 + 1e-9) reader.wrong(t.raw().source(), "the shares come to more than 100%");
        if (tenant == "*")
            l.other_share = share;
        else if (!l.shares.emplace(tenant, share).second)
            reader.wrong(t.raw().source(), "'" + tenant + "' has a share already");
    });
    if (!l.shares.empty() && l.other_share >= 1) l.other_share = std::max(0.01, 1 - total);
}

}  // namespace

std::optional<Duration> read_duration(std::string_view text) {
    static constexpr std::pair<std::string_view, double> units[] = {
        {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}};
    auto v = with_unit(text, units);
    return v && *v < 9e15 ? std::optional(Duration(std::int64_t(*v))) : std::nullopt;
}

std::optional<std::size_t> read_size(std::string_view text) {
    static constexpr std::pair<std::string_view, double> units[] = {
        {"B", 1}, {"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824.0}};
    auto v = with_unit(text, units);
    return v ? std::optional(std::size_t(*v)) : std::nullopt;
}

std::optional<double> read_percentage(std::string_view text) {
    static constexpr std::pair<std::string_view, double> units[] = {{"%", 0.01}};
    return with_unit(text, units);
}

StatementConfig parse_statement_config(const std::string& text, const std::string& file) {
    toml::table parsed;
    try {
        parsed = toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        throw StatementConfigError(file + ":" + std::to_string(error.source().begin.line) + ":" +
                                   std::to_string(error.source().begin.column) + ": " +
                                   std::string(error.description()));
    }
    StatementConfig c;
    Reader reader(file);
    {
        Reader::Table root(reader, parsed, "the file");
        reader.one(root, "statements", [&](Reader::Table& t) {
            t.value<bool>("open", c.open, "true or false");
            t.route("unparsed", c.rules.policy.unparsed);
            t.route("session", c.rules.policy.session);
            t.route("transaction", c.rules.policy.transaction);
            auto bytes = [](std::size_t least, std::size_t most) {
                return [=](std::string_view s) {
                    auto v = read_size(s);
                    return v && *v >= least && *v <= most ? v : std::nullopt;
                };
            };
            t.unit<std::size_t>("cache", c.judge.cache, "a size like \"8MiB\", from 64KiB to 1GiB",
                                bytes(64 << 10, 1 << 30));
            t.unit<std::size_t>("longest_parsed", c.judge.longest_parsed,
                                "a size like \"16KiB\", from 256B to 1MiB", bytes(256, 1 << 20));
            t.size<double>("parses_per_second", c.judge.parses_per_second, 1, 1e6);
            if (t.get("group")) {
                std::uint32_t group = 0;
                t.size<std::uint32_t>("group", group, 0, 0xffffffffu);
                c.group = group;
            }
            t.value<std::string>("read_class", c.read_class, "a class's name");
            t.value<std::string>("primary_class", c.primary_class, "a class's name");
            t.value<std::string>("write_class", c.write_class, "a class's name");
        });
        reader.each(root, "function", [&](Reader::Table& t) {
            std::string name = t.name();
            c.rules.declare_function(name, effect(t, Effect::writes));
        });
        reader.each(root, "operator", [&](Reader::Table& t) {
            std::string name = t.name();
            c.rules.declare_operator(name, effect(t, Effect::reads));
        });
        reader.each(root, "relation", [&](Reader::Table& t) {
            std::string name = t.name();
            c.rules.declare_relation(name, effect(t, Effect::writes));
        });
        reader.each(root, "type", [&](Reader::Table& t) { c.rules.declare_type(t.name()); });
        read_classes(reader, root, c);
        read_limits(reader, root, c);
    }
    reader.finish();
    return c;
}

StatementConfig read_statement_config(const std::string& path) {
    std::ifstream in(path);
    if (!in) throw StatementConfigError(path + ": it can't be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parse_statement_config(text.str(), path);
}

}  // namespace indigovane::program
