// The fronts' access to statement analysis: profiles of statements, the class in which each is served, and a
// readable text for each recent shape.
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
    bool open = false;                   // accepts any single statement, not only the known forms
    std::optional<std::uint32_t> group;  // used if the statement's comment names none
    // Classes for statements without a class of their own: reads on replicas, reads on the primary, and
    // writes. Empty: not set.
    std::string read_class, primary_class, write_class;
};

// Used by the event loop's thread only.
class Statements {
  public:
    Statements(statement::Rules rules, statement::StatementAnalyzer::Options analyzer_options,
               StatementOptions options);
    // Replaces the rules and options. Recorded shapes are forgotten.
    void set(statement::Rules rules, StatementOptions options);

    bool open() const { return options_.open; }
    const StatementOptions& options() const { return options_; }
    // The result is valid until the next call.
    const statement::StatementProfile& analyze(std::string_view sql, routing::Time now);
    const statement::StatementAnalyzer& analyzer() const { return analyzer_; }

    // The class in which a statement is served: the one named by the client, else that of the rules, else the
    // default for its kind. A statement that must run on the primary never gets a class whose reads go to
    // replicas. Returns null if no class fits; `why` then holds the error text for the client.
    const ClassInfo* choose(const Classes& classes, std::optional<std::string_view> named_class,
                            const statement::StatementProfile& profile, std::string& why) const;

    // A recorded shape: its text with placeholders as "?", its class by the rules (empty: none) and its kind.
    struct ShapeDescription {
        std::string text, request_class;
        statement::Kind kind{};
    };
    // Null for a shape that is not among the 2048 recorded last. Valid until the next call of analyze() or
    // set().
    const ShapeDescription* known(const statement::Shape& shape) const;

  private:
    void remember(const statement::StatementProfile& profile, std::string_view canonical);

    statement::StatementAnalyzer analyzer_;
    StatementOptions options_;
    std::unordered_map<statement::Shape, ShapeDescription, statement::ShapeHash> descriptions_;
    std::list<statement::Shape> recorded_shapes_;  // of descriptions_, the newest first
    std::uint64_t last_parsed_count_ = 0;          // the analyzer's count after the last call of analyze()
};

// The shape under which the costs of a known form are kept, which is the same for all protocols. Zero for the
// verb `other`.
statement::Shape fixed_shape(routing::ClientRequest::Verb verb);

}  // namespace indigovane::adapters
