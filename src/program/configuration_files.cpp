#include "program/configuration_files.hpp"

#include <cstdlib>
#include <functional>
#include <sstream>

#include "program/command_line.hpp"

namespace indigovane::program {

namespace options = boost::program_options;

namespace {

options::options_description described_options() {
    const char* from_environment = std::getenv("LB_CONFIG");
    options::options_description described("options");
    described.add_options()(
        "config", options::value<std::string>()->default_value(from_environment ? from_environment : ""),
        "the platform's configuration; $LB_CONFIG by default")(
        "rest", options::value<std::string>(),
        "the REST front's configuration; without it that front is off")(
        "statements", options::value<std::string>(),
        "the operator's file of statements and limits; without it both are off")(
        "store", options::value<std::string>(),
        "the operator's file of the store; without it nothing outlasts the process")(
        "peers", options::value<std::string>(),
        "the operator's file of the links between poolers; without it there are none")(
        "sites", options::value<std::string>(),
        "the operator's file of sites; without it the loss of one is not watched for");
    return described;
}

options::variables_map parse_options(const std::vector<std::string>& arguments) {
    options::options_description described = described_options();
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(described).run(), values);
    options::notify(values);
    return values;
}

const char* statements_text(const Config& config) {
    if (!config.statements) return "off";
    return config.statements->open ? "open" : "known forms only";
}

std::string store_text(const Config& config) {
    if (!config.store) return "off";
    return config.store->folder + (config.store->in_memory ? " (warning: it is in memory)" : "");
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

// Later files are checked against what the earlier ones have set.
Config read_configuration(const std::vector<std::string>& arguments) {
    options::variables_map values = parse_options(arguments);
    std::string path = values["config"].as<std::string>();
    if (path.empty()) throw UsageError("no configuration: give --config FILE or set LB_CONFIG");
    Config config = read_platform_config(path);
    auto with_file = [&](const char* option, const std::function<void(const std::string&)>& read) {
        if (values.count(option)) read(values[option].as<std::string>());
    };
    with_file("rest", [&](const std::string& file) { read_rest_config(file, config); });
    with_file("store", [&](const std::string& file) { config.store = read_store_config(file); });
    with_file("peers", [&](const std::string& file) { set_peers(read_peer_config(file), file, config); });
    with_file("sites", [&](const std::string& file) { set_sites(read_site_config(file), file, config); });
    with_file("statements",
              [&](const std::string& file) { set_statements(read_statement_config(file), file, config); });
    return config;
}

std::string describe_configuration(const Config& config) {
    std::ostringstream text;
    text << "name       " << config.name << "\n"
         << "listen     " << config.listen << "\n"
         << "discovery  " << config.discovery << "\n"
         << "members    " << config.known.members.size() << " known\n"
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
