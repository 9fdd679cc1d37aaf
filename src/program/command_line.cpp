#include "program/command_line.hpp"

namespace indigovane::program {

namespace options = boost::program_options;

options::variables_map parse_arguments(const std::vector<std::string>& arguments,
                                       const options::options_description& description,
                                       const char* positional, int max_positional) {
    options::positional_options_description operands;
    operands.add(positional, max_positional);
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(description).positional(operands).run(),
                   values);
    options::notify(values);
    return values;
}

}  // namespace indigovane::program
