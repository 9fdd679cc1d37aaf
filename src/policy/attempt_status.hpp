// How an attempt ended, and what its end proves about whether the statement was executed.
#pragma once

#include <cstddef>

namespace indigovane::policy {

enum class AttemptStatus {
    ok,
    error,        ///< the endpoint answered with an error
    rejected,     ///< the endpoint refused the request before executing it
    timeout,      ///< no answer arrived before the timeout
    unreachable,  ///< no connection could be established
    reset,        ///< the connection broke while the attempt was in flight
    cancelled,
    not_started,  ///< no connection became free in time
    /// The endpoint does not serve this request: it refused the read because its data is too old, or it does
    /// not hold the data.
    miss,
    /// The endpoint answered with older data than the read allows. The client did not get this answer.
    stale,
    /// The attempt was never sent: when its connection was ready, its endpoint no longer had what the request
    /// requires. Its data was known to be recent enough, or it was known to be the primary, only earlier.
    disqualified
};
constexpr std::size_t kAttemptStatusCount = 11;

/// Whether the status shows that the endpoint itself has answered.
constexpr bool is_answer(AttemptStatus status) {
    switch (status) {
        case AttemptStatus::ok:
        case AttemptStatus::error:
        case AttemptStatus::rejected:
        case AttemptStatus::miss:
        case AttemptStatus::stale:
            return true;
        case AttemptStatus::timeout:
        case AttemptStatus::unreachable:
        case AttemptStatus::reset:
        case AttemptStatus::cancelled:
        case AttemptStatus::not_started:
        case AttemptStatus::disqualified:
            break;
    }
    return false;
}

/// What is known about whether a statement was executed, from the weakest to the strongest evidence. It does
/// not depend on whether the answer was usable. Evidence that a statement ran is final: no later message,
/// broken connection, clock reading or decision of another layer withdraws it.
enum class Execution { never_ran, may_have_run, ran };

/// What the status alone proves.
constexpr Execution execution_of(AttemptStatus status) {
    switch (status) {
        case AttemptStatus::rejected:
        case AttemptStatus::unreachable:
        case AttemptStatus::not_started:
        case AttemptStatus::miss:
        case AttemptStatus::disqualified:
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

/// The stronger of `evidence` and of what the status proves.
constexpr Execution execution_of(AttemptStatus status, Execution evidence) {
    return evidence > execution_of(status) ? evidence : execution_of(status);
}

}  // namespace indigovane::policy
