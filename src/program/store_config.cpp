#include "program/store_config.hpp"

#include "program/toml_reader.hpp"
#include "store/environment.hpp"

namespace indigovane::program {

namespace {

constexpr std::size_t kKiB = 1 << 10;
constexpr std::size_t kMiB = 1 << 20;
constexpr std::size_t kGiB = 1 << 30;

void read_store(TomlReader::Table& table, StoreConfig& config) {
    config.folder = table.read_required_name("folder");
    table.read_size("budget", config.max_log_bytes, R"(a size like "256MiB", from 1MiB to 64GiB)", kMiB,
                    64 * kGiB);
    table.read_size("segment", config.segment_bytes, R"(a size like "4MiB", from 64KiB to 64MiB)", 64 * kKiB,
                    64 * kMiB);
    table.read_size("compact_per_second", config.compact_bytes_per_second,
                    R"(a size like "8MiB", from 64KiB up)", 64 * kKiB, 4 * kGiB);
    table.read_duration_or_zero("sync_interval", config.sync_interval);
    table.read_duration("retention", config.retention);
    table.read_duration("lease", config.lease);
    table.read_bool("salvage", config.salvage);
}

void check_store(TomlReader& reader, TomlReader::Table& table, StoreConfig& config) {
    const toml::node* folder = table.find("folder");
    if (!folder || config.folder.empty()) return;
    store::FolderCheck check = store::check_folder(config.folder);
    if (!check.status.ok()) reader.report_error(folder->source(), "folder: " + check.status.text());
    config.is_in_memory = check.in_memory;
    if (config.max_log_bytes < 4 * config.segment_bytes)
        reader.report_error(table.raw().source(), "budget: must be at least four segments ('segment')");
}

}  // namespace

StoreConfig parse_store_config(const std::string& text, const std::string& file) {
    StoreConfig config;
    read_single_table(text, file, "store", [&](TomlReader& reader, TomlReader::Table& table) {
        read_store(table, config);
        check_store(reader, table, config);
    });
    return config;
}

StoreConfig read_store_config(const std::string& path) {
    return parse_store_config(read_operators_file(path), path);
}

}  // namespace indigovane::program
