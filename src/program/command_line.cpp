#include "program/command_line.hpp"

namespace indigovane::program {

namespace options = boost::program_options;

options::variables_map parse_arguments(const std::vector<std::string>& arguments,
                                       const options::options_description& described, const char* positional,
                                       int most_positional) {
    options::positional_options_description operands;
    operands.add(positional, most_positional);
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(described).positional(operands).run(),
                   values);
    options::notify(values);
    return values;
}

}  // namespace indigovane::program
