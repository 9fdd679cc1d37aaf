#include "program/peer_config.hpp"

#include "program/toml_reader.hpp"

namespace indigovane::program {

PeerConfig parse_peer_config(const std::string& text, const std::string& file) {
    PeerConfig config;
    read_single_table(text, file, "peers", [&](TomlReader&, TomlReader::Table& table) {
        config.cluster = table.read_required_name("cluster");
        table.read_duration("again", config.resend_delay);
        table.read_duration("gather", config.gather_window);
    });
    return config;
}

PeerConfig read_peer_config(const std::string& path) {
    return parse_peer_config(read_operators_file(path), path);
}

}  // namespace indigovane::program
