#include "program/configuration_files.hpp"

#include <cstdlib>
#include <functional>
#include <sstream>

#include "program/command_line.hpp"

namespace indigovane::program {

namespace options = boost::program_options;

namespace {

options::options_description describe_options() {
    const char* from_environment = std::getenv("LB_CONFIG");
    options::options_description description("options");
    description.add_options()(
        "config", options::value<std::string>()->default_value(from_environment ? from_environment : ""),
        "the platform's configuration file; $LB_CONFIG by default")(
        "rest", options::value<std::string>(),
        "the REST front's configuration file; without it the front is off")(
        "statements", options::value<std::string>(),
        "the operator's file of statement rules and limits; without it both are off")(
        "store", options::value<std::string>(),
        "the operator's store file; without it no state outlasts the process")(
        "peers", options::value<std::string>(),
        "the operator's file of links between poolers; without it there are none")(
        "sites", options::value<std::string>(),
        "the operator's file of sites; without it sites are not watched");
    return description;
}

options::variables_map parse_options(const std::vector<std::string>& arguments) {
    options::options_description description = describe_options();
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(description).run(), values);
    options::notify(values);
    return values;
}

const char* statements_text(const Config& config) {
    if (!config.statements) return "off";
    return config.statements->open ? "open" : "known forms only";
}

std::string store_text(const Config& config) {
    if (!config.store) return "off";
    return config.store->folder + (config.store->is_in_memory ? " (warning: the folder is in memory)" : "");
}

std::string peers_text(const Config& config) {
    if (!config.peering) return "off";
    return std::to_string(config.peers.size()) + " named, cluster " + config.peering->cluster;
}

std::string sites_text(const Config& config) {
    if (!config.sites) return "off";
    return std::to_string(config.zones.size()) + " zones watched";
}

bool limits_are_on(const Config& config) {
    return config.statements && config.statements->limits.enabled;
}

}  // namespace

// The order matters: later files are checked against the settings of earlier ones.
Config read_configuration(const std::vector<std::string>& arguments) {
    options::variables_map values = parse_options(arguments);
    std::string path = values["config"].as<std::string>();
    if (path.empty()) throw UsageError("no configuration: give --config FILE or set LB_CONFIG");
    Config config = read_platform_config(path);
    auto read_if_given = [&](const char* option, const std::function<void(const std::string&)>& read) {
        if (values.count(option)) read(values[option].as<std::string>());
    };
    read_if_given("rest", [&](const std::string& file) { read_rest_config(file, config); });
    read_if_given("store", [&](const std::string& file) { config.store = read_store_config(file); });
    read_if_given("peers", [&](const std::string& file) { set_peers(read_peer_config(file), file, config); });
    read_if_given("sites", [&](const std::string& file) { set_sites(read_site_config(file), file, config); });
    read_if_given("statements", [&](const std::string& file) {
        set_statements(read_statement_config(file), file, config);
    });
    return config;
}

std::string describe_configuration(const Config& config) {
    std::ostringstream text;
    text << "name       " << config.name << "\n"
         << "listen     " << config.listen << "\n"
         << "discovery  " << config.discovery << "\n"
         << "members    " << config.known_endpoints.members.size() << " known\n"
         << "classes    " << config.settings.classes.size() << "\n"
         << "sockets    " << config.sockets << "\n"
         << "REST front " << (config.rest.enabled ? "on" : "off") << "\n"
         << "statements " << statements_text(config) << "\n"
         << "store      " << store_text(config) << "\n"
         << "peers      " << peers_text(config) << "\n"
         << "sites      " << sites_text(config) << "\n"
         << "limits     " << (limits_are_on(config) ? "on" : "off") << "\n";
    return text.str();
}

}  // namespace indigovane::program
