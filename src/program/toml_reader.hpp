// Reads the operator's TOML files: each key at most once, each mistake with file, line and column, unknown
// keys reported. A file is read to its end, so that one run finds all its mistakes.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#define TOML_EXCEPTIONS 1
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include "program/config_error.hpp"
#include "program/units.hpp"

namespace indigovane::program {

// Throws ConfigError with the place of the first mistake in the syntax.
toml::table parse_toml(const std::string& text, const std::string& file);
// The file's text. Throws ConfigError where it can't be read.
std::string read_operators_file(const std::string& path);

class TomlReader {
  public:
    class Table;
    using ReadTable = std::function<void(Table&)>;

    explicit TomlReader(std::string file) : file_(std::move(file)) {}

    void report_error(const toml::source_region& at, const std::string& what);
    // Throws ConfigError with all errors that were reported. All tables must be destroyed before it.
    void finish() const;

    // [key], where it is there.
    void read_table(Table& parent, const char* key, const ReadTable& read);
    // Each [[key]].
    void read_tables(Table& parent, const char* key, const ReadTable& read);

  private:
    std::string file_;
    std::vector<ConfigMistake> errors_;
};

// A table's keys. Each function that takes a key leaves `out` as it is where the key is missing, and reports
// an error where the value is not as wanted. The destructor reports keys that none has asked for.
class TomlReader::Table {
  public:
    // `name` is the table's in errors.
    Table(TomlReader& reader, const toml::table& table, std::string name)
        : reader_(reader), table_(table), name_(std::move(name)) {}
    ~Table();
    Table(const Table&) = delete;
    Table& operator=(const Table&) = delete;

    const toml::node* find(const char* key);

    template <typename T>
    void read_value(const char* key, T& out, const char* wanted, const std::function<bool(T)>& fits = {}) {
        const toml::node* node = find(key);
        if (!node) return;
        auto value = node->value_exact<T>();
        if (value && (!fits || fits(*value)))
            out = *value;
        else
            report_wanted(*node, key, wanted);
    }
    // A value with a unit, written as a string.
    template <typename T>
    void read_with_unit(const char* key, T& out, const char* wanted,
                        const std::function<std::optional<T>(std::string_view)>& parse) {
        const toml::node* node = find(key);
        if (!node) return;
        auto text = node->value_exact<std::string>();
        auto value = text ? parse(*text) : std::nullopt;
        if (value)
            out = *value;
        else
            report_unit_wanted(*node, key, wanted);
    }
    template <typename T>
    void read_whole_number(const char* key, T& out, T least, T most) {
        auto value = std::int64_t(out);
        std::string wanted = "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
        read_value<std::int64_t>(key, value, wanted.c_str(), [&](std::int64_t number) {
            return number >= std::int64_t(least) && number <= std::int64_t(most);
        });
        out = T(value);
    }
    void read_bool(const char* key, bool& out) { read_value<bool>(key, out, "true or false"); }
    void read_duration(const char* key, limits::Duration& out);  // above 0
    void read_duration_or_zero(const char* key, limits::Duration& out);
    // Bytes, from `least` to `most`.
    void read_size(const char* key, std::size_t& out, const char* wanted, std::size_t least,
                   std::size_t most);
    // A name in quotes; missing or empty: an error, and an empty name.
    std::string read_required_name(const char* key = "name");
    std::vector<std::string> read_names(const char* key);

    const toml::table& raw() const { return table_; }

  private:
    void report_wanted(const toml::node& node, const char* key, const std::string& wanted);
    void report_unit_wanted(const toml::node& node, const char* key, const std::string& wanted);
    std::string similar_key(const std::string& unknown) const;

    TomlReader& reader_;
    const toml::table& table_;
    std::string name_;
    std::set<std::string> known_;  // keys that were asked for
};

// A file that holds one table, [key], and nothing else.
void read_single_table(const std::string& text, const std::string& file, const char* key,
                       const std::function<void(TomlReader&, TomlReader::Table&)>& read);

}  // namespace indigovane::program
