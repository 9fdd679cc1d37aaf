#include <unistd.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "program/lifecycle.hpp"
#include "program/log_output.hpp"
#include "program/shapes_command.hpp"
#include "program/site_command.hpp"
#include "program/store_command.hpp"

namespace {

namespace options = boost::program_options;
using namespace indigovane;

constexpr const char* kUsage =
    "usage: indigovane COMMAND [options]\n"
    "\n"
    "  serve         serve clients until SIGTERM; SIGHUP reads the configuration again\n"
    "  check-config  read the configuration, say what it means, and exit\n"
    "  shapes        classify statements from standard input, or explain one\n"
    "  site          what the loss of a site would mean: plan\n"
    "  store         look at a store on disk: dump, stat, verify, compact, load, get\n"
    "  version       print the version\n"
    "  help          print this\n"
    "\n";

struct UsageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

program::Config configure(const std::vector<std::string>& arguments) {
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
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(described).run(), values);
    options::notify(values);
    std::string path = values["config"].as<std::string>();
    if (path.empty()) throw UsageError("no configuration: give --config FILE or set LB_CONFIG");
    program::Config config = program::read_platform_config(path);
    if (values.count("rest")) program::read_rest_config(values["rest"].as<std::string>(), config);
    if (values.count("store")) config.store = program::read_store_config(values["store"].as<std::string>());
    if (values.count("peers")) {
        std::string file = values["peers"].as<std::string>();
        program::take_peers(program::read_peer_config(file), file, config);
    }
    if (values.count("sites")) {
        std::string file = values["sites"].as<std::string>();
        program::set_sites(program::read_site_config(file), file, config);
    }
    if (values.count("statements")) {
        std::string file = values["statements"].as<std::string>();
        program::take_statements(program::read_statement_config(file), file, config);
    }
    return config;
}

int serve(const std::vector<std::string>& arguments) {
    // A SIGHUP that comes before the loop listens waits for it: it would end the program, or be forgotten
    // with an older file read.
    sigset_t reload;
    sigemptyset(&reload);
    sigaddset(&reload, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &reload, nullptr);
    program::Config config = configure(arguments);
    std::signal(SIGPIPE, SIG_IGN);
    program::LogOutput output(STDOUT_FILENO);
    program::Log log(config.name, std::to_string(::getpid()),
                     [&](const std::string& line) { return output.write_line(line); });
    program::Lifecycle lifecycle(
        config, [&] { return configure(arguments); }, log);
    pthread_sigmask(SIG_UNBLOCK, &reload, nullptr);
    return lifecycle.run();
}

int check(const std::vector<std::string>& arguments) {
    program::Config config = configure(arguments);
    std::cout << "name       " << config.name << "\nlisten     " << config.listen << "\ndiscovery  "
              << config.discovery << "\nmembers    " << config.known.members.size() << " known\nclasses    "
              << config.settings.classes.size() << "\nsockets    " << config.sockets << "\nREST front "
              << (config.rest.enabled ? "on" : "off") << "\nstatements "
              << (!config.statements        ? "off"
                  : config.statements->open ? "open"
                                            : "known forms only")
              << "\nstore      " << (config.store ? config.store->folder : "off")
              << (config.store && config.store->in_memory ? " (warning: it is in memory)" : "")
              << "\npeers      "
              << (config.peering
                      ? std::to_string(config.peers.size()) + " named, cluster " + config.peering->cluster
                      : "off")
              << "\nsites      "
              << (config.sites ? std::to_string(config.zones.size()) + " zones watched" : "off")
              << "\nlimits     " << (config.statements && config.statements->limits.enabled ? "on" : "off")
              << "\n";
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    std::vector<std::string> arguments(argv + 1, argv + argc);
    std::string command = arguments.empty() ? "" : arguments.front();
    if (!arguments.empty()) arguments.erase(arguments.begin());
    try {
        if (command == "serve") return serve(arguments);
        if (command == "check-config") return check(arguments);
        if (command == "shapes") return program::shapes(arguments, std::cin, std::cout);
        if (command == "site") return program::site(arguments, std::cout, std::cerr);
        if (command == "store") return program::store(arguments, std::cin, std::cout, std::cerr);
        if (command == "version" || command == "--version") {
            std::cout << "indigovane " INDIGOVANE_VERSION "\n";
            return 0;
        }
        if (command == "help" || command == "--help") {
            std::cout << kUsage;
            return 0;
        }
        std::cerr << (command.empty() ? "indigovane: a command is missing\n"
                                      : "indigovane: unknown command '" + command + "'\n")
                  << kUsage;
        return 2;
    } catch (const options::error& error) {
        std::cerr << "indigovane " << command << ": " << error.what() << "\n";
        return 2;
    } catch (const UsageError& error) {
        std::cerr << "indigovane " << command << ": " << error.what() << "\n";
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "indigovane " << command << ": " << error.what() << "\n";
        return 1;
    }
}
