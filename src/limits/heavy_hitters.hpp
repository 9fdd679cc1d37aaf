// The few keys of the largest weights, in fixed memory (Metwally, Agrawal, El Abbadi: "Space-Saving", 2005).
// A key's weight is too high by its error at most, and never too low; a key with more than 1/capacity of all
// weight is always there.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace indigovane::limits {

template <typename Key>
class HeavyHitters {
  public:
    struct Counter {
        Key key{};
        double weight = 0;
        double error = 0;
    };
    explicit HeavyHitters(std::size_t capacity) : capacity_(capacity) { counters_.reserve(capacity); }

    // Where there is no counter left, the key takes over the smallest one.
    void add(const Key& key, double weight) {
        Counter* smallest = nullptr;
        for (Counter& counter : counters_) {
            if (counter.key == key) {
                counter.weight += weight;
                return;
            }
            if (!smallest || counter.weight < smallest->weight) smallest = &counter;
        }
        if (counters_.size() < capacity_) {
            counters_.push_back({key, weight, 0});
            return;
        }
        smallest->error = smallest->weight;
        smallest->weight += weight;
        smallest->key = key;
    }
    // Called from time to time: a key that was heavy long ago gives way.
    void halve() {
        for (Counter& counter : counters_) {
            counter.weight /= 2;
            counter.error /= 2;
        }
    }
    // At most `limit`, the largest weight first.
    std::vector<Counter> top(std::size_t limit) const {
        std::vector<Counter> counters = counters_;
        std::sort(counters.begin(), counters.end(),
                  [](const Counter& a, const Counter& b) { return a.weight > b.weight; });
        if (counters.size() > limit) counters.resize(limit);
        return counters;
    }

  private:
    std::size_t capacity_;
    std::vector<Counter> counters_;
};

}  // namespace indigovane::limits
