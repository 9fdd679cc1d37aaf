// What a request's class promises about running it again.
#pragma once

#include "routing/types.hpp"

namespace indigovane::routing {

// As the settings had it when the request arrived. What they leave out means the strictest.
struct RetryRule {
    policy::Idempotency idempotency = policy::Idempotency::not_idempotent;
    policy::DeduplicationScope scope = policy::DeduplicationScope::group;
    Duration window{};  // of deduplication, from the first attempt that may have run

    static RetryRule of(const policy::Settings& settings, ClassId request_class);
};

}  // namespace indigovane::routing
