// One attempt of a request at an endpoint, with what is known about its execution. No other record of that is
// kept.
#pragma once

#include <optional>

#include "routing/backend_task.hpp"

namespace indigovane::routing {

struct Attempt {
    BackendTask task;
    EndpointId endpoint{};
    std::uint32_t zone = 0;   // of the endpoint
    std::uint32_t group = 0;  // of the endpoint
    bool in_flight = true;
    bool paused = false;                                            // given up because its answer had paused
    policy::Execution execution = policy::Execution::may_have_run;  // the value while it is in flight
    std::optional<policy::AttemptStatus> status;                    // nullopt while it is in flight

    bool may_have_run() const { return execution != policy::Execution::never_ran; }
};

}  // namespace indigovane::routing
