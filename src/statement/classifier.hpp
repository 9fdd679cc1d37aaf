// Classifies a statement by its parse tree, which libpg_query builds with the grammar of PostgreSQL 15. The
// analyzer calls it only if the shape cache has no entry. It sees a canonical text, never the values of
// literals.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "statement/builtins.hpp"
#include "statement/statement_profile.hpp"

namespace indigovane::statement {

// What the operator's statements file declares in addition to the built-ins. Names are spelled as in the
// parse tree: in lower case unless they are quoted in the statement.
class Declarations {
  public:
    virtual ~Declarations() = default;
    // `schema` is empty if the statement names none. Returns nothing if the name is not declared.
    virtual std::optional<Effect> function_effect(std::string_view schema, std::string_view name) const = 0;
    virtual std::optional<Effect> operator_effect(std::string_view schema, std::string_view name) const = 0;
    virtual std::optional<Effect> relation_effect(std::string_view schema, std::string_view name) const = 0;
    virtual bool has_type(std::string_view schema, std::string_view name) const = 0;
    // Whether a function of this name, in any schema, is declared to do more than read.
    virtual bool may_have_effects(std::string_view name) const = 0;
};

// The operator's routes for kinds of statements that never go to a replica.
struct RoutePolicy {
    Route unparsed = Route::refuse;  // primary or refuse
    Route session = Route::refuse;
    Route transaction = Route::refuse;
};

class Classifier {
  public:
    // Statements with a longer canonical text are not parsed. `declarations` must outlive the classifier.
    Classifier(const Declarations& declarations, RoutePolicy policy,
               std::size_t max_canonical_bytes = 16 * 1024)
        : declarations_(declarations), policy_(policy), max_canonical_bytes_(max_canonical_bytes) {}

    // Sets kind, route, reason, tables and features; the shape, the class and its cost are left at their
    // defaults. Accepts any text. Throws only if memory runs out.
    StatementProfile classify(std::string_view canonical) const;
    // The profile of a text in which the scanner found a flaw at the byte `offset`.
    StatementProfile invalid_profile(Flaw flaw, std::size_t offset) const;
    // The route of a kind, without regard to unknown functions, operators and types.
    Route default_route(Kind kind) const;

  private:
    const Declarations& declarations_;
    RoutePolicy policy_;
    std::size_t max_canonical_bytes_;
};

}  // namespace indigovane::statement
