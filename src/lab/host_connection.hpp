// A connection between a pooler and a host. Messages take the network's delay. The pooler's close takes
// effect at once for the pooler, and after the network's delay for the host.
#pragma once

#include <memory>
#include <string>

#include "lab/host.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::lab {

class World;

class HostConnection final : public routing::BackendConnection,
                             public std::enable_shared_from_this<HostConnection> {
  public:
    HostConnection(World& world, std::uint32_t pooler, Host& host, Owner& owner);

    // Connections are numbered in the order in which they were opened.
    std::uint64_t number() const { return number_; }
    // Starts to open the connection. Reports an unresponsive host to the owner after `timeout`.
    void open(Duration timeout);
    void submit(const routing::ClientRequest& request, Duration remaining,
                std::optional<std::int64_t> required_position) override;
    void probe() override;
    bool may_be_reused() override;
    void close() override;
    // The host's side of the connection has ended.
    void on_broken_by_host();

  private:
    bool is_gone() const { return !owner_ || incarnation_ != host_.incarnation(); }
    void receive(const routing::ClientRequest& request, std::optional<std::int64_t> required_position);
    void finish_work(bool is_write);
    void send_result(routing::AttemptResult result);
    // Reports to the owner after this delay that the host is unreachable.
    void end_later(Duration delay);
    // Ends the attempt in flight, if there is one.
    void end_attempt();

    World& world_;
    std::uint64_t number_;
    std::uint32_t pooler_;
    Host& host_;
    Owner* owner_;  // null: the connection is closed
    std::uint64_t incarnation_ = 0;
    // Number of the work that the host runs for the request in flight.
    std::uint64_t work_number_ = 0;
    // Id of the request in flight; empty if there is none.
    std::string request_id_;
    // The startup has completed.
    bool is_established_ = false;
    // The network and the host count this connection.
    bool is_registered_ = false;
};

}  // namespace indigovane::lab
