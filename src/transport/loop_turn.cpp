#include "transport/loop_turn.hpp"

#include <algorithm>

namespace indigovane::transport {

boost::asio::execution_context::id LoopTurn::id;

LoopTurn::Report LoopTurn::run(boost::asio::io_context& io, std::optional<Duration> longest_wait) {
    Report report;
    report.handlers = longest_wait ? io.run_one_for(*longest_wait) : io.run_one();
    auto begin = std::chrono::steady_clock::now();
    auto handler_begin = begin;
    while (io.poll_one() > 0) {
        ++report.handlers;
        auto now = std::chrono::steady_clock::now();
        report.longest_handler = std::max(report.longest_handler, now - handler_begin);
        handler_begin = now;
    }
    report.time = handler_begin - begin;
    return report;
}

}  // namespace indigovane::transport
