// The long-lived parts of the process, on which its phases, reloads and operators' calls act. They are
// created step by step by program/startup.hpp and destroyed in the reverse order of their declaration, so
// that no part outlives the parts it refers to.
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

// Not synchronized: use it on the thread that runs `io` only.
struct Services {
    Services(const Config& configuration, Log& logger);

    // Where fronts submit requests: the limits by cost if they are on, else the core.
    routing::RequestAdmission& admission();
    // The limits by cost of this process. While two processes of one pooler serve, each has half of the work.
    limits::Settings shared_limits() const;
    void apply_shared_limits();
    // Whether no request is queued or in flight.
    bool is_idle() const { return core->idle() && (!limited_admission || limited_admission->idle()); }

    // The configuration in force. Fronts refer to its classes.
    Config config;
    Log& log;
    boost::asio::io_context io{1};
    routing::Clock clock;
    PhaseMachine phases;
    ResourceBudget budget;
    routing::Time started_at{};

    std::unique_ptr<adapters::SyslogSink> syslog;  // empty if the configuration names no collector
    std::unique_ptr<routing::Backend> backend;
    std::unique_ptr<routing::Core> core;
    std::unique_ptr<routing::DiscoveryClient> discovery_client;
    // Empty if no store is configured: then nothing outlasts the process.
    std::unique_ptr<PersistentState> persistent_state;
    // Empty if there is no file of statement rules.
    std::unique_ptr<adapters::Statements> statements;
    // Empty if requests are not limited by cost.
    std::unique_ptr<adapters::LimitedAdmission> limited_admission;
    std::vector<std::unique_ptr<routing::Front>> fronts;
    std::unique_ptr<adapters::ControlFront> control;  // empty if there is no control address
    // Empty if no links between poolers are configured, or the link could not be opened.
    std::unique_ptr<adapters::PeerLink> peer_link;
    ExcludedEndpoints excluded_endpoints;
    std::unique_ptr<ProcessHandover> process_handover;
    // Listening sockets inherited from a predecessor, by the front's name.
    std::map<std::string, transport::Descriptor> inherited_sockets;
};

// The path of this machine's memory-backed folder ($TMPDIR), or an empty string if there is none.
std::string scratch_folder();

// The options of the operator's statement file that the fronts need.
adapters::StatementOptions statement_options(const StatementConfig& config);

// Returns "address:port".
std::string address_text(const transport::SocketAddress& socket_address);

}  // namespace indigovane::program
