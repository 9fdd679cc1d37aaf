// What fronts ask of the statement package: judgements, classes, and what shapes are called.
#pragma once

#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/classes.hpp"
#include "routing/types.hpp"
#include "statement/statement_analyzer.hpp"

namespace indigovane::adapters {

struct StatementOptions {
    bool open = false;                                   // any single statement, not the known forms alone
    std::optional<std::uint32_t> group;                  // where the comment names none
    std::string read_class, primary_class, write_class;  // by the operator's file; empty: none
};

class Statements {
  public:
    Statements(statement::Rules rules, statement::StatementAnalyzer::Options analyzer_options,
               StatementOptions options);
    void set(statement::Rules rules, StatementOptions options);

    bool open() const { return options_.open; }
    const StatementOptions& options() const { return options_; }
    const statement::StatementProfile& analyze(std::string_view sql, routing::Time now);
    const statement::StatementAnalyzer& analyzer() const { return analyzer_; }

    // The class in which a statement is served: the named one, else the rule's, else the kind's. A class
    // whose reads go to replicas is never the answer for what must not; `why` then says what is missing.
    const ClassInfo* choose(const Classes& classes, std::optional<std::string_view> named,
                            const statement::StatementProfile& j, std::string& why) const;

    struct Known {
        std::string text, request_class;
        statement::Kind kind{};
    };
    const Known* known(const statement::Shape& shape) const;  // of the last few thousand

  private:
    void remember(const statement::StatementProfile& j, std::string_view canonical);

    statement::StatementAnalyzer analyzer_;
    StatementOptions options_;
    std::unordered_map<statement::Shape, Known, statement::ShapeHash> known_;
    std::list<statement::Shape> order_;  // the newest first
    std::uint64_t parsed_ = 0;
};

// The shape under which a known form's costs are kept, whatever wire it came by.
statement::Shape fixed_shape(routing::ClientRequest::Verb verb);

}  // namespace indigovane::adapters
