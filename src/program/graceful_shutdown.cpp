#include "program/graceful_shutdown.hpp"

#include <algorithm>
#include <utility>

namespace indigovane::program {

using routing::ClientHandover;
using routing::Duration;
using routing::Level;
using routing::Time;
using std::chrono::milliseconds;

namespace {

// Clients may still connect for this long after the signal: load balancers notice the stop late.
constexpr auto kLinger = milliseconds(500);
// The process may be killed the longest deadline of all classes, kMaxDrain at most, and 700 ms after the
// signal. kLinger takes 500 ms of that and kDrainSlack 100 ms: all requests are answered by then. For answers
// that clients are still reading the process stays up to kMaxDrain and kDrainSlack.
constexpr auto kMaxDrain = std::chrono::seconds(3);
constexpr auto kDrainSlack = milliseconds(100);
// Time to send the answers to requests that are ended at the deadline.
constexpr auto kFinalAnswers = milliseconds(50);
constexpr auto kDrainCheckInterval = milliseconds(5);

}  // namespace

void GracefulShutdown::stop() {
    PhaseMachine& phases = services_.phases;
    if (phases.is_stopping()) return;
    if (phases.is(Phase::inheriting)) return phases.enter(Phase::stopped);
    phases.enter(Phase::lingering);
    if (services_.process_handover->is_successor_ready()) return on_successor_ready();
    timer_.expires_after(kLinger);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && services_.phases.is(Phase::lingering)) begin_drain();
    });
}

void GracefulShutdown::on_successor_ready() {
    if (!services_.phases.is(Phase::lingering)) return;
    timer_.cancel();
    set_deadline();
    for (auto& front : services_.fronts) front->stop_accepting();
    // The successor can now open the store. It receives later commits of this process and stores them.
    if (services_.persistent_state) services_.persistent_state->close();
    services_.phases.enter(Phase::handing_over);
}

void GracefulShutdown::on_successor_lost() {
    if (services_.phases.is(Phase::handing_over)) begin_drain();
}

void GracefulShutdown::advance() {
    if (services_.phases.is(Phase::handing_over)) hand_over_clients();
    if (services_.phases.is(Phase::draining)) stop_if_drained();
}

// A request that arrives late gets less time than its client timeout. Requests still in flight at the
// deadline are answered as well.
void GracefulShutdown::set_deadline() {
    Time now = services_.clock.now();
    answer_by_ = now + std::min<Duration>(services_.config.longest_deadline, kMaxDrain) + kDrainSlack;
    deadline_ = now + kMaxDrain + kDrainSlack;
    services_.core->finish_by(answer_by_);
}

void GracefulShutdown::begin_drain() {
    set_deadline();
    for (auto& front : services_.fronts) {
        front->stop_accepting();
        front->close_idle();
    }
    services_.phases.enter(Phase::draining);
}

void GracefulShutdown::hand_over_clients() {
    for (auto& front : services_.fronts)
        clients_handed_over_ += front->hand_over([&](ClientHandover client) {
            services_.process_handover->send_client(front->name(), std::move(client));
        });
    stop_if_drained();
    if (services_.phases.is(Phase::stopped))
        services_.log.log(Level::notice, "handover",
                          "client connections were handed over to the other process",
                          {{"count", std::to_string(clients_handed_over_)}});
}

bool GracefulShutdown::is_drained() const {
    if (!services_.is_idle()) return false;
    for (const auto& front : services_.fronts)
        if (front->connections() > 0 || front->lingering() > 0) return false;
    return !services_.phases.is(Phase::handing_over) || services_.process_handover->all_sent();
}

void GracefulShutdown::stop_if_drained() {
    bool drained = is_drained();
    Time now = services_.clock.now();
    if (now >= answer_by_ && !services_.core->idle()) services_.core->finish_all();
    if (!drained && now < deadline_ + kFinalAnswers) return schedule_check();
    if (services_.persistent_state && services_.persistent_state->is_open())
        services_.persistent_state->close();
    services_.phases.enter(Phase::stopped);
}

// At most one wait is pending. A second one would cancel the first, whose completion wakes the loop and
// schedules a wait again: the loop would spin.
void GracefulShutdown::schedule_check() {
    if (std::exchange(check_scheduled_, true)) return;
    timer_.expires_after(kDrainCheckInterval);
    timer_.async_wait([this](const boost::system::error_code&) { check_scheduled_ = false; });
}

}  // namespace indigovane::program
