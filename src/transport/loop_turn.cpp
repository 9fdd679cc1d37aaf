#include "transport/loop_turn.hpp"

#include <algorithm>

namespace indigovane::transport {

boost::asio::execution_context::id LoopTurn::id;

LoopTurn::Report LoopTurn::run(boost::asio::io_context& io, std::optional<Duration> longest_wait) {
    Report report;
    handler_since_.reset();
    report.handlers = longest_wait ? io.run_one_for(*longest_wait) : io.run_one();
    const Time begin = std::chrono::steady_clock::now();
    Time now = begin;
    while (now - begin < kMaxTurn) {
        handler_since_.reset();
        if (io.poll_one() == 0) break;
        ++report.handlers;
        Time handler_end = std::chrono::steady_clock::now();
        report.longest_handler = std::max(report.longest_handler, handler_end - now);
        now = handler_end;
    }
    handler_since_.reset();
    report.time = now - begin;
    return report;
}

bool LoopTurn::may_continue() {
    Time now = std::chrono::steady_clock::now();
    if (!handler_since_) handler_since_ = now;
    return now - *handler_since_ < kMaxHandler;
}

}  // namespace indigovane::transport
