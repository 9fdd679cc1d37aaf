// Functions for reading the JSON configuration files.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "transport/socket_address.hpp"

namespace indigovane::program {

// Returns the file's text. Throws ConfigError if the file can't be read.
std::string read_json_file(const std::string& path);
// Throws ConfigError if the text is not a JSON object.
nlohmann::json parse_json_object(const std::string& text);
// Parses "address:port". Throws ConfigError, which names the key `key`.
transport::SocketAddress parse_address(const std::string& text, const char* key);
// Returns the number at a key of `object`, whose path is `path`. Throws ConfigError if it is not above 0.
double positive_number(const nlohmann::json& object, const char* key, const std::string& path);

// Returns the settings in the form of the simulator's first message: " path=value" for each. The same code
// reads both, so that a setting has the same meaning in the simulator and here.
std::string flatten_settings(const nlohmann::json& settings);

// Returns each key below `value` by its path (".a.b", with "[]" for an array's items) with its type:
// n(umber), o(bject), a(rray), s(tring) or b (any other). Of an array's items, only the keys that all items
// have count.
std::map<std::string, char> key_types(const nlohmann::json& value);

}  // namespace indigovane::program
