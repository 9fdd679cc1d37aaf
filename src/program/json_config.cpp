#include "program/json_config.hpp"

#include "program/config_error.hpp"

namespace indigovane::program {

using nlohmann::json;

namespace {

char type_letter(const json& value) {
    if (value.is_number()) return 'n';
    if (value.is_object()) return 'o';
    if (value.is_array()) return 'a';
    if (value.is_string()) return 's';
    return 'b';
}

std::string below(const std::string& path, const std::string& name) {
    return path + "." + name;
}

std::map<std::string, char> key_types_below(const json& value, const std::string& path);

std::map<std::string, char> common_key_types(const json& items, const std::string& path) {
    auto common = key_types_below(items[0], path);
    for (const json& item : items) {
        auto types = key_types_below(item, path);
        std::erase_if(common, [&](const auto& key) {
            auto it = types.find(key.first);
            return it == types.end() || it->second != key.second;
        });
    }
    return common;
}

std::map<std::string, char> key_types_below(const json& value, const std::string& path) {
    std::map<std::string, char> types;
    if (!path.empty()) types[path] = type_letter(value);
    if (value.is_object())
        for (const auto& [name, item] : value.items()) types.merge(key_types_below(item, below(path, name)));
    if (value.is_array() && !value.empty()) types.merge(common_key_types(value, path + "[]"));
    return types;
}

// Spaces and commas separate fields and items in the flattened form.
std::string flat_value(const json& value) {
    std::string text = value.is_string() ? value.get<std::string>() : value.is_null() ? "" : value.dump();
    for (char& character : text)
        if (character == ' ' || character == ',') character = '_';
    return text;
}

void flatten(const json& value, const std::string& path, std::string& out);

void flatten_array(const json& items, const std::string& path, std::string& out) {
    if (!items.empty() && items[0].is_object()) {
        out += " " + path + ".count=" + std::to_string(items.size());
        for (std::size_t i = 0; i < items.size(); ++i) flatten(items[i], below(path, std::to_string(i)), out);
        return;
    }
    std::string joined;
    for (const json& item : items) joined += (joined.empty() ? "" : ",") + flat_value(item);
    out += " " + path + "=" + joined;
}

void flatten(const json& value, const std::string& path, std::string& out) {
    if (value.is_object()) {
        for (const auto& [name, item] : value.items())
            flatten(item, path.empty() ? name : below(path, name), out);
    } else if (value.is_array()) {
        flatten_array(value, path, out);
    } else if (!value.is_null()) {
        out += " " + path + "=" + flat_value(value);
    }
}

}  // namespace

std::string read_json_file(const std::string& path) {
    return read_config_file(path, ConfigError("can't read '" + path + "'"));
}

json parse_json_object(const std::string& text) {
    json root;
    try {
        root = json::parse(text);
    } catch (const json::exception& error) {
        throw ConfigError(error.what());
    }
    if (!root.is_object()) throw ConfigError("the configuration is no JSON object");
    return root;
}

transport::SocketAddress parse_address(const std::string& text, const char* what) {
    auto at = transport::parse_socket_address(text);
    if (!at) throw ConfigError(std::string(what) + ": '" + text + "' is no address with a port");
    return *at;
}

double positive_number(const json& object, const char* key, const std::string& where) {
    const json& value = object.at(key);
    if (!value.is_number() || value.get<double>() <= 0)
        throw ConfigError(where + "." + key + ": a positive number is wanted");
    return value.get<double>();
}

std::string flatten_settings(const json& settings) {
    std::string flat;
    flatten(settings, "", flat);
    return flat;
}

std::map<std::string, char> key_types(const json& value) {
    return key_types_below(value, "");
}

}  // namespace indigovane::program
