// A queue of timers of the routing policy and deadlines of tasks. It has no clock of its own: callers pass
// the time.
#pragma once

#include <functional>
#include <optional>
#include <queue>
#include <variant>
#include <vector>

#include "routing/backend_task.hpp"

namespace indigovane::routing {

struct PolicyTimer {
    policy::TimerId id{};
};
// The deadline of a task.
struct TaskDeadline {
    EndpointId endpoint{};
    BackendTask task;
};
// The time by which a task must have a connection.
struct StartDeadline {
    EndpointId endpoint{};
    BackendTask task;
};
using Timer = std::variant<PolicyTimer, TaskDeadline, StartDeadline>;

class TimerQueue {
  public:
    void add(Time at, const Timer& timer) { timers_.push({at, next_order_++, timer}); }
    // Removes and returns the earliest timer that is due, or nullopt. Timers with the same time are returned
    // in the order in which they were added.
    std::optional<Timer> take_due(Time now);
    // The time of the earliest timer; nullopt: there is none.
    std::optional<Time> next() const;

  private:
    struct Scheduled {
        Time at;
        std::uint64_t order;
        Timer timer;
        bool operator>(const Scheduled& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> timers_;
    std::uint64_t next_order_ = 0;
};

}  // namespace indigovane::routing
