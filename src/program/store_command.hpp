// indigovane store: looks at a store that no process has open. None of it writes to a damaged one.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace indigovane::program {

// dump|stat|verify|compact|load|get DIR. Exit status: 0 well; 1 it can't be used; of verify: 3 a torn tail, 4
// damaged. Throws boost::program_options::error on a command line that can't be read.
int store(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out,
          std::ostream& errors);

}  // namespace indigovane::program
