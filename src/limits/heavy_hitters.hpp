// Finds the keys with the largest weights in bounded memory (Metwally, Agrawal, El Abbadi: "Space-Saving",
// 2005). The weight of a key is never too low, and too high by at most its error. A key with more than
// 1/capacity of the total weight always has a counter.
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
        double error = 0;  // maximum by which `weight` is too high
    };
    explicit HeavyHitters(std::size_t capacity) : capacity_(capacity) { counters_.reserve(capacity); }

    // Adds `weight` to a key. A new key replaces the key with the smallest weight if all counters are in use.
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
    // Halves all weights. Called periodically, so that keys that are no longer heavy are replaced.
    void halve() {
        for (Counter& counter : counters_) {
            counter.weight /= 2;
            counter.error /= 2;
        }
    }
    // Returns at most `limit` counters, the largest weight first.
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
