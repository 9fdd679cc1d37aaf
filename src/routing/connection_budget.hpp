// How many connections to hosts may be open at once, over all pools. Descriptors are bounded: where all are
// taken, the connection that has been idle longest is closed for a new one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace indigovane::routing {

class ConnectionBudget {
  public:
    // `close_oldest_idle` closes one idle connection, which calls release(); false: there is none.
    // `on_capacity` is called when a connection closes after one could not be opened.
    ConnectionBudget(std::size_t limit, std::function<bool()> close_oldest_idle,
                     std::function<void()> on_capacity)
        : limit_(limit),
          close_oldest_idle_(std::move(close_oldest_idle)),
          on_capacity_(std::move(on_capacity)) {}

    // Counts a connection that is about to be opened. False: it may not be.
    bool acquire();
    // Counts a connection that has been closed.
    void release();
    // Closes idle connections where there are more than that.
    void set_limit(std::size_t limit);
    // Whether capacity has come back, since the last call, after a connection could not be opened.
    bool take_capacity_returned() { return std::exchange(capacity_returned_, false); }

    std::size_t open() const { return open_; }
    std::uint32_t take_opened() { return std::exchange(opened_, 0); }  // since the last call

  private:
    std::size_t limit_;
    std::function<bool()> close_oldest_idle_;
    std::function<void()> on_capacity_;
    std::size_t open_ = 0;
    std::uint32_t opened_ = 0;
    bool exhausted_ = false;  // one could not be opened
    bool capacity_returned_ = false;
};

}  // namespace indigovane::routing
