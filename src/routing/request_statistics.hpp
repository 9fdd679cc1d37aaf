// Counts of what a pooler has done since its last statistics line. One log line with these counts is written
// every few seconds. The costs of a large fleet show only in the sum over all its poolers, which
// tools/sum-statistics computes.
#pragma once

#include <array>
#include <cstdint>

#include "routing/interfaces.hpp"

namespace indigovane::routing {

struct RequestStatistics {
    std::uint32_t first_requests = 0;  // accepted requests that their clients don't mark as retries
    std::uint32_t client_retries = 0;  // accepted requests that their clients mark as retries
    std::uint32_t attempts = 0;        // attempts sent or blocked by the guard
    std::uint32_t rejected_requests = 0;
    std::uint32_t rejected_on_arrival = 0;  // requests rejected within a few milliseconds
    std::uint32_t failed_requests = 0;
    std::uint32_t clients_left = 0;  // clients that left before their answer
    std::uint32_t health_checks = 0;
    std::uint32_t health_checks_failed = 0;
    std::uint32_t connections = 0;     // connections opened to hosts
    std::uint32_t endpoint_lists = 0;  // complete lists and changes received
    std::array<std::uint32_t, policy::kAttemptStatusCount> attempts_ended{};  // by status

    bool empty() const {
        return first_requests + client_retries + attempts + health_checks + connections + endpoint_lists == 0;
    }
    // The fields of the log line. Counts of zero are left out.
    Logger::Data log_fields() const;
};

}  // namespace indigovane::routing
