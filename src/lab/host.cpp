#include "lab/host.hpp"

#include <algorithm>

namespace indigovane::lab {

Host::Host(const FleetOptions& options, Timeline& timeline, std::uint32_t number, std::uint32_t group,
           std::uint32_t zone, bool primary)
    : number(number), group(group), zone(zone), primary(primary), options_(options), timeline_(timeline) {}

Time Host::position() const {
    if (primary) return timeline_.now();
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

// The log's one thread shares the cores with all that is in flight, and catches up no faster than it can.
Time Host::applied_position() const {
    auto others = double(in_flight());
    auto cores = double(options_.cores);
    double pace = std::min(1.0, cores / (others + 1)) / options_.log_apply_load;
    auto elapsed = double((timeline_.now() - applied_at_).count());
    return std::min(applied_ + Duration(std::int64_t(elapsed * pace)), timeline_.now());
}

void Host::update_applied_position() {
    if (options_.log_apply_load <= 0) return;
    applied_ = applied_position();
    applied_at_ = timeline_.now();
}

Duration Host::duration_of(Duration amount) const {
    double capacity = 1;
    if (started_) {
        double age = double((timeline_.now() - *started_).count()) / double(options_.ramp.count());
        capacity = std::min(1.0, options_.slow_start_share + (1 - options_.slow_start_share) * age);
    }
    return Duration(std::int64_t(double(amount.count()) * slowdown / capacity));
}

std::uint64_t Host::submit(Duration amount, std::function<void()> done) {
    std::uint64_t work = ++last_work_;
    if (busy_ < options_.cores) {
        begin(amount, std::move(done));
        return work;
    }
    if (queue_.size() >= options_.queue) return 0;
    update_applied_position();
    queue_.push_back({work, amount, std::move(done)});
    return work;
}

void Host::begin(Duration amount, std::function<void()> done) {
    update_applied_position();
    ++busy_;
    timeline_.after(duration_of(amount), Rank::world,
                    [this, incarnation = incarnation_, done = std::move(done)] {
                        if (incarnation_ == incarnation) finish(done);
                    });
}

void Host::finish(const std::function<void()>& done) {
    update_applied_position();
    --busy_;
    done();
    while (busy_ < options_.cores && !queue_.empty()) {
        QueuedWork next = std::move(queue_.front());
        queue_.pop_front();
        begin(next.amount, std::move(next.done));
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
    up_ = false;
    refuses_connections = false;
    busy_ = 0;
    connections = 0;
    queue_.clear();
}

void Host::restart() {
    up_ = true;
    started_ = timeline_.now();
    applied_at_ = timeline_.now();
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
