#include "program/peer_config.hpp"

#include "program/toml_reader.hpp"

namespace indigovane::program {

PeerConfig parse_peer_config(const std::string& text, const std::string& file) {
    PeerConfig c;
    read_only_table(text, file, "peers", [&](TomlReader&, TomlReader::Table& t) {
        c.cluster = t.name("cluster");
        t.duration("again", c.again);
        t.duration("gather", c.gather);
    });
    return c;
}

PeerConfig read_peer_config(const std::string& path) {
    return parse_peer_config(read_operators_file(path), path);
}

}  // namespace indigovane::program
