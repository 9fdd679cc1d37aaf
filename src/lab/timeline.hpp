// Virtual time: runs events in the order of their times. Events at the same time run by rank, and within a
// rank in the order in which they were scheduled. Tests replace that last order by a permutation, to show
// that no result depends on it.
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

// The order of events at the same time. The model's state changes before poolers and clients observe it.
enum class EventRank : std::uint8_t {
    world,    // changes of hosts, network and faults
    arrival,  // messages that reach a pooler or a client
    timer,    // timers of poolers
    batch,    // a pooler passes the events received to its routing policy
};

// A queue of events and the current virtual time. Single-threaded.
class Timeline {
  public:
    // Seed of the order of events with the same time and rank; 0 keeps the order of scheduling.
    explicit Timeline(std::uint64_t permutation = 0) : permutation_(permutation) {}

    Time now() const { return now_; }
    // Number of events that have run.
    std::uint64_t executed_events() const { return executed_events_; }
    // Schedules an event. A time in the past counts as the current time.
    void schedule_at(Time when, EventRank rank, std::function<void()> action) {
        std::uint64_t order = ++scheduled_events_;
        if (permutation_ != 0) order = (order * 0x9e3779b97f4a7c15u) ^ permutation_;
        queue_.push({std::max(when, now_), rank, order, scheduled_events_, std::move(action)});
    }
    void schedule_after(Duration delay, EventRank rank, std::function<void()> action) {
        schedule_at(now_ + delay, rank, std::move(action));
    }

    // Runs all events up to and including `until`. Returns false if `max_events` events have run and further
    // ones are due, as in a model whose events never cease.
    bool run(Time until, std::uint64_t max_events = ~std::uint64_t(0)) {
        while (!queue_.empty() && queue_.top().when <= until) {
            if (max_events-- == 0) return false;
            // top() returns a const reference. Moving from it is safe, because the element is popped next.
            Event event = std::move(const_cast<Event&>(queue_.top()));
            queue_.pop();
            now_ = event.when;
            ++executed_events_;
            event.action();
        }
        now_ = std::max(now_, until);
        return true;
    }
    // Number of events that are scheduled and have not run.
    std::size_t pending() const { return queue_.size(); }

  private:
    struct Event {
        Time when;
        EventRank rank;
        std::uint64_t order, sequence_number;
        std::function<void()> action;
        bool operator<(const Event& other) const {
            // The queue's top is the greatest element, so an earlier event compares as greater.
            if (when != other.when) return when > other.when;
            if (rank != other.rank) return rank > other.rank;
            if (order != other.order) return order > other.order;
            return sequence_number > other.sequence_number;
        }
    };
    std::priority_queue<Event> queue_;
    Time now_{};
    std::uint64_t permutation_, scheduled_events_ = 0, executed_events_ = 0;
};

// The clock of the poolers: virtual time, with a fixed Unix time as its start.
class VirtualClock : public routing::Clock {
  public:
    // Unix time at the start of virtual time, in microseconds.
    static constexpr std::int64_t kUnixStartUs = 1'700'000'000'000'000;
    explicit VirtualClock(const Timeline& timeline) : Clock(kUnixStartUs), timeline_(timeline) {}
    Time now() const override { return timeline_.now(); }

  private:
    const Timeline& timeline_;
};

}  // namespace indigovane::lab
