// One attempt of a request at a member: the only record of what it is known to have done.
#pragma once

#include <optional>

#include "routing/pool.hpp"

namespace indigovane::routing {

struct Attempt {
    Job job;
    MemberId member{};
    std::uint32_t zone = 0, group = 0;  // of the member
    bool out = true;
    starlingpond::Execution execution = starlingpond::Execution::may_have_run;  // while it is out
    std::optional<starlingpond::Status> status;                                 // none: it is out

    bool may_have_run() const { return execution != starlingpond::Execution::never_ran; }
};

}  // namespace indigovane::routing
