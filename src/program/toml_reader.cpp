#include "program/toml_reader.hpp"

#include <algorithm>

namespace indigovane::program {

using limits::Duration;

namespace {

// A known key is suggested for an unknown one if their edit distance is at most this.
constexpr std::size_t kMaxTypingErrors = 2;

// Returns the Levenshtein distance of two texts.
std::size_t edit_distance(std::string_view first, std::string_view second) {
    std::vector<std::size_t> row(second.size() + 1);
    for (std::size_t j = 0; j <= second.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= first.size(); ++i) {
        std::size_t corner = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= second.size(); ++j) {
            std::size_t above = row[j];
            row[j] = std::min({above + 1, row[j - 1] + 1, corner + (first[i - 1] == second[j - 1] ? 0 : 1)});
            corner = above;
        }
    }
    return row[second.size()];
}

ConfigMistake mistake_at(const std::string& file, const toml::source_region& at, std::string what) {
    return {file, std::uint32_t(at.begin.line), std::uint32_t(at.begin.column), std::move(what)};
}

constexpr const char* kDurationDescription = R"(a duration like "250ms" or "2s")";

}  // namespace

toml::table parse_toml(const std::string& text, const std::string& file) {
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        throw ConfigError({mistake_at(file, error.source(), std::string(error.description()))});
    }
}

std::string read_operators_file(const std::string& path) {
    return read_config_file(path, ConfigError(path, "the file can't be read"));
}

void TomlReader::report_error(const toml::source_region& at, const std::string& what) {
    errors_.push_back(mistake_at(file_, at, what));
}

void TomlReader::finish() const {
    if (!errors_.empty()) throw ConfigError(errors_);
}

void TomlReader::read_table(Table& parent, const char* key, const ReadTable& read) {
    const toml::node* node = parent.find(key);
    if (!node) return;
    const toml::table* found = node->as_table();
    if (!found) return report_error(node->source(), "[" + std::string(key) + "] must be a table");
    Table table(*this, *found, "[" + std::string(key) + "]");
    read(table);
}

void TomlReader::read_tables(Table& parent, const char* key, const ReadTable& read) {
    const toml::node* node = parent.find(key);
    if (!node) return;
    std::string name = "[[" + std::string(key) + "]]";
    const toml::array* items = node->as_array();
    if (!items) return report_error(node->source(), name + " must be an array of tables");
    for (const toml::node& item : *items) {
        const toml::table* found = item.as_table();
        if (!found) {
            report_error(item.source(), name + " must be a table");
            continue;
        }
        Table table(*this, *found, name);
        read(table);
    }
}

TomlReader::Table::~Table() {
    for (const auto& [key, node] : table_) {
        std::string unknown(key.str());
        if (known_keys_.count(unknown)) continue;
        std::string similar = similar_key(unknown);
        reader_.report_error(key.source(), "'" + unknown + "' is not known in " + name_ +
                                               (similar.empty() ? "" : "; did you mean '" + similar + "'?"));
    }
}

std::string TomlReader::Table::similar_key(const std::string& unknown) const {
    std::string similar;
    for (const std::string& key : known_keys_)
        if (edit_distance(unknown, key) <= kMaxTypingErrors) similar = key;
    return similar;
}

const toml::node* TomlReader::Table::find(const char* key) {
    known_keys_.insert(key);
    return table_.get(key);
}

void TomlReader::Table::report_invalid(const toml::node& node, const char* key, const std::string& expected) {
    reader_.report_error(node.source(), std::string(key) + ": " + expected + " is wanted");
}

void TomlReader::Table::report_invalid_with_unit(const toml::node& node, const char* key,
                                                 const std::string& expected) {
    auto text = node.value_exact<std::string>();
    bool has_no_unit = node.is_number() || (text && !text->empty() &&
                                            text->find_first_not_of("0123456789.") == std::string::npos);
    const char* hint = has_no_unit ? " (a number without a unit is none)" : "";
    reader_.report_error(node.source(), std::string(key) + ": " + expected + " is wanted" + hint);
}

void TomlReader::Table::read_duration(const char* key, Duration& out) {
    read_with_unit<Duration>(key, out, kDurationDescription, [](std::string_view text) {
        auto duration = program::read_duration(text);
        return duration && duration->count() > 0 ? duration : std::nullopt;
    });
}

void TomlReader::Table::read_duration_or_zero(const char* key, Duration& out) {
    read_with_unit<Duration>(key, out, kDurationDescription, program::read_duration);
}

void TomlReader::Table::read_size(const char* key, std::size_t& out, const char* expected,
                                  std::size_t minimum, std::size_t maximum) {
    read_with_unit<std::size_t>(key, out, expected, [=](std::string_view text) {
        auto bytes = program::read_size(text);
        return bytes && *bytes >= minimum && *bytes <= maximum ? bytes : std::nullopt;
    });
}

std::string TomlReader::Table::read_required_name(const char* key) {
    std::string out;
    if (find(key))
        read_value<std::string>(key, out, "a name in quotes",
                                [](const std::string& name) { return !name.empty(); });
    else
        reader_.report_error(table_.source(), name_ + " needs a '" + key + "'");
    return out;
}

std::vector<std::string> TomlReader::Table::read_names(const char* key) {
    std::vector<std::string> names;
    const toml::node* node = find(key);
    if (!node) return names;
    const toml::array* items = node->as_array();
    if (!items) {
        report_invalid(*node, key, "a list of names");
        return names;
    }
    for (const toml::node& item : *items)
        if (auto name = item.value_exact<std::string>(); name && !name->empty())
            names.push_back(*name);
        else
            reader_.report_error(item.source(), std::string(key) + ": each item must be a name in quotes");
    return names;
}

void read_single_table(const std::string& text, const std::string& file, const char* key,
                       const std::function<void(TomlReader&, TomlReader::Table&)>& read) {
    toml::table parsed = parse_toml(text, file);
    TomlReader reader(file);
    {
        TomlReader::Table root(reader, parsed, "the file");
        if (!root.find(key)) reader.report_error(parsed.source(), "[" + std::string(key) + "] is missing");
        reader.read_table(root, key, [&](TomlReader::Table& table) { read(reader, table); });
    }
    reader.finish();
}

}  // namespace indigovane::program
