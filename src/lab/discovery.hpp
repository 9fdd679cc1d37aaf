// The model of discovery: pushes list changes late, or is one service that all poolers poll.
#pragma once

#include <vector>

#include "lab/host.hpp"
#include "lab/simulated_pooler.hpp"

namespace indigovane::lab {

class Discovery {
  public:
    explicit Discovery(World& world) : world_(world) {}

    // What a pooler starts with, and how it receives changes from then on.
    void add(SimulatedPooler& pooler);
    // Every pooler is told of the host's state, each at a moment of its own.
    void notify(const Host& host);
    void begin_outage();  // watches end
    void end_outage() { out_of_reach_ = false; }

  private:
    bool polled() const;
    routing::EndpointInfo describe(const Host& host) const;
    std::vector<routing::EndpointInfo> describe_all() const;
    void deliver(std::uint32_t pooler, std::uint32_t host, const routing::EndpointInfo& info);
    void deliver_whole_list(SimulatedPooler& pooler);
    void poll(SimulatedPooler& pooler);

    World& world_;
    bool out_of_reach_ = false;
    Time service_free_at_{};  // where lists are polled
};

}  // namespace indigovane::lab
