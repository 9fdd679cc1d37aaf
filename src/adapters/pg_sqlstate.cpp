#include "adapters/pg_sqlstate.hpp"

#include <algorithm>
#include <iterator>

#include "protocol/pg.hpp"

namespace indigovane::adapters {

namespace sqlstate_codes = protocol::pg::sqlstate;
using policy::AttemptStatus;

bool is_sqlstate(std::string_view code) {
    constexpr std::size_t kLength = 5;
    return code.size() == kLength && std::all_of(code.begin(), code.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z');
           });
}

AttemptStatus attempt_status_of(std::string_view sqlstate) {
    if (sqlstate == sqlstate_codes::kReadOnly || sqlstate == sqlstate_codes::kSnapshotTooOld)
        return AttemptStatus::miss;
    if (sqlstate == sqlstate_codes::kTooManyConnections || sqlstate == sqlstate_codes::kCannotConnectNow)
        return AttemptStatus::rejected;
    return AttemptStatus::error;
}

bool is_statement_error(std::string_view sqlstate) {
    static constexpr std::string_view kStatementErrorClasses[] = {
        "0A", "20", "21", "22", "23", "24", "25", "26", "28", "2B", "2D", "2F",
        "34", "38", "39", "3B", "3D", "3F", "40", "42", "44", "54", "55", "P0"};
    return sqlstate == sqlstate_codes::kQueryCanceled ||
           std::find(std::begin(kStatementErrorClasses), std::end(kStatementErrorClasses),
                     sqlstate.substr(0, 2)) != std::end(kStatementErrorClasses);
}

}  // namespace indigovane::adapters
