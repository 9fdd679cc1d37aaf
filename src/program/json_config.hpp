// What the JSON configuration files have in common.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "transport/socket_address.hpp"

namespace indigovane::program {

// The file's text; ConfigError where it can't be read.
std::string read_json_file(const std::string& path);
// ConfigError where the text is no JSON object.
nlohmann::json parse_json_object(const std::string& text);
// `what` names the key in the error. Throws ConfigError.
transport::SocketAddress parse_address(const std::string& text, const char* what);
// The number at a key of `object`; ConfigError, with `where` as the object's path, where it is none above 0.
double positive_number(const nlohmann::json& object, const char* key, const std::string& where);

// The settings in the form of the simulator's first message: " path=value" for each. Read by the same code as
// that message, they can't come to mean something else here.
std::string flatten_settings(const nlohmann::json& settings);

// Each key below `value` by its path (".a.b", with "[]" for an array's items), and its type: n(umber),
// o(bject), a(rray), s(tring) or b (any other). Of an array's items, the keys that all of them have.
std::map<std::string, char> key_types(const nlohmann::json& value);

}  // namespace indigovane::program
