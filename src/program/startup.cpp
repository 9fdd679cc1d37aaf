#include "program/startup.hpp"

#include <nlohmann/json.hpp>

#include "adapters/pg_backend.hpp"
#include "adapters/pg_front.hpp"
#include "adapters/rest_backend.hpp"
#include "adapters/rest_front.hpp"
#include "program/endpoint_list_text.hpp"
#include "program/settings_log.hpp"
#include "program/site_text.hpp"

namespace indigovane::program {

using routing::DiscoveryClient;
using routing::EndpointInfo;
using routing::EndpointListing;
using routing::Level;
using routing::Time;
using routing::WatchSchedule;
using std::chrono::milliseconds;

namespace {

void create_statements(Services& services) {
    const auto& config = services.config.statements;
    if (!config) return;
    services.statements = std::make_unique<adapters::Statements>(config->rules, config->analyzer_options,
                                                                 statement_options(*config));
    if (config->limits.enabled)
        services.limited_admission = std::make_unique<adapters::LimitedAdmission>(
            services.io, services.clock, config->limits, *services.core);
}

bool is_polled(const Config& config) {
    return config.settings.endpoint_list_mode == policy::EndpointListMode::polled;
}

void open_store(Services& services) {
    const Config& config = services.config;
    if (!config.store) return;
    services.persistent_state =
        std::make_unique<PersistentState>(services.io, services.clock, *config.store, scratch_folder(),
                                          config.name, *services.core, services.log);
    services.persistent_state->open(true);
    services.core->on_write([&services](std::uint64_t session, bool begins) {
        if (begins)
            services.persistent_state->begin_write(session);
        else
            services.persistent_state->end_write(session);
    });
    // The store outlasts a restart of the machine; the scratch folder does not.
    if (!services.excluded_endpoints.has_stored_set())
        for (const std::string& uid : services.persistent_state->excluded_endpoints())
            services.excluded_endpoints.change(uid, true);
}

void restore_shape_costs(Services& services) {
    if (!services.persistent_state || !services.limited_admission) return;
    for (const auto& prior : services.persistent_state->shape_costs())
        services.limited_admission->learn(prior);
}

// Takes the configuration's endpoint list, then the stored list of the last process if that is newer. Either
// may be outdated.
void seed_endpoint_list(Services& services) {
    const Config& config = services.config;
    services.discovery_client->seed(config.known_endpoints);
    if (!services.persistent_state) return;
    if (auto last = services.persistent_state->newer_endpoint_list(config.known_endpoints.revision)) {
        EndpointListing list = routing::read_endpoint_listing(nlohmann::json::parse(*last), config.zones);
        services.discovery_client->seed(list);
        services.log.log(
            Level::notice, "store", "using the endpoint list that the last process stored",
            {{"revision", std::to_string(list.revision)}, {"members", std::to_string(list.members.size())}});
    }
    services.discovery_client->on_list([&services](std::int64_t revision) {
        services.persistent_state->store_endpoint_list(
            write_endpoint_list(services.core->listed(), services.config.zones, revision), revision);
    });
}

adapters::PeerOptions peer_options(const Services& services) {
    const Config& config = services.config;
    auto endpoint = [](const transport::SocketAddress& at) {
        return boost::asio::ip::udp::endpoint(at.address(), at.port());
    };
    auto to_milliseconds = [](limits::Duration duration) {
        return std::chrono::duration_cast<milliseconds>(duration);
    };
    adapters::PeerOptions options;
    options.listen = endpoint(*config.peer_listen);
    for (const transport::SocketAddress& at : config.peers) options.peers.push_back(endpoint(at));
    options.cluster = protocol::peer::cluster_number(config.peering->cluster);
    // The start time identifies the incarnation: no two starts of a pooler are at the same instant.
    options.incarnation = std::uint64_t(services.clock.to_unix(services.clock.now()));
    options.again = to_milliseconds(config.peering->resend_delay);
    options.gather = to_milliseconds(config.peering->gather_window);
    return options;
}

void receive_gossip(Services& services, const protocol::peer::Primary& primary) {
    bool accepted = services.core->on_primary_gossip(primary.uid, primary.group, primary.as_of_unix_us);
    services.log.log(Level::info, "peers",
                     accepted ? "heard of a primary"
                              : "ignored gossip of a primary: endpoint not listed, other group, or outdated",
                     {{"endpoint", primary.uid}, {"group", std::to_string(primary.group)}});
}

transport::ListenAt listen_at(Services& services, const transport::SocketAddress& at, const char* front) {
    return {at, true, services.inherited_sockets[front].release()};
}

std::unique_ptr<routing::Front> create_pg_front(Services& services) {
    const ResourceBudget& budget = services.budget;
    auto front =
        std::make_unique<adapters::PgFront>(services.io, listen_at(services, services.config.listen, "pg"),
                                            budget.pg_clients, services.config.classes, adapters::PgOptions{},
                                            services.admission(), services.log, services.statements.get());
    front->limit_buffered_bytes(budget.unread_bytes);
    front->limit_long_message_bytes(budget.long_statement_bytes);
    front->limit_served_sessions(budget.served_clients);
    return front;
}

std::unique_ptr<routing::Front> create_rest_front(Services& services) {
    const RestConfig& rest = services.config.rest;
    adapters::RestOptions options;
    options.page_size = rest.page_size;
    options.max_page_size = rest.max_page_size;
    auto front = std::make_unique<adapters::RestFront>(services.io, listen_at(services, rest.listen, "rest"),
                                                       services.budget.rest_clients, services.config.classes,
                                                       options, services.admission(), services.log);
    front->limit_buffered_bytes(services.budget.unread_bytes);
    return front;
}

std::unique_ptr<routing::Backend> create_backend(Services& services) {
    auto limited = [&](auto backend) -> std::unique_ptr<routing::Backend> {
        backend->limit_answer_bytes(services.budget.answer_bytes);
        return backend;
    };
    if (services.config.host_protocol == Wire::rest)
        return limited(std::make_unique<adapters::RestBackend>(services.io));
    return limited(std::make_unique<adapters::PgBackend>(services.io));
}

}  // namespace

void create_core(Services& services) {
    const Config& config = services.config;
    services.budget = make_resource_budget(config);
    services.backend = create_backend(services);
    services.core =
        std::make_unique<routing::LoopCore>(services.io, services.clock, config.settings, config.seed,
                                            services.budget.core, *services.backend, services.log);
    log_classes(config, services.log);
    if (config.sites) services.core->watch_sites(config.sites->settings, site_classes(config), config.seed);
    create_statements(services);
}

void create_discovery_client(Services& services) {
    const Config& config = services.config;
    WatchSchedule::Timing timing = is_polled(config)
                                       ? WatchSchedule::shared(config.settings.fleet_size.value_or(1))
                                       : WatchSchedule::Timing{};
    services.discovery_client = std::make_unique<DiscoveryClient>(
        services.io, config.discovery, config.zones, *services.core, services.log, timing, config.seed);
}

void restore_state(Services& services) {
    open_store(services);
    restore_shape_costs(services);
    services.core->set_excluded(services.excluded_endpoints.uids());
    seed_endpoint_list(services);
}

void open_peer_link(Services& services) {
    const Config& config = services.config;
    if (!config.peering) return;
    adapters::PeerOptions options = peer_options(services);
    try {
        services.peer_link = std::make_unique<adapters::PeerLink>(
            services.io, options,
            [&services](const protocol::peer::Primary& primary) { receive_gossip(services, primary); });
    } catch (const std::exception& error) {
        services.log.log(Level::error, "peers", error.what(), {{"without", "continues without its peers"}});
        return;
    }
    services.core->on_primary([&services](const EndpointInfo& endpoint, Time as_of) {
        services.peer_link->announce({endpoint.group, services.clock.to_unix(as_of), endpoint.uid});
    });
    services.log.log(Level::notice, "peers", "poolers tell each other of primaries",
                     {{"at", services.peer_link->local().address().to_string() + ":" +
                                 std::to_string(services.peer_link->local().port())},
                      {"peers", std::to_string(config.peers.size())},
                      {"cluster", config.peering->cluster}});
}

void follow_discovery(Services& services) {
    if (is_polled(services.config))
        services.core->on_follow_list([&services] { services.discovery_client->follow(); });
    else
        services.discovery_client->follow();
}

void open_control_front(Services& services, adapters::Operations& operations) {
    if (!services.config.control) return;
    services.control = std::make_unique<adapters::ControlFront>(services.io, *services.config.control,
                                                                kControlLimits, operations, services.log);
    services.control->start();
    services.log.log(Level::notice, "listening", "",
                     {{"front", "control"}, {"at", address_text(services.control->local())}});
}

void open_syslog(Services& services) {
    if (!services.config.rest.syslog) return;
    services.syslog = std::make_unique<adapters::SyslogSink>(services.io, *services.config.rest.syslog);
    services.log.set_second_sink([&services](const std::string& line) { services.syslog->send(line); });
}

void record_commits(Services& services) {
    services.core->on_commit([&services](std::uint64_t session, Time commit) {
        if (services.persistent_state) services.persistent_state->commit(session, commit);
        services.process_handover->send_commit(session, commit);
    });
    services.core->on_start([&services](const routing::StartedRequests::Entry& request) {
        services.process_handover->send_started_request(request);
    });
}

void open_fronts(Services& services) {
    services.fronts.push_back(create_pg_front(services));
    if (services.config.rest.enabled) services.fronts.push_back(create_rest_front(services));
    services.inherited_sockets.clear();
    for (auto& front : services.fronts) {
        front->start();
        services.log.log(Level::notice, "listening", "",
                         {{"front", front->name()}, {"at", front->address()}});
    }
}

}  // namespace indigovane::program
