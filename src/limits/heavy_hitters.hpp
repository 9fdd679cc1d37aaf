// The few keys that weigh most, in fixed memory (Metwally, Agrawal, El Abbadi: "Space-Saving", 2005). A key's
// weight is too high by its error at most, and never too low; a key with more than 1/places of all weight is
// always there.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace indigovane::limits {

template <typename Key>
class HeavyHitters {
  public:
    struct Place {
        Key key{};
        double weight = 0, error = 0;
    };
    explicit HeavyHitters(std::size_t places) : most_(places) { places_.reserve(places); }

    void add(const Key& key, double weight) {
        total_ += weight;
        Place* least = nullptr;
        for (Place& p : places_) {
            if (p.key == key) {
                p.weight += weight;
                return;
            }
            if (!least || p.weight < least->weight) least = &p;
        }
        if (places_.size() < most_) {
            places_.push_back({key, weight, 0});
            return;
        }
        least->error = least->weight;
        least->weight += weight;
        least->key = key;
    }
    // From time to time: what was heavy long ago must not stand for good.
    void halve() {
        for (Place& p : places_) p.weight /= 2, p.error /= 2;
        total_ /= 2;
    }
    std::vector<Place> top(std::size_t most) const {
        std::vector<Place> out = places_;
        std::sort(out.begin(), out.end(), [](const Place& a, const Place& b) { return a.weight > b.weight; });
        if (out.size() > most) out.resize(most);
        return out;
    }
    double total() const { return total_; }

  private:
    std::size_t most_;
    std::vector<Place> places_;
    double total_ = 0;
};

}  // namespace indigovane::limits
