// What the subcommands' command lines have in common.
#pragma once

#include <boost/program_options.hpp>
#include <string>
#include <vector>

namespace indigovane::program {

// Parses `arguments`, whose operands go to the option `positional` (the first
// `most_positional` of them; -1: all). Throws boost::program_options::error.
boost::program_options::variables_map parse_arguments(
    const std::vector<std::string>& arguments, const boost::program_options::options_description& described,
    const char* positional, int most_positional = -1);

}  // namespace indigovane::program
