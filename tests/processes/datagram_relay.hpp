// A relay between poolers that injects faults into their datagrams.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/event_loop.hpp"

namespace indigovane::testing {

using udp = boost::asio::ip::udp;

inline udp::endpoint udp_loopback(unsigned short port = 0) {
    return {boost::asio::ip::address_v4::loopback(), port};
}

// Faults of the datagrams from one pooler to another.
struct Fault {
    bool drop = false;
    int deliveries = 1;
    bool queue = false;  // until `release`, which sends the last first
};

// Carries datagrams between poolers. Each ordered pair has a socket here: what i sends to its address of j
// comes to j from j's address of i, as on the platform.
class DatagramRelay {
  public:
    DatagramRelay(Loop& loop, std::size_t poolers) : count_(poolers), targets_(poolers) {
        for (std::size_t n = 0; n < poolers * poolers; ++n) ways_.push_back(std::make_unique<Way>(loop));
        for (std::size_t n = 0; n < ways_.size(); ++n) receive(n / poolers, n % poolers);
    }
    // Where `from` sends what is for `to`; also where `to`'s own come from.
    std::string address(std::size_t from, std::size_t to) {
        return "127.0.0.1:" + std::to_string(way(from, to).socket.local_endpoint().port());
    }
    void attach(std::size_t pooler, unsigned short port) { targets_[pooler] = udp_loopback(port); }
    Fault& fault(std::size_t from, std::size_t to) { return way(from, to).fault; }
    void all(Fault fault) {
        for (auto& w : ways_) w->fault = fault;
    }
    std::size_t queued(std::size_t from, std::size_t to) { return way(from, to).queued.size(); }
    std::size_t passed(std::size_t from, std::size_t to) { return way(from, to).passed; }
    void release(std::size_t from, std::size_t to) {
        Way& w = way(from, to);
        for (auto it = w.queued.rbegin(); it != w.queued.rend(); ++it) pass(from, to, *it);
        w.queued.clear();
    }

  private:
    struct Way {
        explicit Way(Loop& loop) : socket(loop.io, udp_loopback()) { socket.non_blocking(true); }
        udp::socket socket;
        std::array<char, 2048> buffer{};
        udp::endpoint sender;
        Fault fault;
        std::vector<std::string> queued;
        std::size_t passed = 0;
    };
    Way& way(std::size_t from, std::size_t to) { return *ways_[from * count_ + to]; }
    void receive(std::size_t from, std::size_t to) {
        Way& w = way(from, to);
        w.socket.async_receive_from(boost::asio::buffer(w.buffer), w.sender,
                                    [this, from, to](const boost::system::error_code& ec, std::size_t n) {
                                        if (ec == boost::asio::error::operation_aborted) return;
                                        Way& w = way(from, to);
                                        if (!ec) arrived(from, to, std::string(w.buffer.data(), n));
                                        receive(from, to);
                                    });
    }
    void arrived(std::size_t from, std::size_t to, std::string bytes) {
        Way& w = way(from, to);
        if (w.fault.drop) return;
        for (int i = 0; i < w.fault.deliveries; ++i) {
            if (w.fault.queue)
                w.queued.push_back(bytes);
            else
                pass(from, to, bytes);
        }
    }
    void pass(std::size_t from, std::size_t to, const std::string& bytes) {
        boost::system::error_code ec;
        if (targets_[to]) way(to, from).socket.send_to(boost::asio::buffer(bytes), *targets_[to], 0, ec);
        ++way(from, to).passed;
    }

    std::size_t count_;
    std::vector<std::optional<udp::endpoint>> targets_;
    std::vector<std::unique_ptr<Way>> ways_;
};

}  // namespace indigovane::testing
