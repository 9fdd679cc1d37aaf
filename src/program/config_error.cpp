#include "program/config_error.hpp"

#include <fstream>
#include <sstream>
#include <utility>

namespace indigovane::program {

namespace {

std::string join_texts(const std::vector<ConfigMistake>& mistakes) {
    std::string joined;
    for (const ConfigMistake& mistake : mistakes) {
        if (!joined.empty()) joined += "\n";
        joined += mistake.text();
    }
    return joined;
}

}  // namespace

std::string ConfigMistake::text() const {
    std::string location = file;
    if (line > 0) location += ":" + std::to_string(line) + ":" + std::to_string(column);
    return location.empty() ? what : location + ": " + what;
}

ConfigError::ConfigError(const std::string& what)
    : ConfigError(std::vector<ConfigMistake>{{"", 0, 0, what}}) {}

ConfigError::ConfigError(const std::string& file, const std::string& what)
    : ConfigError(std::vector<ConfigMistake>{{file, 0, 0, what}}) {}

ConfigError::ConfigError(std::vector<ConfigMistake> mistakes)
    : std::runtime_error(join_texts(mistakes)), mistakes_(std::move(mistakes)) {}

ConfigError ConfigError::in_file(const std::string& file) const {
    std::vector<ConfigMistake> located = mistakes_;
    for (ConfigMistake& mistake : located) mistake.file = file;
    return ConfigError(std::move(located));
}

std::string read_config_file(const std::string& path, const ConfigError& failure) {
    std::ifstream in(path);
    if (!in) throw ConfigError(failure);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

}  // namespace indigovane::program
