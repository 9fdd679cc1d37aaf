// The configuration files named on the command lines of `serve` and `check-config`.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "program/config.hpp"

namespace indigovane::program {

// Thrown if the command line names no configuration.
struct UsageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Reads all configuration files. Without --config, $LB_CONFIG names the platform's file. Throws
// boost::program_options::error or UsageError if the command line is wrong, ConfigError if a file is.
Config read_configuration(const std::vector<std::string>& arguments);

// Describes the configuration for operators, one line for each topic.
std::string describe_configuration(const Config& config);

}  // namespace indigovane::program
