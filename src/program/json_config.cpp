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

std::string child_path(const std::string& path, const std::string& name) {
    return path + "." + name;
}

std::map<std::string, char> collect_key_types(const json& value, const std::string& path);

std::map<std::string, char> collect_common_key_types(const json& items, const std::string& path) {
    auto common = collect_key_types(items[0], path);
    for (const json& item : items) {
        auto types = collect_key_types(item, path);
        std::erase_if(common, [&](const auto& key) {
            auto it = types.find(key.first);
            return it == types.end() || it->second != key.second;
        });
    }
    return common;
}

std::map<std::string, char> collect_key_types(const json& value, const std::string& path) {
    std::map<std::string, char> types;
    if (!path.empty()) types[path] = type_letter(value);
    if (value.is_object())
        for (const auto& [name, item] : value.items())
            types.merge(collect_key_types(item, child_path(path, name)));
    if (value.is_array() && !value.empty()) types.merge(collect_common_key_types(value, path + "[]"));
    return types;
}

// Spaces separate fields and commas separate items in the flattened form, so both are replaced in values.
std::string flatten_value(const json& value) {
    std::string text = value.is_string() ? value.get<std::string>() : value.is_null() ? "" : value.dump();
    for (char& character : text)
        if (character == ' ' || character == ',') character = '_';
    return text;
}

void flatten(const json& value, const std::string& path, std::string& out);

void flatten_array(const json& items, const std::string& path, std::string& out) {
    if (!items.empty() && items[0].is_object()) {
        out += " " + path + ".count=" + std::to_string(items.size());
        for (std::size_t i = 0; i < items.size(); ++i)
            flatten(items[i], child_path(path, std::to_string(i)), out);
        return;
    }
    std::string joined;
    for (const json& item : items) joined += (joined.empty() ? "" : ",") + flatten_value(item);
    out += " " + path + "=" + joined;
}

void flatten(const json& value, const std::string& path, std::string& out) {
    if (value.is_object()) {
        for (const auto& [name, item] : value.items())
            flatten(item, path.empty() ? name : child_path(path, name), out);
    } else if (value.is_array()) {
        flatten_array(value, path, out);
    } else if (!value.is_null()) {
        out += " " + path + "=" + flatten_value(value);
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
    if (!root.is_object()) throw ConfigError("the configuration is not a JSON object");
    return root;
}

transport::SocketAddress parse_address(const std::string& text, const char* key) {
    auto parsed_address = transport::parse_socket_address(text);
    if (!parsed_address)
        throw ConfigError(std::string(key) + ": '" + text + "' is not an address with a port");
    return *parsed_address;
}

double positive_number(const json& object, const char* key, const std::string& where) {
    const json& value = object.at(key);
    if (!value.is_number() || value.get<double>() <= 0)
        throw ConfigError(where + "." + key + ": expected a number above 0");
    return value.get<double>();
}

std::string flatten_settings(const json& settings) {
    std::string flat;
    flatten(settings, "", flat);
    return flat;
}

std::map<std::string, char> key_types(const json& value) {
    return collect_key_types(value, "");
}

}  // namespace indigovane::program
