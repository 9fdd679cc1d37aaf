// Settings and classes of a small deployment: a bounded read, a session read, a write.
#pragma once

#include <utility>

#include "adapters/classes.hpp"
#include "policy/routing_policy.hpp"

namespace indigovane::testing {

using namespace std::chrono_literals;

inline policy::Settings settings() {
    policy::Settings settings;
    settings.fleet_size = 1;
    settings.may_check_health = true;
    settings.may_cancel_attempts = true;
    settings.may_send_retry_after = true;
    settings.max_attempts = 10;
    settings.max_retry_after = 1s;
    settings.token_source = policy::TokenSource::remembered;
    settings.staleness_check = policy::StalenessCheck::wait;
    for (auto [consistency, idempotency] :
         {std::pair{policy::Consistency::bounded, policy::Idempotency::idempotent},
          {policy::Consistency::session, policy::Idempotency::idempotent},
          {policy::Consistency::write, policy::Idempotency::idempotency_key}}) {
        policy::ClassSettings request_class;
        request_class.consistency = consistency;
        request_class.idempotency = idempotency;
        request_class.latency_objective = 2s;
        request_class.deadline = 4s;
        request_class.staleness_bound = 3s;
        request_class.deduplication_window = 2s;
        request_class.deduplication_scope = policy::DeduplicationScope::group;
        settings.classes.push_back(request_class);
    }
    return settings;
}
inline adapters::Classes classes() {
    return adapters::Classes({{"stock-view", routing::ClassId{0}, 4s, false, false},
                              {"own-order", routing::ClassId{1}, 4s, false, true},
                              {"scan-write", routing::ClassId{2}, 4s, true, false, true}});
}

}  // namespace indigovane::testing
