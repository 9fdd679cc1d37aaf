// The calls that operators make at the control address. The protocol is in adapters/control_front.hpp.
#pragma once

#include "program/client_diversion.hpp"
#include "program/services.hpp"

namespace indigovane::program {

// Called by the control front on the event loop's thread. No call throws: a call that fails gives the reason
// in its reply.
class OperatorCalls final : public adapters::Operations {
  public:
    explicit OperatorCalls(Services& services) : services_(services), diversion_(services) {}
    virtual ~OperatorCalls() = default;

    Reply check() override;
    Reply set_down(const std::string& uid) override { return set_excluded(uid, true); }
    Reply set_up(const std::string& uid) override { return set_excluded(uid, false); }
    Reply drain(bool on) override { return diversion_.set(on); }
    Reply shapes(std::size_t max_shapes) override;
    Reply site_status() override;
    Reply site_plan(const std::string& zone) override;
    Reply site_drain(const std::string& zone, bool on) override;

  private:
    Reply set_excluded(const std::string& uid, bool excluded);

    Services& services_;
    ClientDiversion diversion_;
};

}  // namespace indigovane::program
