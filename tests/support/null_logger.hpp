// A logger that counts the lines of each message id and prints none.
#pragma once

#include <map>
#include <string>

#include "routing/interfaces.hpp"

namespace indigovane::testing {

struct NullLogger : routing::Logger {
    void log(routing::Level, const char* id, const std::string&, const Data&) override { ++lines[id]; }
    std::map<std::string, int> lines;
};

}  // namespace indigovane::testing
