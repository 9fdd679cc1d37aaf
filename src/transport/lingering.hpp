// Half-closed connections whose owner is gone. Each stays until the other side has closed as well or its time
// limit has passed. As each holds a descriptor, their number is limited: the oldest is closed beyond the
// limit.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>

#include "transport/connection.hpp"

namespace indigovane::transport {

class LingeringConnections {
  public:
    explicit LingeringConnections(std::size_t max_connections) : max_connections_(max_connections) {}
    // Adds a connection if it is still open. Forgets those that have closed.
    void add(const std::shared_ptr<Connection>& connection) {
        std::erase_if(connections_, std::not_fn(is_open));
        if (connection->open()) connections_.push_back(connection);
        if (connections_.size() <= max_connections_) return;
        if (auto oldest = connections_.front().lock()) oldest->close();
        connections_.pop_front();
    }
    // Number of connections that are still open.
    std::size_t count() const {
        return std::size_t(std::count_if(connections_.begin(), connections_.end(), is_open));
    }

  private:
    static bool is_open(const std::weak_ptr<Connection>& weak) {
        auto connection = weak.lock();
        return connection && connection->open();
    }
    std::size_t max_connections_;
    // Oldest first.
    std::deque<std::weak_ptr<Connection>> connections_;
};

}  // namespace indigovane::transport
