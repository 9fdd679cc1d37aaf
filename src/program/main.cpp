// The command line of indigovane.
#include <unistd.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

#include "program/configuration_files.hpp"
#include "program/lifecycle.hpp"
#include "program/log_output.hpp"
#include "program/shapes_command.hpp"
#include "program/site_command.hpp"
#include "program/store_command.hpp"

namespace {

using namespace indigovane;

constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kUsageFailure = 2;

constexpr const char* kUsage =
    "usage: indigovane COMMAND [options]\n"
    "\n"
    "  serve         serve clients until SIGTERM; SIGHUP reads the configuration again\n"
    "  check-config  check the configuration, print a summary, and exit\n"
    "  shapes        classify statements from standard input, or explain one\n"
    "  site          plan: show the effects of the loss of a site\n"
    "  store         inspect or change a store on disk: dump, stat, verify, compact, load, get\n"
    "  version       print the version\n"
    "  help          print this text\n"
    "\n";

// Blocks SIGHUP until release(). A SIGHUP that arrives before the event loop handles signals would end the
// process, or would be lost although an older file has been read.
class BlockedReload {
  public:
    BlockedReload() {
        sigemptyset(&signals_);
        sigaddset(&signals_, SIGHUP);
        pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    }
    void release() { pthread_sigmask(SIG_UNBLOCK, &signals_, nullptr); }

  private:
    sigset_t signals_{};
};

int serve(const std::vector<std::string>& arguments) {
    BlockedReload blocked_reload;
    program::Config config = program::read_configuration(arguments);
    std::signal(SIGPIPE, SIG_IGN);
    program::LogOutput output(STDOUT_FILENO);
    program::Log log(config.name, std::to_string(::getpid()),
                     [&](const std::string& line) { return output.write_line(line); });
    program::Lifecycle lifecycle(
        config, [&] { return program::read_configuration(arguments); }, log);
    blocked_reload.release();
    return lifecycle.run();
}

int check_config(const std::vector<std::string>& arguments) {
    std::cout << program::describe_configuration(program::read_configuration(arguments));
    return kSuccess;
}

int run(const std::string& command, const std::vector<std::string>& arguments) {
    if (command == "serve") return serve(arguments);
    if (command == "check-config") return check_config(arguments);
    if (command == "shapes") return program::run_shapes_command(arguments, std::cin, std::cout);
    if (command == "site") return program::run_site_command(arguments, std::cout, std::cerr);
    if (command == "store") return program::run_store_command(arguments, std::cin, std::cout, std::cerr);
    if (command == "version" || command == "--version") {
        std::cout << "indigovane " INDIGOVANE_VERSION "\n";
        return kSuccess;
    }
    if (command == "help" || command == "--help") {
        std::cout << kUsage;
        return kSuccess;
    }
    std::cerr << (command.empty() ? "indigovane: a command is missing\n"
                                  : "indigovane: unknown command '" + command + "'\n")
              << kUsage;
    return kUsageFailure;
}

int report(const std::string& command, const std::exception& error, int status) {
    std::cerr << "indigovane " << command << ": " << error.what() << "\n";
    return status;
}

}  // namespace

int main(int argc, char** argv) {
    std::vector<std::string> arguments(argv + 1, argv + argc);
    std::string command = arguments.empty() ? "" : arguments.front();
    if (!arguments.empty()) arguments.erase(arguments.begin());
    try {
        return run(command, arguments);
    } catch (const boost::program_options::error& error) {
        return report(command, error, kUsageFailure);
    } catch (const program::UsageError& error) {
        return report(command, error, kUsageFailure);
    } catch (const std::exception& error) {
        return report(command, error, kFailure);
    }
}
