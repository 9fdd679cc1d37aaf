#include "program/peer_config.hpp"

#include "program/toml_reader.hpp"

namespace indigovane::program {

PeerConfig parse_peer_config(const std::string& text, const std::string& file) {
    toml::table parsed = parse_toml(text, file);
    PeerConfig c;
    TomlReader reader(file);
    {
        TomlReader::Table root(reader, parsed, "the file");
        if (!root.get("peers")) reader.wrong(parsed.source(), "[peers] is missing");
        reader.one(root, "peers", [&](TomlReader::Table& t) {
            c.cluster = t.name("cluster");
            t.duration("again", c.again);
            t.duration("gather", c.gather);
        });
    }
    reader.finish();
    return c;
}

PeerConfig read_peer_config(const std::string& path) {
    return parse_peer_config(read_operators_file(path), path);
}

}  // namespace indigovane::program
