// What a request's class promises about running a request more than once.
//
// Two components apply this promise. The routing policy (policy/retry_policy.hpp) decides which retries to
// ask for. RequestGuard (routing/request_guard.hpp) checks every attempt and every rejection against the
// rule below, whoever asked for it, and blocks those that would break it.
#pragma once

#include "routing/types.hpp"

namespace indigovane::routing {

// Taken from the settings when the request arrives; later settings don't change it. A value that the settings
// leave out becomes the strictest one.
struct RetryRule {
    policy::Idempotency idempotency = policy::Idempotency::not_idempotent;
    policy::DeduplicationScope scope = policy::DeduplicationScope::group;
    // The deduplication window. It starts when the first attempt that may have run is sent.
    Duration window{};

    // The rule of a class. A class that the settings don't have gets the strictest rule.
    static RetryRule of(const policy::Settings& settings, ClassId request_class);
};

}  // namespace indigovane::routing
