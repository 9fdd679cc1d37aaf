// The event loop of a test: runs handlers and the core's batches until a condition holds.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

#include "transport/loop_turn.hpp"

namespace indigovane::testing {

using namespace std::chrono_literals;

struct Loop {
    boost::asio::io_context io;
    std::function<void()> batch = [] {};

    // False after 20 s: that only ends a test that would hang.
    bool until(const std::function<bool()>& holds) {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (!holds()) {
            if (std::chrono::steady_clock::now() > limit) return false;
            io.restart();
            transport::LoopTurn::of(io).run(io, 20ms);
            batch();
        }
        return true;
    }
    // Runs whatever is ready now, and what follows from it within 20 ms.
    void settle() {
        const auto end = std::chrono::steady_clock::now() + 20ms;
        while (std::chrono::steady_clock::now() < end) {
            io.restart();
            transport::LoopTurn::of(io).run(io, 1ms);
            batch();
        }
    }
};

}  // namespace indigovane::testing
