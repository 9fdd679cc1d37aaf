#include "lab/discovery.hpp"

#include <algorithm>
#include <utility>

#include "lab/world.hpp"

namespace indigovane::lab {

using namespace std::chrono_literals;
using policy::EndpointListKind;
using policy::EndpointState;
using Defect = FleetOptions::Defect;

bool Discovery::is_polled() const {
    return world_.options.list_calls_per_second > 0;
}

routing::EndpointInfo Discovery::describe(const Host& host) const {
    routing::EndpointInfo info;
    info.uid = "h" + std::to_string(host.number);
    info.address = std::to_string(host.number);
    info.group = host.group;
    info.zone = host.zone;
    info.primary = host.is_primary;
    info.state = host.is_draining ? EndpointState::draining : EndpointState::ready;
    if (host.started()) info.boot_unix_ms = world_.clock.to_unix(*host.started()) / 1000;
    return info;
}

std::vector<routing::EndpointInfo> Discovery::describe_all() const {
    std::vector<routing::EndpointInfo> infos;
    for (const auto& host : world_.hosts) infos.push_back(describe(*host));
    return infos;
}

void Discovery::add(SimulatedPooler& pooler) {
    pooler.core.apply_endpoint_list(is_polled() ? EndpointListKind::cached : EndpointListKind::full,
                                    describe_all());
    pooler.core.on_follow_list([this, &pooler] { poll(pooler); });
}

void Discovery::notify(const Host& host) {
    for (auto& pooler : world_.poolers) {
        auto max_delay_us = double(world_.options.notification_delay.count());
        Duration delay(std::int64_t(max_delay_us * world_.fault_stream.between(0.5, 1)));
        world_.timeline.schedule_after(delay, EventRank::arrival,
                                       [this, info = describe(host), pooler = pooler->number,
                                        host = host.number] { deliver(pooler, host, info); });
    }
}

void Discovery::deliver(std::uint32_t pooler, std::uint32_t host, const routing::EndpointInfo& info) {
    if (is_polled() && (is_unreachable_ || !world_.poolers[pooler]->watches_list)) return;
    bool is_draining = info.state == EndpointState::draining;
    if (is_draining)
        world_.auditor.notified_draining(pooler, host, world_.timeline.now());
    else
        world_.auditor.notified_ready(pooler, host);
    if (world_.options.defect == Defect::send_after_drain && is_draining) return;
    world_.poolers[pooler]->core.apply_endpoint_list(EndpointListKind::changes, {info});
}

void Discovery::deliver_whole_list(SimulatedPooler& pooler) {
    for (const auto& host : world_.hosts) {
        if (host->is_draining)
            world_.auditor.notified_draining(pooler.number, host->number, world_.timeline.now());
        else
            world_.auditor.notified_ready(pooler.number, host->number);
    }
    pooler.core.apply_endpoint_list(EndpointListKind::full, describe_all());
}

// A single service answers all poolers. Calls are answered in turn, and a call that would wait for longer
// than the timeout fails.
void Discovery::poll(SimulatedPooler& pooler) {
    constexpr Duration kListCallTimeout = 1s;
    service_free_at_ = std::max(service_free_at_, world_.timeline.now());
    Duration call_time(std::int64_t(1e6 / world_.options.list_calls_per_second));
    Duration queueing_time = service_free_at_ - world_.timeline.now();
    bool will_fail = is_unreachable_ || queueing_time > kListCallTimeout;
    if (!will_fail) service_free_at_ += call_time;
    world_.timeline.schedule_after(will_fail ? kListCallTimeout : queueing_time + call_time,
                                   EventRank::arrival,
                                   [this, number = pooler.number, will_fail, lifetime = pooler.lifetime()] {
                                       if (lifetime.expired()) return;
                                       SimulatedPooler& caller = *world_.poolers[number];
                                       caller.watches_list = !will_fail && !is_unreachable_;
                                       if (caller.watches_list)
                                           deliver_whole_list(caller);
                                       else
                                           caller.core.apply_endpoint_list(EndpointListKind::failed, {});
                                   });
}

void Discovery::begin_outage() {
    is_unreachable_ = true;
    for (auto& pooler : world_.poolers)
        if (std::exchange(pooler->watches_list, false))
            pooler->core.apply_endpoint_list(EndpointListKind::failed, {});
}

}  // namespace indigovane::lab
