// Quantiles of recent durations, in logarithmic buckets with exponentially decaying weights (forward decay:
// Cormode and others, 2009; buckets: Masson and others, "DDSketch", 2019). The relative error of a quantile
// is at most 15%.
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
    static constexpr double kBucketRatio = 1.35;  // with this ratio the last bucket begins at about 40 s

    void record(Duration value, Time now, Duration half_life) {
        decay(now, half_life);
        double duration_us = double(std::max<std::int64_t>(0, value.count()));
        weights_[bucket(duration_us)] += 1;
        total_ += 1;
        sum_us_ += float(duration_us);
    }

    // `fraction` is from 0 to 1. Returns zero if nothing is recorded.
    Duration quantile(double fraction) const {
        if (total_ <= 0) return Duration::zero();
        double target_weight = fraction * total_;
        double cumulative_weight = 0;
        for (std::size_t i = 0; i < kBuckets; ++i) {
            cumulative_weight += weights_[i];
            if (cumulative_weight >= target_weight && weights_[i] > 0)
                return Duration(std::int64_t(middle_us(i)));
        }
        return Duration(std::int64_t(middle_us(kBuckets - 1)));
    }
    // Returns zero if nothing is recorded.
    Duration mean() const { return total_ > 0 ? Duration(std::int64_t(sum_us_ / total_)) : Duration::zero(); }
    // Returns the total weight of all values, decayed until the last record().
    double weight() const { return total_; }

  private:
    void decay(Time now, Duration half_life) {
        if (now <= decayed_at_) return;
        auto factor = float(std::exp2(-double((now - decayed_at_).count()) / double(half_life.count())));
        for (float& weight : weights_) weight *= factor;
        total_ *= factor;
        sum_us_ *= factor;
        decayed_at_ = now;
    }
    static std::size_t bucket(double duration_us) {
        if (duration_us < kFirstBucketUs) return 0;
        auto above_first = std::size_t(std::log(duration_us / kFirstBucketUs) / std::log(kBucketRatio));
        return std::min<std::size_t>(kBuckets - 1, 1 + above_first);
    }
    static double middle_us(std::size_t bucket) {
        if (bucket == 0) return kFirstBucketUs / 2;
        return kFirstBucketUs * std::pow(kBucketRatio, double(bucket) - 0.5);
    }

    std::array<float, kBuckets> weights_{};
    float total_ = 0;
    float sum_us_ = 0;
    Time decayed_at_{};
};

}  // namespace indigovane::limits
