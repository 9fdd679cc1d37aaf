// The operator's file of statements: TOML (toml++). Read whole or not at all; every mistake is told with
// file, line and column. The page for operators is docs/statements-on-call.md.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "limits/types.hpp"
#include "program/config_error.hpp"
#include "program/units.hpp"
#include "statement/statement_analyzer.hpp"

namespace indigovane::program {

struct StatementConfig {
    bool open = false;  // any single statement passes at the PostgreSQL front, not the known forms alone
    statement::Rules rules;
    statement::StatementAnalyzer::Options judge;
    limits::Settings limits;
    // Where a statement's comment says nothing. Class names are the platform's.
    std::optional<std::uint32_t> group;
    std::string read_class, primary_class, write_class;
};

// The name that other folders' tests use.
using StatementConfigError = ConfigError;

StatementConfig parse_statement_config(const std::string& text, const std::string& file);
StatementConfig read_statement_config(const std::string& path);

}  // namespace indigovane::program
