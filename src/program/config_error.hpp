// Errors in configuration files, of every kind: JSON of the platform's, TOML of the operator's.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace indigovane::program {

// One mistake, and its place as far as it is known.
struct ConfigMistake {
    std::string file;          // empty: unknown
    std::uint32_t line = 0;    // from 1; 0: the mistake has no place in the file
    std::uint32_t column = 0;  // from 1
    std::string what;

    std::string text() const;  // "file:line:column: what", without the parts that are unknown
};

// A configuration can't be read, contradicts itself, or asks for what this machine doesn't have. what() has
// one mistake a line.
class ConfigError : public std::runtime_error {
  public:
    explicit ConfigError(const std::string& what);
    ConfigError(const std::string& file, const std::string& what);
    explicit ConfigError(std::vector<ConfigMistake> mistakes);

    const std::vector<ConfigMistake>& mistakes() const { return mistakes_; }
    // The same mistakes, of a file that was not yet known where they were found.
    ConfigError in_file(const std::string& file) const;

  private:
    std::vector<ConfigMistake> mistakes_;
};

// The name that other folders' tests use.
using ConfigError = ConfigError;

// The file's text. Throws ConfigError with `failure`, such as "it can't be read".
std::string read_config_file(const std::string& path, const ConfigError& failure);

}  // namespace indigovane::program
