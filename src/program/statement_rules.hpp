// The operator's TOML file of statement rules and limits. A file with a mistake is rejected as a whole; every
// mistake is reported with file, line and column. The operators' page is docs/statements-on-call.md.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "limits/types.hpp"
#include "program/config_error.hpp"
#include "program/units.hpp"  // for files that include this header
#include "statement/statement_analyzer.hpp"

namespace indigovane::program {

struct StatementConfig {
    // Whether the PostgreSQL front accepts any single statement, not only the known forms.
    bool open = false;
    statement::Rules rules;
    statement::StatementAnalyzer::Options analyzer_options;
    limits::Settings limits;
    // Defaults for statements whose comment names no group or class. The platform's settings define the
    // classes.
    std::optional<std::uint32_t> group;
    std::string read_class;
    std::string primary_class;  // for reads that only the primary may serve
    std::string write_class;
};

// Redundant: an alias of the class for itself.
using ConfigError = ConfigError;

// Throw ConfigError. set_statements() (program/config.hpp) checks the classes that the file names.
StatementConfig parse_statement_config(const std::string& text, const std::string& file);
StatementConfig read_statement_config(const std::string& path);

}  // namespace indigovane::program
