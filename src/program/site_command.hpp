// indigovane site: what the loss of a site would mean, without serving anything.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace indigovane::program {

// `plan --settings FILE --sites FILE --lose ZONE... [--json]` prints where each group's load would go, what
// would be refused, in what order, and what each remaining host would carry. Returns the exit status; throws
// boost::program_options::error on a command line that can't be read, ConfigError on bad files.
int site(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

}  // namespace indigovane::program
