// One attempt of a request at a member: the only record of what it is known to have done.
#pragma once

#include <optional>

#include "routing/pool.hpp"

namespace indigovane::routing {

struct Attempt {
    BackendTask task;
    EndpointId endpoint{};
    std::uint32_t zone = 0, group = 0;  // of the member
    bool out = true;
    policy::Execution execution = policy::Execution::may_have_run;  // while it is out
    std::optional<policy::AttemptStatus> status;                    // none: it is out

    bool may_have_run() const { return execution != policy::Execution::never_ran; }
};

}  // namespace indigovane::routing
