#include "program/store_config.hpp"

#include "program/toml_reader.hpp"
#include "store/environment.hpp"

namespace indigovane::program {

StoreConfig parse_store_config(const std::string& text, const std::string& file) {
    StoreConfig c;
    read_only_table(text, file, "store", [&](TomlReader& reader, TomlReader::Table& t) {
        c.folder = t.name("folder");
        auto bytes = [](std::size_t least, std::size_t most) {
            return [=](std::string_view s) {
                auto v = read_size(s);
                return v && *v >= least && *v <= most ? v : std::nullopt;
            };
        };
        t.unit<std::size_t>("budget", c.budget, "a size like \"256MiB\", from 1MiB to 64GiB",
                            bytes(1 << 20, std::size_t(64) << 30));
        t.unit<std::size_t>("segment", c.segment, "a size like \"4MiB\", from 64KiB to 64MiB",
                            bytes(64 << 10, 64 << 20));
        t.unit<std::size_t>("compact_per_second", c.compact_per_second, "a size like \"8MiB\", from 64KiB up",
                            bytes(64 << 10, std::size_t(4) << 30));
        t.duration("sync_interval", c.sync_interval, false);
        t.duration("retention", c.retention);
        t.duration("lease", c.lease);
        t.value<bool>("salvage", c.salvage, "true or false");
        const toml::node* folder = t.get("folder");
        if (!folder || c.folder.empty()) return;
        store::FolderCheck check = store::check_folder(c.folder);
        if (!check.status.ok()) reader.wrong(folder->source(), "folder: " + check.status.text());
        c.in_memory = check.in_memory;
        if (c.budget < 4 * c.segment)
            reader.wrong(t.raw().source(), "budget: at least four segments are needed");
    });
    return c;
}

StoreConfig read_store_config(const std::string& path) {
    return parse_store_config(read_operators_file(path), path);
}

}  // namespace indigovane::program
