// One connection between a pooler and a host. Bytes take the network's time; a close is seen at once on this
// side and later on the other.
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

    std::uint64_t number() const { return number_; }  // by opening
    void open(Duration timeout);
    void submit(const routing::ClientRequest& request, Duration remaining,
                std::optional<std::int64_t> needs) override;
    void probe() override;
    bool may_be_reused() override;
    void close() override;
    void on_broken_by_host();

  private:
    bool gone() const { return !owner_ || incarnation_ != host_.incarnation(); }
    void arrive(const routing::ClientRequest& request, std::optional<std::int64_t> needs);
    void finish_work(bool write);
    void answer(routing::AttemptResult result);
    void end_later(Duration wait);
    void clear_request();

    World& world_;
    std::uint64_t number_;
    std::uint32_t pooler_;
    Host& host_;
    Owner* owner_;  // none: closed
    std::uint64_t incarnation_ = 0;
    std::uint64_t work_ = 0;  // at the host
    std::string request_;     // in flight on it; empty: none
    bool up_ = false;
    bool registered_ = false;  // with network and host
};

}  // namespace indigovane::lab
