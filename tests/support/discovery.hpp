// A stand-in discovery service with scripted replies, and a client that watches its endpoint list.
#pragma once

#include "adapters/pg_backend.hpp"
#include "routing/discovery_client.hpp"
#include "support/harness.hpp"
#include "transport/socket_address.hpp"

namespace indigovane::testing {

// Answers each request with the next of `replies`, and leaves it unanswered when there is none. Requested
// targets are in the host's `asked`.
struct Agent : StandIn {
    using StandIn::StandIn;
    bool take(Peer& peer, transport::Buffer& in, std::string& out) override {
        http::Request request;
        std::size_t length = 0;
        if (http::Parser({65536, 1 << 20}).request(in.view(), request, length) != http::Next::message)
            return false;
        host_.asked.push_back(std::string(request.target));
        in.consume(length);
        if (replies.empty()) {
            peer.waiting = true;
        } else {
            out += replies.front();
            replies.erase(replies.begin());
        }
        return true;
    }
    static std::string reply(const std::string& body) { return http::write_response(200, {}, body, true); }
    std::vector<std::string> replies;
};

// A discovery client before an Agent: it retries failures at once, and waits for unresponsive calls.
struct ListRig {
    Loop loop;
    NullLogger logger;
    routing::Clock clock;
    Host host;
    Agent agent{loop, host};
    adapters::PgBackend backend{loop.io};
    routing::LoopCore core{loop.io, clock, settings(), 1, {}, backend, logger};
    routing::DiscoveryClient catalog;
    explicit ListRig(std::vector<std::string> zones)
        : catalog(loop.io, *transport::parse_socket_address(agent.address()), std::move(zones), core, logger,
                  {.hold = 60s,
                   .slack = 60s,
                   .whole = 60s,
                   .retry = 1ms,
                   .again = 1ms,
                   .retry_most = 1ms,
                   .connect = 20s}) {
        loop.batch = [this] { core.run_batch(); };
    }
    bool asked(std::size_t n) {
        return loop.until([&] { return host.asked.size() >= n; });
    }
};

}  // namespace indigovane::testing
