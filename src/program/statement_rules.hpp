// The operator's file of statements and limits: TOML. Read completely or not at all; every mistake is
// reported with file, line and column. The page for operators is docs/statements-on-call.md.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "limits/types.hpp"
#include "program/config_error.hpp"
#include "program/units.hpp"  // for those who include this header
#include "statement/statement_analyzer.hpp"

namespace indigovane::program {

struct StatementConfig {
    bool open = false;  // any single statement passes at the PostgreSQL front, not the known forms alone
    statement::Rules rules;
    statement::StatementAnalyzer::Options analyzer_options;
    limits::Settings limits;
    // Where a statement's comment says nothing. Class names are the platform's.
    std::optional<std::uint32_t> group;
    std::string read_class;
    std::string primary_class;  // of reads that only the primary may serve
    std::string write_class;
};

// The name that other folders' tests use.
using ConfigError = ConfigError;

// Throw ConfigError. The classes that the file names are checked by set_statements() (program/config.hpp).
StatementConfig parse_statement_config(const std::string& text, const std::string& file);
StatementConfig read_statement_config(const std::string& path);

}  // namespace indigovane::program
