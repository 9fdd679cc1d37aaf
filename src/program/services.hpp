// The long-lived parts of the process, which its phases, reloads and operators' calls act on. Created step by
// step by program/startup.hpp; destroyed in the reverse order of their declaration, so that none outlives
// what it refers to.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "adapters/control_front.hpp"
#include "adapters/limited_admission.hpp"
#include "adapters/peer_link.hpp"
#include "adapters/statements.hpp"
#include "adapters/syslog_sink.hpp"
#include "program/config.hpp"
#include "program/excluded_endpoints.hpp"
#include "program/log.hpp"
#include "program/persistent_state.hpp"
#include "program/phase.hpp"
#include "program/process_handover.hpp"
#include "program/resource_budget.hpp"
#include "routing/discovery_client.hpp"
#include "routing/loop_core.hpp"

namespace indigovane::program {

// One thread owns all of it: the one that runs `io`.
struct Services {
    Services(const Config& configuration, Log& logger);

    // What fronts submit requests to: the limits by cost where they are on, else the core.
    routing::RequestAdmission& admission();
    // Limits by cost as they hold for this process: two processes of one pooler share those of one.
    limits::Settings shared_limits() const;
    void apply_shared_limits();
    // No request is queued or in flight.
    bool idle() const { return core->idle() && (!limited_admission || limited_admission->idle()); }

    Config config;  // as it holds now; fronts refer to its classes
    Log& log;
    boost::asio::io_context io{1};
    routing::Clock clock;
    PhaseMachine phases;
    ResourceBudget budget;
    routing::Time started{};

    std::unique_ptr<adapters::SyslogSink> syslog;  // none: off
    std::unique_ptr<routing::Backend> backend;
    std::unique_ptr<routing::Core> core;
    std::unique_ptr<routing::DiscoveryClient> discovery_client;
    std::unique_ptr<PersistentState> persistent_state;              // none: nothing outlasts the process
    std::unique_ptr<adapters::Statements> statements;               // none: off
    std::unique_ptr<adapters::LimitedAdmission> limited_admission;  // none: no limits by cost
    std::vector<std::unique_ptr<routing::Front>> fronts;
    std::unique_ptr<adapters::ControlFront> control;
    std::unique_ptr<adapters::PeerLink> peer_link;  // none: off
    ExcludedEndpoints excluded_endpoints;
    std::unique_ptr<ProcessHandover> process_handover;
    std::map<std::string, transport::Descriptor> inherited_sockets;  // listening, by front
};

// Memory-backed folder of this machine ($TMPDIR); empty: there is none.
std::string scratch_folder();

// Of the operator's file, what the fronts' statement package needs.
adapters::StatementOptions statement_options(const StatementConfig& config);

// "address:port".
std::string address_text(const transport::SocketAddress& at);

}  // namespace indigovane::program
