// Limits the number of open connections to hosts over all pools, because file descriptors are limited. At the
// limit, the connection that has been idle longest is closed to make room for a new one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace indigovane::routing {

class ConnectionBudget {
  public:
    // `close_oldest_idle` closes one idle connection, which calls release(), or returns false if there is
    // none. `on_capacity_returned` is called once a connection closes after another could not be opened.
    ConnectionBudget(std::size_t limit, std::function<bool()> close_oldest_idle,
                     std::function<void()> on_capacity_returned)
        : limit_(limit),
          close_oldest_idle_(std::move(close_oldest_idle)),
          on_capacity_returned_(std::move(on_capacity_returned)) {}

    // Counts a connection that is about to be opened. False: the limit is reached, and it must not be opened.
    bool acquire();
    // Counts a connection that has been closed.
    void release();
    // Sets the limit and closes idle connections above it. Busy ones stay open.
    void set_limit(std::size_t limit);
    // Whether, since the last call, a connection has closed after another could not be opened.
    bool take_capacity_returned() { return std::exchange(capacity_returned_, false); }

    std::size_t open() const { return open_; }
    // The number of connections opened since the last call.
    std::uint32_t take_opened() { return std::exchange(opened_, 0); }

  private:
    std::size_t limit_;
    std::function<bool()> close_oldest_idle_;
    std::function<void()> on_capacity_returned_;
    std::size_t open_ = 0;
    std::uint32_t opened_ = 0;
    bool exhausted_ = false;  // a connection could not be opened since the last release
    bool capacity_returned_ = false;
};

}  // namespace indigovane::routing
