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
    static constexpr double kFirstBucketUs = 100;
    static constexpr double kBucketRatio = 1.35;  // the last bucket begins at some 40 s

    void record(Duration value, Time now, Duration half_life) {
        decay(now, half_life);
        double us = double(std::max<std::int64_t>(0, value.count()));
        weights_[bucket(us)] += 1;
        total_ += 1;
        sum_us_ += float(us);
    }

    // `fraction`: 0 to 1. Zero where nothing is recorded.
    Duration quantile(double fraction) const {
        if (total_ <= 0) return Duration::zero();
        double wanted = fraction * total_;
        double seen = 0;
        for (std::size_t i = 0; i < kBuckets; ++i) {
            seen += weights_[i];
            if (seen >= wanted && weights_[i] > 0) return Duration(std::int64_t(middle_us(i)));
        }
        return Duration(std::int64_t(middle_us(kBuckets - 1)));
    }
    // Zero where nothing is recorded.
    Duration mean() const { return total_ > 0 ? Duration(std::int64_t(sum_us_ / total_)) : Duration::zero(); }
    // Of all that was recorded, as of the last record().
    double weight() const { return total_; }

  private:
    void decay(Time now, Duration half_life) {
        if (now <= at_) return;
        auto factor = float(std::exp2(-double((now - at_).count()) / double(half_life.count())));
        for (float& weight : weights_) weight *= factor;
        total_ *= factor;
        sum_us_ *= factor;
        at_ = now;
    }
    static std::size_t bucket(double us) {
        if (us < kFirstBucketUs) return 0;
        auto above_first = std::size_t(std::log(us / kFirstBucketUs) / std::log(kBucketRatio));
        return std::min<std::size_t>(kBuckets - 1, 1 + above_first);
    }
    static double middle_us(std::size_t bucket) {
        if (bucket == 0) return kFirstBucketUs / 2;
        return kFirstBucketUs * std::pow(kBucketRatio, double(bucket) - 0.5);
    }

    std::array<float, kBuckets> weights_{};
    float total_ = 0;
    float sum_us_ = 0;
    Time at_{};
};

}  // namespace indigovane::limits
