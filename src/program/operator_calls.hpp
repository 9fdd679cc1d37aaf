// What operators may call at the control address; adapters/control_front.hpp has the protocol.
#pragma once

#include "program/client_diversion.hpp"
#include "program/services.hpp"

namespace indigovane::program {

// Called by the control front on the loop's thread. A call that fails says why in its reply; none throws.
class OperatorCalls final : public adapters::Operations {
  public:
    explicit OperatorCalls(Services& services) : services_(services), diversion_(services) {}
    virtual ~OperatorCalls() = default;

    Reply check() override;
    Reply set_down(const std::string& uid) override { return set_excluded(uid, true); }
    Reply set_up(const std::string& uid) override { return set_excluded(uid, false); }
    Reply drain(bool on) override { return diversion_.set(on); }
    Reply shapes(std::size_t most) override;
    Reply site_status() override;
    Reply site_plan(const std::string& zone) override;
    Reply site_drain(const std::string& zone, bool on) override;

  private:
    Reply set_excluded(const std::string& uid, bool excluded);

    Services& services_;
    ClientDiversion diversion_;
};

}  // namespace indigovane::program
