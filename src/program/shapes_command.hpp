// The command `indigovane shapes`: shows how statements are classified, without serving any.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace indigovane::program {

// `classify` reads statements from `in`, one on each line (with --null, separated by zero bytes), and writes
// a JSON object for each to `out`. `explain STATEMENT` describes the classification of one statement. Returns
// the exit status. Throws boost::program_options::error if the command line is wrong, ConfigError if the
// rules are.
int run_shapes_command(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out);

}  // namespace indigovane::program
