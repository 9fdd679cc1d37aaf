// A task for a connection to a host: an attempt of a request, or a health check.
#pragma once

#include <cstdint>
#include <optional>

#include "routing/types.hpp"

namespace indigovane::routing {

struct BackendTask {
    bool is_health_check = false;
    RequestId request{};  // set only for an attempt
    // The index of an attempt within its request, or the endpoint's health checks so far; counts from 0.
    std::uint32_t number = 0;
    Time sent{};  // when the routing policy asked for the task, not when its first byte was written
    Time deadline{};
    Time start_by = Time::max();  // the task may not start after this time
    // The position that the answer's data must have reached.
    std::optional<std::int64_t> required_position_unix_ms;

    bool is_same_task(const BackendTask& other) const {
        return is_health_check == other.is_health_check && request == other.request && number == other.number;
    }
};

// The result of a task that ended without an answer from its host.
inline AttemptResult result_without_answer(policy::AttemptStatus status) {
    AttemptResult result;
    result.status = status;
    result.reusable = false;
    return result;
}

}  // namespace indigovane::routing
