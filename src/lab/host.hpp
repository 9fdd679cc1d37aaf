// The model of a database host: cores, a queue of work for them, and a log that the host writes (as primary)
// or applies (as replica).
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
         std::uint32_t zone, bool is_primary);

    const std::uint32_t number, group, zone;
    bool is_primary;
    bool is_draining = false;
    // While the host is down: its machine is reachable and resets new connections.
    bool refuses_connections = false;
    // Factor on the time that work takes.
    double slowdown = 1;
    // Number of open connections.
    std::size_t connections = 0;

    bool is_up() const { return is_up_; }
    // Changes with each crash. Work and connections of an earlier incarnation are void.
    std::uint64_t incarnation() const { return incarnation_; }
    // Time of the last restart; std::nullopt if the host has not been restarted.
    std::optional<Time> started() const { return started_; }
    std::size_t busy_cores() const { return busy_cores_; }
    // Work that runs or is queued.
    std::size_t in_flight() const { return busy_cores_ + queue_.size(); }

    // The log position that the host's data has reached. It never decreases.
    Time position() const;

    // Runs work of the length `base_time` (on a warm host without slowdown) as soon as a core is free, then
    // calls `on_done`. Does not call it if the host crashes, or if the work is cancelled before it starts.
    // Returns the work's number, or 0 if the work is rejected because the queue is full.
    std::uint64_t submit(Duration base_time, std::function<void()> on_done);
    // Drops work that has not started, if the option `hosts_drop_cancelled` is set.
    void cancel(std::uint64_t work);

    void crash();
    // Starts the host in slow start. Its log continues at the position that it had reached.
    void restart();
    // Holds the log at its position until it is `lag` behind; from then on it stays `lag` behind.
    void fall_behind(Duration lag);
    // Ends fall_behind(): the log advances at four times the speed of time until it is current.
    void catch_up();

  private:
    enum class LogState { current, behind, catching_up };
    struct QueuedWork {
        std::uint64_t number;
        Duration base_time;
        std::function<void()> on_done;
    };

    void begin(Duration base_time, std::function<void()> on_done);
    void finish(const std::function<void()>& on_done);
    Duration execution_time(Duration base_time) const;
    Time applied_position() const;
    // Must be called before in_flight() changes, because the speed of log apply depends on it.
    void update_applied_position();

    const FleetOptions& options_;
    Timeline& timeline_;
    bool is_up_ = true;
    std::uint64_t incarnation_ = 1;
    std::optional<Time> started_;
    std::size_t busy_cores_ = 0;
    std::deque<QueuedWork> queue_;
    std::uint64_t last_work_ = 0;

    LogState log_state_ = LogState::current;
    // Lag in the state `behind`.
    Duration lag_{};
    // The position when the host fell behind or began to catch up.
    Time frozen_position_{};
    Time catching_up_since_{};
    // Only with FleetOptions::log_apply_load: an applied log position, and the time at which it was reached.
    Time last_applied_position_{}, last_applied_at_{};
};

}  // namespace indigovane::lab
