#include "program/lifecycle.hpp"

#include <csignal>

#include "program/startup.hpp"

namespace indigovane::program {

using routing::Level;

namespace {
// A successor waits at most this long for the discovery service's list. Then it serves with the list it has.
constexpr auto kListTimeout = std::chrono::seconds(3);
// A turn of the event loop that takes longer than this is reported.
constexpr auto kLongTurn = std::chrono::milliseconds(50);

std::string milliseconds_text(transport::LoopTurn::Duration time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}
}  // namespace

Lifecycle::Lifecycle(const Config& config, ConfigReader read_config, Log& log)
    : services_(config, log),
      read_config_(std::move(read_config)),
      shutdown_(services_),
      handover_state_(services_, shutdown_),
      operator_calls_(services_),
      state_sync_(services_),
      stop_signals_(services_.io, SIGTERM, SIGINT),
      reload_signals_(services_.io, SIGHUP) {
    services_.process_handover =
        std::make_unique<ProcessHandover>(services_.io, scratch_folder(), config.name, handover_state_);
}

Lifecycle::~Lifecycle() {
    services_.log.set_second_sink({});
}

void Lifecycle::start() {
    await_stop();
    await_reload();
    create_core(services_);
    create_discovery_client(services_);
    restore_state(services_);
    state_sync_.start();
    open_peer_link(services_);
    follow_discovery(services_);
    open_control_front(services_, operator_calls_);
    open_syslog(services_);
    record_commits(services_);
    services_.started_at = services_.clock.now();
    if (services_.process_handover->request_state())
        services_.phases.enter(Phase::inheriting);
    else
        serve();
}

int Lifecycle::run() {
    start();
    transport::LoopTurn& turn = transport::LoopTurn::of(services_.io);
    while (!services_.phases.is(Phase::stopped)) {
        report_if_long(turn.run(services_.io));
        services_.core->run_batch();
        if (services_.persistent_state) services_.persistent_state->flush();
        advance_phase();
        if (services_.io.stopped()) services_.io.restart();
    }
    return 0;
}

// Deadlines take effect between turns, so a long turn delays all of them.
void Lifecycle::report_if_long(const transport::LoopTurn::Report& turn) {
    if (turn.time < kLongTurn) return;
    services_.log.log(Level::warning, "loop", "a turn of the event loop took long",
                      {{"turn_ms", milliseconds_text(turn.time)},
                       {"handlers", std::to_string(turn.handlers)},
                       {"longest_handler_ms", milliseconds_text(turn.longest_handler)}});
}

void Lifecycle::advance_phase() {
    if (services_.phases.is(Phase::inheriting) && may_serve()) serve();
    if (services_.phases.is(Phase::reloading) && services_.discovery_client->has_complete_list())
        services_.phases.enter(Phase::serving);
    shutdown_.advance();
}

// A successor announces itself only once it has listeners, sessions' commits and an endpoint list.
bool Lifecycle::may_serve() const {
    if (services_.process_handover->is_inheriting()) return false;
    return services_.discovery_client->has_complete_list() ||
           services_.clock.now() >= services_.started_at + kListTimeout;
}

void Lifecycle::serve() {
    open_fronts(services_);
    services_.phases.enter(Phase::serving);
    try {
        services_.process_handover->announce();
    } catch (const std::exception& error) {  // clients are served without a handover, too
        services_.log.log(Level::warning, "handover", error.what(), {});
    }
}

void Lifecycle::await_stop() {
    stop_signals_.async_wait([this](const boost::system::error_code& error, int) {
        if (!error) shutdown_.stop();
    });
}

void Lifecycle::await_reload() {
    reload_signals_.async_wait([this](const boost::system::error_code& error, int) {
        if (error) return;
        reload(services_, read_config_);
        await_reload();
    });
}

}  // namespace indigovane::program
