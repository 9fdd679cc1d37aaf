// The engine's timers and their ids.
#pragma once

#include <cstdint>

#include "policy/types.hpp"

namespace indigovane::policy {

constexpr TimerId kMaintenanceTimer{0};
constexpr TimerId kEndpointListTimer{1};
/// Each request has one timer, whose id is the request's id plus this.
constexpr std::uint64_t kFirstRequestTimer = 2;

/// Time between two rounds of maintenance.
constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(20);

constexpr TimerId request_timer(RequestId request) {
    return TimerId(std::uint64_t(request) + kFirstRequestTimer);
}
constexpr RequestId request_of(TimerId timer) {
    return RequestId(std::uint64_t(timer) - kFirstRequestTimer);
}

}  // namespace indigovane::policy
