// Runs the event loop in turns and bounds each of them.
//
// Between two turns the owner of the loop does the work that depends on no handler: it passes events to the
// routing policy, and the deadlines that have expired take effect. A connection whose bytes arrive as fast as
// they are read always has a handler that is ready, so a turn that ran until none is ready might never end.
//
// Everything that can go on for as long as a peer sends is bounded here: a turn by run(), and a loop within
// one handler by may_continue(). Handlers run in the order in which they became ready, so what is left over
// comes after the handlers of all other connections.
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
    using Time = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;

    // No further handler starts in a turn after this time. It is well below the grace of a final answer.
    static constexpr Duration kMaxTurn = std::chrono::milliseconds(2);
    // A handler begins no further unit of work after this time.
    static constexpr Duration kMaxHandler = std::chrono::microseconds(200);

    // What a turn took.
    struct Report {
        Duration time{};             // from the end of the wait to the end of the turn
        std::size_t handlers = 0;    // run in the turn
        Duration longest_handler{};  // of those after the first
    };

    explicit LoopTurn(boost::asio::execution_context& context) : service(context) {}

    // The object of that loop. It lives as long as the loop does.
    static LoopTurn& of(boost::asio::io_context& io) { return boost::asio::use_service<LoopTurn>(io); }

    // Waits until a handler is ready, at most `longest_wait` if given, and runs one turn: until no handler is
    // ready or the turn's time is over.
    Report run(boost::asio::io_context& io, std::optional<Duration> longest_wait = std::nullopt);

    // Asked by a handler after each unit of work, such as a message, before it begins another one. False: its
    // share of the turn is used up. It posts the rest of its work, so that other handlers run first.
    bool may_continue();

    static boost::asio::execution_context::id id;

  private:
    void shutdown() override {}

    // When the present handler asked for the first time; nullopt: it has not asked.
    std::optional<Time> handler_since_;
};

}  // namespace indigovane::transport
