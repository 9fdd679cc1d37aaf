// The REST front's configuration file.
#include "program/config.hpp"
#include "program/json_config.hpp"

namespace indigovane::program {

using nlohmann::json;

namespace {

constexpr std::uint32_t kMaxPageSize = 10000;

void read_page_sizes(const json& root, RestConfig& rest) {
    rest.page_size = root.value("page_size", rest.page_size);
    rest.page_size_most = root.value("page_size_most", rest.page_size_most);
}

void check_page_sizes(const RestConfig& rest) {
    if (rest.page_size == 0 || rest.page_size > rest.page_size_most || rest.page_size_most > kMaxPageSize)
        throw ConfigError("page_size: between 1 and page_size_most, which is 10000 at most");
}

Wire read_host_protocol(const json& root) {
    std::string members = root.value("members", std::string("pg"));
    if (members != "pg" && members != "rest") throw ConfigError("members: 'pg' or 'rest'");
    return members == "rest" ? Wire::rest : Wire::pg;
}

// Log lines don't leave the machine unencrypted.
std::optional<transport::SocketAddress> read_syslog(const json& root) {
    if (!root.contains("syslog") || root["syslog"].is_null()) return std::nullopt;
    auto at = parse_address(root["syslog"].get<std::string>(), "syslog");
    if (!at.address().is_loopback()) throw ConfigError("syslog: a loopback address is wanted");
    return at;
}

void read_rest(const json& root, Config& config) {
    RestConfig& rest = config.rest;
    rest.enabled = root.value("enabled", false);
    rest.listen = parse_address(root.value("listen", std::string("127.0.0.1:8080")), "listen");
    read_page_sizes(root, rest);
    rest.connections = root.value("connections", rest.connections);
    check_page_sizes(rest);
    config.members = read_host_protocol(root);
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
