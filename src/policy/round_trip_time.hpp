// The round trip time to an endpoint: the mean latency of its last five health checks.
//
// Source: "Reading from MongoDB Replica Sets with PyMongo": a moving average of five samples
// (docs/design.md).
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

#include "policy/types.hpp"

namespace indigovane::policy {

/// The round trip time to one endpoint.
class RoundTripTime {
  public:
    void record(Duration latency) {
        samples_[recorded_ % kSamples] = latency;
        ++recorded_;
    }

    /// Zero before the first sample.
    Duration average() const {
        std::size_t count = std::min(recorded_, kSamples);
        Duration sum{};
        for (std::size_t i = 0; i < count; ++i) sum += samples_[i];
        return sum / std::max<std::int64_t>(1, std::int64_t(count));
    }

  private:
    static constexpr std::size_t kSamples = 5;
    std::array<Duration, kSamples> samples_{};
    std::size_t recorded_ = 0;
};

}  // namespace indigovane::policy
