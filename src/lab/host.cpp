#include "lab/host.hpp"

#include <algorithm>

namespace indigovane::lab {

Host::Host(const FleetOptions& options, Timeline& timeline, std::uint32_t number, std::uint32_t group,
           std::uint32_t zone, bool is_primary)
    : number(number),
      group(group),
      zone(zone),
      is_primary(is_primary),
      options_(options),
      timeline_(timeline) {}

Time Host::position() const {
    if (is_primary) return timeline_.now();
    Time current = timeline_.now() - options_.replication_delay;
    switch (log_state_) {
        case LogState::current:
            break;
        case LogState::behind:
            return std::max(frozen_position_, current - lag_);
        case LogState::catching_up:
            return std::min(current, frozen_position_ + (timeline_.now() - catching_up_since_) * 4);
    }
    return options_.log_apply_load > 0 ? std::min(current, applied_position()) : current;
}

// The single thread that applies the log shares the cores with all work in flight. This limits the speed at
// which the log catches up.
Time Host::applied_position() const {
    auto work_in_flight = double(in_flight());
    auto cores = double(options_.cores);
    double apply_speed = std::min(1.0, cores / (work_in_flight + 1)) / options_.log_apply_load;
    auto elapsed = double((timeline_.now() - last_applied_at_).count());
    return std::min(last_applied_position_ + Duration(std::int64_t(elapsed * apply_speed)), timeline_.now());
}

void Host::update_applied_position() {
    if (options_.log_apply_load <= 0) return;
    last_applied_position_ = applied_position();
    last_applied_at_ = timeline_.now();
}

Duration Host::execution_time(Duration base_time) const {
    double capacity = 1;
    if (started_) {
        double age = double((timeline_.now() - *started_).count()) / double(options_.slow_start_ramp.count());
        capacity = std::min(1.0, options_.slow_start_share + (1 - options_.slow_start_share) * age);
    }
    return Duration(std::int64_t(double(base_time.count()) * slowdown / capacity));
}

std::uint64_t Host::submit(Duration base_time, std::function<void()> on_done) {
    std::uint64_t work = ++last_work_;
    if (busy_cores_ < options_.cores) {
        begin(base_time, std::move(on_done));
        return work;
    }
    if (queue_.size() >= options_.max_queued_requests) return 0;
    update_applied_position();
    queue_.push_back({work, base_time, std::move(on_done)});
    return work;
}

void Host::begin(Duration base_time, std::function<void()> on_done) {
    update_applied_position();
    ++busy_cores_;
    timeline_.schedule_after(execution_time(base_time), EventRank::world,
                             [this, incarnation = incarnation_, on_done = std::move(on_done)] {
                                 if (incarnation_ == incarnation) finish(on_done);
                             });
}

void Host::finish(const std::function<void()>& on_done) {
    update_applied_position();
    --busy_cores_;
    on_done();
    while (busy_cores_ < options_.cores && !queue_.empty()) {
        QueuedWork next = std::move(queue_.front());
        queue_.pop_front();
        begin(next.base_time, std::move(next.on_done));
    }
}

void Host::cancel(std::uint64_t work) {
    update_applied_position();
    if (options_.hosts_drop_cancelled)
        std::erase_if(queue_, [&](const QueuedWork& queued) { return queued.number == work; });
}

void Host::crash() {
    update_applied_position();
    ++incarnation_;
    is_up_ = false;
    refuses_connections = false;
    busy_cores_ = 0;
    connections = 0;
    queue_.clear();
}

void Host::restart() {
    is_up_ = true;
    started_ = timeline_.now();
    last_applied_at_ = timeline_.now();
}

void Host::fall_behind(Duration lag) {
    frozen_position_ = position();
    lag_ = lag;
    log_state_ = LogState::behind;
}

void Host::catch_up() {
    frozen_position_ = position();
    catching_up_since_ = timeline_.now();
    log_state_ = LogState::catching_up;
}

}  // namespace indigovane::lab
