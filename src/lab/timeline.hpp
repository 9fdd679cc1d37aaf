// Virtual time: events in the order of their times. At one instant: by rank, then in the order in which they
// were set, or, to show that nothing hangs on that, by a permutation.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "routing/types.hpp"

namespace indigovane::lab {

using routing::Duration;
using routing::Time;

// What happens first where several things happen at one instant: the world before those who look at it.
enum class Rank : std::uint8_t {
    world,    // hosts, network, troubles
    arrival,  // bytes reach a pooler or a client
    timer,    // a pooler's alarms
    batch,    // a pooler hands what has come to its module
};

class Timeline {
  public:
    // `permutation`: 0 keeps the order of setting.
    explicit Timeline(std::uint64_t permutation = 0) : permutation_(permutation) {}

    Time now() const { return now_; }
    std::uint64_t events() const { return done_; }  // so far
    void at(Time when, Rank rank, std::function<void()> then) {
        std::uint64_t order = ++set_;
        if (permutation_ != 0) order = (order * 0x9e3779b97f4a7c15u) ^ permutation_;
        queue_.push({std::max(when, now_), rank, order, set_, std::move(then)});
    }
    void after(Duration wait, Rank rank, std::function<void()> then) {
        at(now_ + wait, rank, std::move(then));
    }

    // Everything up to then. False: `most` events have happened before, as in a model that never comes to
    // rest.
    bool run(Time until, std::uint64_t most = ~std::uint64_t(0)) {
        while (!queue_.empty() && queue_.top().when <= until) {
            if (most-- == 0) return false;
            // The queue gives its top as const: it is taken out at once, so that it may be moved from.
            Event event = std::move(const_cast<Event&>(queue_.top()));
            queue_.pop();
            now_ = event.when;
            ++done_;
            event.then();
        }
        now_ = std::max(now_, until);
        return true;
    }
    std::size_t pending() const { return queue_.size(); }

  private:
    struct Event {
        Time when;
        Rank rank;
        std::uint64_t order, set;
        std::function<void()> then;
        bool operator<(const Event& o) const {  // the queue's top is the greatest
            if (when != o.when) return when > o.when;
            if (rank != o.rank) return rank > o.rank;
            if (order != o.order) return order > o.order;
            return set > o.set;
        }
    };
    std::priority_queue<Event> queue_;
    Time now_{};
    std::uint64_t permutation_, set_ = 0, done_ = 0;
};

// The poolers' clock: virtual time, with Unix times that begin at a fixed moment.
class VirtualClock : public routing::Clock {
  public:
    static constexpr std::int64_t kEpoch = 1'700'000'000'000'000;
    explicit VirtualClock(const Timeline& timeline) : Clock(kEpoch), timeline_(timeline) {}
    Time now() const override { return timeline_.now(); }

  private:
    const Timeline& timeline_;
};

}  // namespace indigovane::lab
