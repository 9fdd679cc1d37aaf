// indigovane shapes: what the program makes of statements, without serving any.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace indigovane::program {

// `classify` reads statements from `in`, one a line (--null: set apart by zero bytes), and writes one JSON
// object each to `out`. `explain STATEMENT` says for one how it is judged. Returns the exit status; throws
// boost::program_options::error on a command line that can't be read, ConfigError on bad rules.
int shapes(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out);

}  // namespace indigovane::program
