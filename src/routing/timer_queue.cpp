#include "routing/timer_queue.hpp"

namespace indigovane::routing {

std::optional<Timer> TimerQueue::take_due(Time now) {
    if (timers_.empty() || timers_.top().at > now) return std::nullopt;
    Timer timer = timers_.top().timer;
    timers_.pop();
    return timer;
}

std::optional<Time> TimerQueue::next() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.top().at;
}

}  // namespace indigovane::routing
