#include "program/client_diversion.hpp"

namespace indigovane::program {

namespace {
// Health checkers ask every 100 ms, and send clients for up to 200 ms after a check has failed.
constexpr auto kCheckersNotice = std::chrono::milliseconds(400);
}  // namespace

adapters::Operations::Reply ClientDiversion::set(bool on) {
    PhaseMachine& phases = services_.phases;
    if (!phases.is_diverting() && !phases.is_regular())
        return {false, std::string("it is ") + name(phases.current())};
    if (on != phases.is_diverting()) {
        if (on)
            begin();
        else
            end();
    }
    return {true, name(phases.current())};
}

void ClientDiversion::begin() {
    for (auto& front : services_.fronts) front->fail_checks();
    services_.phases.enter(Phase::failing_checks);
    timer_.expires_after(kCheckersNotice);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error || !services_.phases.is(Phase::failing_checks)) return;
        for (auto& front : services_.fronts) front->close_idle();
        services_.phases.enter(Phase::closing_idle);
    });
}

void ClientDiversion::end() {
    timer_.cancel();
    for (auto& front : services_.fronts) front->resume_service();
    services_.phases.enter(services_.discovery_client->has_complete_list() ? Phase::serving
                                                                           : Phase::reloading);
}

}  // namespace indigovane::program
