// The model of discovery. It either pushes list changes with a delay, or is a single service that all poolers
// poll.
#pragma once

#include <vector>

#include "lab/host.hpp"
#include "lab/simulated_pooler.hpp"

namespace indigovane::lab {

class Discovery {
  public:
    explicit Discovery(World& world) : world_(world) {}

    // Gives a pooler its first list, and answers its polls from then on.
    void add(SimulatedPooler& pooler);
    // Notifies every pooler of the host's state, each after its own random delay.
    void notify(const Host& host);
    // Ends all watches, and lets polls fail until end_outage().
    void begin_outage();
    void end_outage() { is_unreachable_ = false; }

  private:
    bool is_polled() const;
    routing::EndpointInfo describe(const Host& host) const;
    std::vector<routing::EndpointInfo> describe_all() const;
    // A notification of a host's state reaches a pooler.
    void deliver(std::uint32_t pooler, std::uint32_t host, const routing::EndpointInfo& info);
    void deliver_whole_list(SimulatedPooler& pooler);
    // Handles a pooler's call for the whole list.
    void poll(SimulatedPooler& pooler);

    World& world_;
    bool is_unreachable_ = false;
    // Time at which the service can answer its next call. Only with polled lists.
    Time service_free_at_{};
};

}  // namespace indigovane::lab
