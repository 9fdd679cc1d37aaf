// Errors in configuration files: the platform's JSON files and the operator's TOML files.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace indigovane::program {

// One mistake in a configuration file.
struct ConfigMistake {
    std::string file;          // empty if unknown
    std::uint32_t line = 0;    // counted from 1; 0 if unknown
    std::uint32_t column = 0;  // counted from 1
    std::string what;

    // Returns "file:line:column: what", without the parts that are unknown.
    std::string text() const;
};

// Thrown if a configuration can't be read, contradicts itself, or requires what this machine doesn't have.
// what() has one line for each mistake.
class ConfigError : public std::runtime_error {
  public:
    explicit ConfigError(const std::string& what);
    ConfigError(const std::string& file, const std::string& what);
    explicit ConfigError(std::vector<ConfigMistake> mistakes);

    const std::vector<ConfigMistake>& mistakes() const { return mistakes_; }
    // Returns the same mistakes with `file` as their file, which was not known where they were found.
    ConfigError in_file(const std::string& file) const;

  private:
    std::vector<ConfigMistake> mistakes_;
};

// Redundant: an alias of the class for itself.
using ConfigError = ConfigError;

// Returns the file's text. Throws `failure` if the file can't be read.
std::string read_config_file(const std::string& path, const ConfigError& failure);

}  // namespace indigovane::program
