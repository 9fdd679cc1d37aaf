// Reads the REST front's configuration file.
#include "program/config.hpp"
#include "program/json_config.hpp"

namespace indigovane::program {

using nlohmann::json;

namespace {

constexpr std::uint32_t kMaxPageSize = 10000;

void read_page_sizes(const json& root, RestConfig& rest) {
    rest.page_size = root.value("page_size", rest.page_size);
    rest.max_page_size = root.value("page_size_most", rest.max_page_size);
}

void check_page_sizes(const RestConfig& rest) {
    if (rest.page_size == 0 || rest.page_size > rest.max_page_size || rest.max_page_size > kMaxPageSize)
        throw ConfigError("page_size: expected a number from 1 to page_size_most, which is at most 10000");
}

Wire read_host_protocol(const json& root) {
    std::string protocol = root.value("members", std::string("pg"));
    if (protocol != "pg" && protocol != "rest") throw ConfigError("members: expected 'pg' or 'rest'");
    return protocol == "rest" ? Wire::rest : Wire::pg;
}

// Only a loopback address is allowed, because log lines must not leave the machine unencrypted.
std::optional<transport::SocketAddress> read_syslog(const json& root) {
    if (!root.contains("syslog") || root["syslog"].is_null()) return std::nullopt;
    auto parsed_address = parse_address(root["syslog"].get<std::string>(), "syslog");
    if (!parsed_address.address().is_loopback()) throw ConfigError("syslog: expected a loopback address");
    return parsed_address;
}

void read_rest(const json& root, Config& config) {
    RestConfig& rest = config.rest;
    rest.enabled = root.value("enabled", false);
    rest.listen = parse_address(root.value("listen", std::string("127.0.0.1:8080")), "listen");
    read_page_sizes(root, rest);
    rest.max_connections = root.value("connections", rest.max_connections);
    check_page_sizes(rest);
    config.host_protocol = read_host_protocol(root);
    if (auto syslog = read_syslog(root)) rest.syslog = syslog;
}

}  // namespace

void parse_rest_config(const std::string& text, Config& config) {
    json root = parse_json_object(text);
    try {
        read_rest(root, config);
    } catch (const ConfigError&) {
        throw;
    } catch (const std::exception& error) {  // a value of the wrong type
        throw ConfigError(error.what());
    }
}

void read_rest_config(const std::string& path, Config& config) {
    try {
        parse_rest_config(read_json_file(path), config);
    } catch (const ConfigError& error) {
        throw error.in_file(path);
    }
}

}  // namespace indigovane::program
