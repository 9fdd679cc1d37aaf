// The configuration files that `serve` and `check-config` name on their command line.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "program/config.hpp"

namespace indigovane::program {

// A command line that names no configuration.
struct UsageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Reads all files; $LB_CONFIG names the platform's where --config doesn't. Throws
// boost::program_options::error or UsageError on the command line, ConfigError on a file.
Config read_configuration(const std::vector<std::string>& arguments);

// What the configuration means, one line a topic.
std::string describe_configuration(const Config& config);

}  // namespace indigovane::program
