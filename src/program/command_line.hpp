// Parses the command lines of subcommands.
#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <vector>

namespace indigovane::program {

// Parses `arguments`. Their operands become values of the option `positional`: the first `max_positional` of
// them, or all if that is -1. Throws boost::program_options::error.
boost::program_options::variables_map parse_arguments(
    const std::vector<std::string>& arguments, const boost::program_options::options_description& description,
    const char* positional, int max_positional = -1);

}  // namespace indigovane::program
