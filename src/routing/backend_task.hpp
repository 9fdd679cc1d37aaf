// What a connection to a host is given to do: an attempt of a request, or a health check.
#pragma once

#include <cstdint>
#include <optional>

#include "routing/types.hpp"

namespace indigovane::routing {

struct BackendTask {
    bool health_check = false;
    RequestId request{};       // of an attempt
    std::uint32_t number = 0;  // of the attempt within its request, or of the endpoint's health check
    Time sent{};               // when the routing policy asked for it
    Time deadline{};
    Time start_by = Time::max();                            // it may not begin later
    std::optional<std::int64_t> required_position_unix_ms;  // what its answer's data must have reached

    bool is_same_task(const BackendTask& other) const {
        return health_check == other.health_check && request == other.request && number == other.number;
    }
};

// The result of a task that ended without its host's answer.
inline AttemptResult result_without_answer(policy::AttemptStatus status) {
    AttemptResult result;
    result.status = status;
    result.reusable = false;
    return result;
}

}  // namespace indigovane::routing
