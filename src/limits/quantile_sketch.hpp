// Quantiles of recent durations: logarithmic buckets with exponentially decaying weights (forward decay:
// Cormode and others, 2009; buckets after Masson and others, "DDSketch", 2019). Relative error of a quantile:
// 15%.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

#include "limits/types.hpp"

namespace indigovane::limits {

class QuantileSketch {
  public:
    static constexpr std::size_t kBuckets = 44;
    static constexpr double kFirst = 100, kRatio = 1.35;  // microseconds; the last begins at some 40 s

    void record(Duration value, Time now, Duration half_life) {
        decay(now, half_life);
        double us = double(std::max<std::int64_t>(0, value.count()));
        weights_[bucket(us)] += 1;
        total_ += 1;
        sum_ += float(us);
    }

    // Nothing known: zero.
    Duration quantile(double q) const {
        if (total_ <= 0) return Duration::zero();
        double wanted = q * total_, seen = 0;
        for (std::size_t b = 0; b < kBuckets; ++b) {
            seen += weights_[b];
            if (seen >= wanted && weights_[b] > 0) return Duration(std::int64_t(middle(b)));
        }
        return Duration(std::int64_t(middle(kBuckets - 1)));
    }
    Duration mean() const { return total_ > 0 ? Duration(std::int64_t(sum_ / total_)) : Duration::zero(); }
    double weight() const { return total_; }
    double weight(Time now, Duration half_life) const { return total_ * factor(now, half_life); }

  private:
    double factor(Time now, Duration half_life) const {
        if (now <= at_) return 1;
        return std::exp2(-double((now - at_).count()) / double(half_life.count()));
    }
    void decay(Time now, Duration half_life) {
        if (now <= at_) return;
        auto f = float(factor(now, half_life));
        for (float& w : weights_) w *= f;
        total_ *= f;
        sum_ *= f;
        at_ = now;
    }
    static std::size_t bucket(double us) {
        if (us < kFirst) return 0;
        return std::min<std::size_t>(kBuckets - 1, 1 + std::size_t(std::log(us / kFirst) / std::log(kRatio)));
    }
    static double middle(std::size_t b) {
        return b == 0 ? kFirst / 2 : kFirst * std::pow(kRatio, double(b) - 0.5);
    }

    std::array<float, kBuckets> weights_{};
    float total_ = 0, sum_ = 0;
    Time at_{};
};

}  // namespace indigovane::limits
