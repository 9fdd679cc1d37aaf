// The command `indigovane site`: shows the effects of the loss of a site, without serving anything.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace indigovane::program {

// `plan --settings FILE --sites FILE --lose ZONE... [--json]` prints how each group's load would move, which
// requests would be rejected and in what order, and the load of each remaining host. Returns the exit status.
// Throws boost::program_options::error if the command line is wrong, ConfigError if a file is.
int run_site_command(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

}  // namespace indigovane::program
