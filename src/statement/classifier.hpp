// Classes a statement by its parse tree (libpg_query: PostgreSQL 15's own grammar). Used on a miss of the
// cache only. It sees a canonical text, never a value.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "statement/builtins.hpp"
#include "statement/statement_profile.hpp"

namespace indigovane::statement {

// What the operator's file adds to the built-ins. Names are as the tree has them: folded where not quoted.
class Declarations {
  public:
    virtual ~Declarations() = default;
    // `schema` is empty where the statement names none. Nothing: not declared.
    virtual std::optional<Effect> function(std::string_view schema, std::string_view name) const = 0;
    virtual std::optional<Effect> op(std::string_view schema, std::string_view name) const = 0;
    virtual std::optional<Effect> relation(std::string_view schema, std::string_view name) const = 0;
    virtual bool type(std::string_view schema, std::string_view name) const = 0;
    // Whether a function of that name is declared to do more than read, in any schema.
    virtual bool any_effect(std::string_view name) const = 0;
};

// What becomes of kinds that no replica may have, by the operator's rule.
struct Policy {
    Route unparsed = Route::refuse;  // primary or refuse
    Route session = Route::refuse;
    Route transaction = Route::refuse;
};

class Classifier {
  public:
    Classifier(const Declarations& declared, Policy policy, std::size_t longest = 16 * 1024)
        : declared_(declared), policy_(policy), longest_(longest) {}

    // Kind, route, reason, tables and features; the shape and the rule's class are not its concern. Any text
    // is judged; it never throws but for want of memory.
    StatementProfile classify(std::string_view canonical) const;
    // For a text that a scanner has found a flaw in.
    StatementProfile flawed(Flaw flaw, std::size_t at) const;
    Route route(Kind kind) const;  // before functions, operators and relations are looked at

  private:
    const Declarations& declared_;
    Policy policy_;
    std::size_t longest_;
};

}  // namespace indigovane::statement
