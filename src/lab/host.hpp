// The model of a database host: cores that work, a queue before them, a log that it writes or applies.
#pragma once

#include <deque>
#include <functional>
#include <optional>

#include "lab/fleet_options.hpp"
#include "lab/timeline.hpp"

namespace indigovane::lab {

class Host {
  public:
    Host(const FleetOptions& options, Timeline& timeline, std::uint32_t number, std::uint32_t group,
         std::uint32_t zone, bool primary);

    const std::uint32_t number, group, zone;
    bool primary;
    bool draining = false;
    bool refuses_connections = false;  // while it is down: the machine is there and resets them
    double slowdown = 1;               // work takes so many times as long
    std::size_t connections = 0;

    bool up() const { return up_; }
    std::uint64_t incarnation() const { return incarnation_; }  // what belongs to an earlier one is over
    std::optional<Time> started() const { return started_; }    // none: long ago
    std::size_t busy_cores() const { return busy_; }
    std::size_t in_flight() const { return busy_ + queue_.size(); }

    // The log position that its data has reached. It never goes back.
    Time position() const;

    // Works for `amount` as soon as a core is free, then calls `done`, unless the host crashes or the work is
    // cancelled in time. Returns the work's number; 0: rejected, its queue is full.
    std::uint64_t submit(Duration amount, std::function<void()> done);
    void cancel(std::uint64_t work);  // one that has not begun, where hosts drop such

    void crash();
    void restart();  // warming up, from where its log stood
    void fall_behind(Duration lag);
    void catch_up();  // four times as fast as time

  private:
    enum class LogState { current, behind, catching_up };
    struct QueuedWork {
        std::uint64_t number;
        Duration amount;
        std::function<void()> done;
    };

    void begin(Duration amount, std::function<void()> done);
    void finish(const std::function<void()>& done);
    Duration duration_of(Duration amount) const;
    Time applied_position() const;
    void update_applied_position();  // before what is in flight changes

    const FleetOptions& options_;
    Timeline& timeline_;
    bool up_ = true;
    std::uint64_t incarnation_ = 1;
    std::optional<Time> started_;
    std::size_t busy_ = 0;
    std::deque<QueuedWork> queue_;
    std::uint64_t last_work_ = 0;

    LogState log_state_ = LogState::current;
    Duration lag_{};          // while it is behind
    Time frozen_position_{};  // where it stood when it fell behind or began to catch up
    Time catching_up_since_{};
    Time applied_{}, applied_at_{};  // where options.log_apply_load counts: a position, and as of when
};

}  // namespace indigovane::lab
