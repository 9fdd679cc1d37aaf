// The result of the analysis of a statement: its kind, its route, the reason, and what its cost depends on.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "statement/scanner.hpp"

namespace indigovane::statement {

enum class Kind : std::uint8_t {
    read,
    locking,      // a read that locks rows: FOR UPDATE, FOR SHARE
    write,        // changes data or may change data, for example through a function that a SELECT calls
    session,      // changes the state of its connection, which later statements would see
    transaction,  // begins or ends a transaction or has a meaning only within one
    utility,      // any other statement that is not a query
    many,         // more than one statement
    invalid,      // can't be parsed
};
const char* name(Kind kind);
// Returns false and leaves `out` unchanged if `text` is not the name of a kind.
bool parse_kind(std::string_view text, Kind& out);

// Where a statement may run. replica: on a replica or the primary; primary: on the primary only; refuse: the
// pooler rejects it.
enum class Route : std::uint8_t { replica, primary, refuse };
const char* name(Route route);

// What the parse tree shows of a statement's work before the statement has ever run. Counts stop at 255.
struct Features {
    std::uint8_t relations = 0, joins = 0, aggregates = 0, sorts = 0, subqueries = 0, functions = 0;
    bool no_filter = false;  // a SELECT reads a table without WHERE
    bool no_limit = false;   // a SELECT reads a table without LIMIT
    bool recursive = false;  // WITH RECURSIVE
};

struct StatementProfile {
    Kind kind = Kind::invalid;
    Route route = Route::refuse;
    Shape shape;
    std::string reason;  // why it has this kind and route: one line for people, at most 200 bytes
    // The first eight tables, as the statement names them, in lower case unless quoted: schema.name or name.
    std::vector<std::string> tables;
    Features features;
    std::int32_t request_class = -1;  // index in Rules::classes() of the rule that matches; -1: none
    // Declared cost in microseconds. 0: none is declared, and estimate_cost() derives it from the features.
    std::uint32_t cost_us = 0;
};

}  // namespace indigovane::statement
