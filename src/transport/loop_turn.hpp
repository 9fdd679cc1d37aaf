// Runs the event loop in turns and bounds each of them.
//
// Between two turns the owner of the loop does the work that depends on no handler: it passes events to the
// routing policy, and the deadlines that have expired take effect. A connection whose bytes arrive as fast as
// they are read always has a handler that is ready, so a turn that ran until none is ready might never end.
#pragma once

#include <boost/asio/execution_context.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <optional>

namespace indigovane::transport {

// One object for each event loop. Not thread-safe: the loop has one thread.
class LoopTurn final : public boost::asio::execution_context::service {
  public:
    using key_type = LoopTurn;
    using Duration = std::chrono::steady_clock::duration;

    // What a turn took.
    struct Report {
        Duration time{};             // from the end of the wait to the end of the turn
        std::size_t handlers = 0;    // run in the turn
        Duration longest_handler{};  // of those after the first
    };

    explicit LoopTurn(boost::asio::execution_context& context) : service(context) {}

    // The object of that loop. It lives as long as the loop does.
    static LoopTurn& of(boost::asio::io_context& io) { return boost::asio::use_service<LoopTurn>(io); }

    // Waits until a handler is ready, at most `longest_wait` if given, and runs one turn.
    Report run(boost::asio::io_context& io, std::optional<Duration> longest_wait = std::nullopt);

    static boost::asio::execution_context::id id;

  private:
    void shutdown() override {}
};

}  // namespace indigovane::transport
