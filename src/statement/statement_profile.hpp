// What is known of a statement: kind, where it may go, why, and what it may cost.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "statement/scanner.hpp"

namespace indigovane::statement {

enum class Kind : std::uint8_t {
    read,
    locking,      // a read that locks rows: FOR UPDATE, FOR SHARE
    write,        // changes data, or may: also where it hides in a read
    session,      // leaves something behind on its connection
    transaction,  // begins, ends or joins a transaction
    utility,      // anything else that is no query
    many,         // more than one statement
    invalid,      // can't be parsed
};
const char* name(Kind kind);
bool parse_kind(std::string_view text, Kind& out);

enum class Route : std::uint8_t { replica, primary, refuse };  // replica: one may serve it
const char* name(Route route);

// What is seen of a statement's work before it has ever run. Counts stop at 255.
struct Features {
    std::uint8_t relations = 0, joins = 0, aggregates = 0, sorts = 0, subqueries = 0, functions = 0;
    bool no_filter = false;  // a read of a table without WHERE
    bool no_limit = false;   // a read of a table without LIMIT
    bool recursive = false;
};

struct StatementProfile {
    Kind kind = Kind::invalid;
    Route route = Route::refuse;
    Shape shape;
    std::string reason;               // for people: one line, no more than 200 bytes
    std::vector<std::string> tables;  // as written, folded: schema.name or name; eight at most
    Features features;
    std::int32_t request_class = -1;  // the rule's class: its index in the rules; -1: none
    std::uint32_t cost_us = 0;        // declared for the shape or table; 0: estimated from the features
};

}  // namespace indigovane::statement
