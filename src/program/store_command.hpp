// The command `indigovane store`: inspects or rewrites a store that no process has open. A damaged store is
// written to only with --salvage.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace indigovane::program {

// Runs dump, stat, verify, compact, load or get on the store in the folder DIR. Returns the exit status: 0
// for success, 1 if the store can't be used; verify also returns 3 for a torn tail and 4 for damage. Throws
// boost::program_options::error if the command line is wrong.
int run_store_command(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out,
                      std::ostream& errors);

}  // namespace indigovane::program
