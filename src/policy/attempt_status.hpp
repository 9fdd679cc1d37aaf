// How an attempt ended, and what that proves about whether its statement was executed.
#pragma once

#include <cstddef>

namespace indigovane::policy {

enum class AttemptStatus {
    ok,
    error,        ///< the endpoint answered with an error of its own
    rejected,     ///< the endpoint turned the work away before running it
    timeout,      ///< no answer in time
    unreachable,  ///< no connection came up
    reset,        ///< the connection broke with the attempt on it
    cancelled,
    not_started,  ///< no connection came free in time
    miss,  ///< the endpoint doesn't serve this: it refused the read as too far behind, or has no such data
    stale  ///< the endpoint answered, with older data than the read allows; the answer was not passed on
};
constexpr std::size_t kAttemptStatusCount = 10;

/// What is known of whether a statement was executed, the weakest evidence first. It is a fact of its own and
/// never follows from how useful the answer was: evidence that a statement ran is not taken back by a later
/// message, a broken connection, a clock or another layer's verdict.
enum class Execution { never_ran, may_have_run, ran };

/// What a status proves by itself.
constexpr Execution execution_of(AttemptStatus status) {
    switch (status) {
        case AttemptStatus::rejected:
        case AttemptStatus::unreachable:
        case AttemptStatus::not_started:
        case AttemptStatus::miss:
            return Execution::never_ran;
        case AttemptStatus::ok:
        case AttemptStatus::stale:
            return Execution::ran;
        case AttemptStatus::error:
        case AttemptStatus::timeout:
        case AttemptStatus::reset:
        case AttemptStatus::cancelled:
            break;
    }
    return Execution::may_have_run;
}

/// The same with evidence beyond the status: the stronger of the two.
constexpr Execution execution_of(AttemptStatus status, Execution evidence) {
    return evidence > execution_of(status) ? evidence : execution_of(status);
}

}  // namespace indigovane::policy
