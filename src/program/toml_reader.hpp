// Reads the operator's TOML files. A key may occur only once, and unknown keys are mistakes. Each mistake is
// reported with file, line and column. A file is read to its end, so that one run finds all its mistakes.
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

// Throws ConfigError with the place of the first syntax error.
toml::table parse_toml(const std::string& text, const std::string& file);
// Returns the file's text. Throws ConfigError if the file can't be read.
std::string read_operators_file(const std::string& path);

class TomlReader {
  public:
    class Table;
    using ReadTable = std::function<void(Table&)>;

    explicit TomlReader(std::string file) : file_(std::move(file)) {}

    void report_error(const toml::source_region& at, const std::string& what);
    // Throws ConfigError with all reported errors, if there are any. All Table objects must be destroyed
    // before, because their destructors report unknown keys.
    void finish() const;

    // Reads the table [key], if the file has it.
    void read_table(Table& parent, const char* key, const ReadTable& read);
    // Reads each table [[key]].
    void read_tables(Table& parent, const char* key, const ReadTable& read);

  private:
    std::string file_;
    std::vector<ConfigMistake> errors_;
};

// Reads the keys of a table. Each function that takes a key leaves `out` unchanged if the key is missing or
// its value is invalid, and reports an error in the second case. `expected` describes a valid value in that
// error. The destructor reports the keys that no function was called for.
class TomlReader::Table {
  public:
    // `name` is the table's name in errors.
    Table(TomlReader& reader, const toml::table& table, std::string name)
        : reader_(reader), table_(table), name_(std::move(name)) {}
    ~Table();
    Table(const Table&) = delete;
    Table& operator=(const Table&) = delete;

    // Returns the key's node, or a null pointer if the key is missing.
    const toml::node* find(const char* key);

    // Reads a value of TOML type T for which `is_valid`, if given, returns true.
    template <typename T>
    void read_value(const char* key, T& out, const char* expected,
                    const std::function<bool(T)>& is_valid = {}) {
        const toml::node* node = find(key);
        if (!node) return;
        auto value = node->value_exact<T>();
        if (value && (!is_valid || is_valid(*value)))
            out = *value;
        else
            report_invalid(*node, key, expected);
    }
    // Reads a value with a unit, which is written as a string and converted by `parse`.
    template <typename T>
    void read_with_unit(const char* key, T& out, const char* expected,
                        const std::function<std::optional<T>(std::string_view)>& parse) {
        const toml::node* node = find(key);
        if (!node) return;
        auto text = node->value_exact<std::string>();
        auto value = text ? parse(*text) : std::nullopt;
        if (value)
            out = *value;
        else
            report_invalid_with_unit(*node, key, expected);
    }
    // Reads a whole number from `minimum` to `maximum`.
    template <typename T>
    void read_whole_number(const char* key, T& out, T minimum, T maximum) {
        auto value = std::int64_t(out);
        std::string expected =
            "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
        read_value<std::int64_t>(key, value, expected.c_str(), [&](std::int64_t number) {
            return number >= std::int64_t(minimum) && number <= std::int64_t(maximum);
        });
        out = T(value);
    }
    void read_bool(const char* key, bool& out) { read_value<bool>(key, out, "true or false"); }
    // Reads a duration above 0.
    void read_duration(const char* key, limits::Duration& out);
    void read_duration_or_zero(const char* key, limits::Duration& out);
    // Reads a size from `minimum` to `maximum` bytes.
    void read_size(const char* key, std::size_t& out, const char* expected, std::size_t minimum,
                   std::size_t maximum);
    // Reads a name in quotes. Reports an error and returns an empty name if the name is missing or empty.
    std::string read_required_name(const char* key = "name");
    // Reads a list of names in quotes; empty if the key is missing.
    std::vector<std::string> read_names(const char* key);

    const toml::table& raw() const { return table_; }

  private:
    void report_invalid(const toml::node& node, const char* key, const std::string& expected);
    void report_invalid_with_unit(const toml::node& node, const char* key, const std::string& expected);
    std::string similar_key(const std::string& unknown) const;

    TomlReader& reader_;
    const toml::table& table_;
    std::string name_;
    // The keys that a function was called for.
    std::set<std::string> known_keys_;
};

// Reads a file that must have the table [key] and nothing else. Throws ConfigError with all mistakes.
void read_single_table(const std::string& text, const std::string& file, const char* key,
                       const std::function<void(TomlReader&, TomlReader::Table&)>& read);

}  // namespace indigovane::program
