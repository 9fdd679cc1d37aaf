// Connects an upgrade's handover with the services of this process: it provides the state to hand over and
// applies the state that is inherited.
#pragma once

#include "program/graceful_shutdown.hpp"
#include "program/process_handover.hpp"
#include "program/services.hpp"

namespace indigovane::program {

class HandoverState final : public ProcessHandover::HandoverOwner {
  public:
    HandoverState(Services& services, GracefulShutdown& shutdown)
        : services_(services), shutdown_(shutdown) {}

    std::vector<std::pair<std::string, int>> listening_sockets() override;
    policy::SessionTokens tokens() override { return services_.core->tokens(); }
    std::map<std::string, routing::Time> readmissions() override { return services_.core->readmissions(); }

    std::vector<routing::StartedRequests::Entry> started_requests() override {
        return services_.core->started_requests();
    }

    void inherit_socket(const std::string& front, transport::Descriptor socket) override;
    void inherit_tokens(policy::SessionTokens tokens) override;
    void inherit_readmission(const std::string& uid, routing::Time at) override;
    void inherit_started_request(const routing::StartedRequests::Entry& request) override {
        services_.core->merge_started_request(request);
    }
    void inherit_client(const std::string& front, routing::ClientHandover client) override;
    void on_process_change() override;
    void on_successor_ready() override { shutdown_.on_successor_ready(); }

  private:
    Services& services_;
    GracefulShutdown& shutdown_;
};

}  // namespace indigovane::program
