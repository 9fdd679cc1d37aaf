// What is to happen at a time: timers of the routing policy, and the deadlines of tasks. No clock of its own.
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
// A task's time is up.
struct TaskDeadline {
    EndpointId endpoint{};
    BackendTask task;
};
// A task must be on a connection by now.
struct StartDeadline {
    EndpointId endpoint{};
    BackendTask task;
};
using Timer = std::variant<PolicyTimer, TaskDeadline, StartDeadline>;

class TimerQueue {
  public:
    void add(Time at, const Timer& timer) { timers_.push({at, next_order_++, timer}); }
    // The earliest timer that is due, taken out; of one time the first that was added.
    std::optional<Timer> take_due(Time now);
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
