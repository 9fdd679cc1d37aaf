// What a pooler has done since its last statistics line: counts, written as one line of the log every few
// seconds. A large fleet's costs show only when the lines of all its poolers are summed, which
// tools/sum-statistics does.
#pragma once

#include <array>
#include <cstdint>

#include "routing/interfaces.hpp"

namespace indigovane::routing {

struct RequestStatistics {
    std::uint32_t first_requests = 0;  // taken in, that are no retries of their clients
    std::uint32_t client_retries = 0;  // taken in, that their clients mark as retries
    std::uint32_t attempts = 0;        // sent, or held back by the guard
    std::uint32_t rejected_requests = 0;
    std::uint32_t rejected_on_arrival = 0;  // of the rejected ones: within a few milliseconds
    std::uint32_t failed_requests = 0;
    std::uint32_t clients_left = 0;  // before they were answered
    std::uint32_t health_checks = 0;
    std::uint32_t health_checks_failed = 0;
    std::uint32_t connections = 0;     // opened to hosts
    std::uint32_t endpoint_lists = 0;  // complete lists and changes received
    std::array<std::uint32_t, policy::kAttemptStatusCount> attempts_ended{};  // by status

    bool empty() const {
        return first_requests + client_retries + attempts + health_checks + connections + endpoint_lists == 0;
    }
    Logger::Data data() const;  // without what is zero
};

}  // namespace indigovane::routing
