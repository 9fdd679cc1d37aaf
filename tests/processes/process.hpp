// A process of the program under test, and what its log says.
#pragma once

#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <initializer_list>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

extern char** environ;

namespace indigovane::testing {

// One process of the program. It ends with this object, whatever state it is in.
class Process {
  public:
    // `environment`: further variables, as NAME=VALUE.
    Process(const std::string& folder, const std::string& name, const std::vector<std::string>& arguments,
            std::vector<std::string> environment = {})
        : log_(folder + "/" + name + ".log") {
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, log_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        // Inherited descriptors would keep the test's own connections open after the test has closed them.
        posix_spawn_file_actions_addclosefrom_np(&actions, 3);
        std::vector<char*> argv{const_cast<char*>(PROGRAM)};
        for (const std::string& a : arguments) argv.push_back(const_cast<char*>(a.c_str()));
        argv.push_back(nullptr);
        // Each test has its own TMPDIR: a pooler leaves its handover files there.
        std::string scratch = "TMPDIR=" + folder;
        std::vector<char*> variables{scratch.data()};
        for (std::string& variable : environment) variables.push_back(variable.data());
        for (char** v = environ; *v; ++v)
            if (std::string_view(*v).substr(0, 7) != "TMPDIR=") variables.push_back(*v);
        variables.push_back(nullptr);
        REQUIRE(posix_spawn(&pid_, PROGRAM, &actions, nullptr, argv.data(), variables.data()) == 0);
        posix_spawn_file_actions_destroy(&actions);
    }
    ~Process() { end(SIGKILL); }
    Process(const Process&) = delete;

    pid_t id() const { return pid_; }
    void send(int number) const { REQUIRE(::kill(pid_, number) == 0); }
    // The exit status, or minus the signal that ended it.
    int end(int number) {
        if (pid_ <= 0) return 0;
        ::kill(pid_, number);
        if (number == SIGKILL) ::kill(pid_, SIGCONT);
        int status = 0;
        ::waitpid(pid_, &status, 0);
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    // Like end(), of one that has ended by now; nothing while it has not. Waits for nothing.
    std::optional<int> poll_end() {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    std::string log() const {
        std::ifstream in(log_);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }
    // How many lines of the log contain all of `parts`.
    int said(std::initializer_list<std::string_view> parts) const {
        std::istringstream lines(log());
        int count = 0;
        for (std::string line; std::getline(lines, line);)
            count += std::all_of(parts.begin(), parts.end(),
                                 [&](auto part) { return line.find(part) != std::string::npos; });
        return count;
    }
    // The port in the first line of the log that contains `part`, 0: none yet.
    unsigned short port(std::string_view part) const {
        std::istringstream lines(log());
        for (std::string line; std::getline(lines, line);)
            if (auto at = line.find("at=\"127.0.0.1:");
                line.find(part) != std::string::npos && at != std::string::npos)
                return static_cast<unsigned short>(std::atoi(line.c_str() + at + 14));
        return 0;
    }

  private:
    std::string log_;
    pid_t pid_ = -1;
};

}  // namespace indigovane::testing
