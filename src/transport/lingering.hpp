// Connections that are half-closed and outlast whoever had them, until the other side has closed as well or
// its time is up. Each holds a descriptor: so many may, beyond that the oldest is closed.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>

#include "transport/connection.hpp"

namespace indigovane::transport {

class Lingering {
  public:
    explicit Lingering(std::size_t most) : most_(most) {}
    void add(const std::shared_ptr<Connection>& connection) {
        std::erase_if(all_, std::not_fn(lingers));
        if (connection->open()) all_.push_back(connection);
        if (all_.size() <= most_) return;
        if (auto oldest = all_.front().lock()) oldest->close();
        all_.pop_front();
    }
    std::size_t count() const { return std::size_t(std::count_if(all_.begin(), all_.end(), lingers)); }

  private:
    static bool lingers(const std::weak_ptr<Connection>& weak) {
        auto connection = weak.lock();
        return connection && connection->open();
    }
    std::size_t most_;
    std::deque<std::weak_ptr<Connection>> all_;  // the oldest first
};

}  // namespace indigovane::transport
