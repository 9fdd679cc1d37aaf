#include "lab/fault_schedule.hpp"

#include <algorithm>
#include <cmath>

#include "lab/world.hpp"

namespace indigovane::lab {

using namespace std::chrono_literals;
using Kind = Fault::Kind;

void FaultSchedule::schedule_all() {
    for (const Fault& fault : world_.options.faults)
        world_.timeline.schedule_at(World::at_seconds(fault.start_s), EventRank::world,
                                    [this, &fault] { begin(fault); });
}

void FaultSchedule::schedule_end(const Fault& fault, std::function<void()> action) {
    world_.timeline.schedule_after(World::duration_of_seconds(fault.duration_s), EventRank::world,
                                   std::move(action));
}

void FaultSchedule::begin(const Fault& fault) {
    if (begin_traffic_fault(fault) || begin_host_fault(fault) || begin_zone_fault(fault)) return;
    begin_pooler_fault(fault);
}

bool FaultSchedule::begin_traffic_fault(const Fault& fault) {
    switch (fault.kind) {
        case Kind::surge:
            world_.clients.begin_surge(fault.magnitude);
            schedule_end(fault, [this, magnitude = fault.magnitude] { world_.clients.end_surge(magnitude); });
            return true;
        case Kind::hot_client:
            world_.clients.set_hot_client(fault.magnitude);
            schedule_end(fault, [this] { world_.clients.set_hot_client(0); });
            return true;
        case Kind::discovery_outage:
            world_.discovery.begin_outage();
            schedule_end(fault, [this] { world_.discovery.end_outage(); });
            return true;
        default:
            return false;
    }
}

bool FaultSchedule::begin_host_fault(const Fault& fault) {
    switch (fault.kind) {
        case Kind::replication_lag:
            for (Host* host : choose_hosts(fault.affected_share, true)) fall_behind(*host, fault);
            return true;
        case Kind::slow_hosts:
            for (Host* host : choose_hosts(fault.affected_share, false)) {
                host->slowdown *= fault.magnitude;
                schedule_end(fault, [host, magnitude = fault.magnitude] { host->slowdown /= magnitude; });
            }
            return true;
        case Kind::drain:
            for (Host* host : choose_hosts(fault.affected_share, true)) drain(*host, fault);
            return true;
        case Kind::crash:
            for (Host* host : choose_hosts(fault.affected_share, true)) {
                world_.crash(*host, World::CrashMode::connections_reset);
                schedule_end(fault, [this, host] { world_.restart(*host); });
            }
            return true;
        default:
            return false;
    }
}

void FaultSchedule::fall_behind(Host& host, const Fault& fault) {
    host.fall_behind(World::duration_of_seconds(fault.magnitude));
    schedule_end(fault, [&host] { host.catch_up(); });
}

void FaultSchedule::drain(Host& host, const Fault& fault) {
    host.is_draining = true;
    world_.discovery.notify(host);
    schedule_end(fault, [this, &host] {
        host.is_draining = false;
        world_.discovery.notify(host);
    });
}

bool FaultSchedule::begin_zone_fault(const Fault& fault) {
    auto zone = std::uint32_t(fault.magnitude);
    switch (fault.kind) {
        case Kind::zone_vanishes:
        case Kind::zone_resets:
            lose_zone(fault);
            return true;
        case Kind::zone_partition:
            world_.network.partition(zone);
            schedule_end(fault, [this, zone] { world_.network.heal_partition(zone); });
            return true;
        case Kind::zone_one_way:
            world_.network.make_one_way(zone);
            schedule_end(fault, [this, zone] { world_.network.make_two_way(zone); });
            return true;
        case Kind::zone_flapping:
            flap(zone, world_.timeline.now() + World::duration_of_seconds(fault.duration_s));
            return true;
        default:
            return false;
    }
}

void FaultSchedule::lose_zone(const Fault& fault) {
    bool resets_connections = fault.kind == Kind::zone_resets;
    for (auto& owned_host : world_.hosts) {
        Host& host = *owned_host;
        if (host.zone != std::uint32_t(fault.magnitude) || !host.is_up()) continue;
        world_.crash(
            host, resets_connections ? World::CrashMode::connections_reset : World::CrashMode::unresponsive);
        host.refuses_connections = resets_connections;
        schedule_end(fault, [this, &host] { world_.restart(host); });
    }
}

void FaultSchedule::flap(std::uint32_t zone, Time until) {
    if (world_.timeline.now() >= until) {
        world_.network.heal_partition(zone);
        return;
    }
    bool was_partitioned = world_.network.heal_partition(zone);
    if (!was_partitioned) world_.network.partition(zone);
    world_.timeline.schedule_after(was_partitioned ? 300ms : 700ms, EventRank::world,
                                   [this, zone, until] { flap(zone, until); });
}

void FaultSchedule::begin_pooler_fault(const Fault& fault) {
    auto& poolers = world_.poolers;
    auto count = std::size_t(std::llround(fault.affected_share * double(poolers.size())));
    for (std::uint32_t i = 0; i < std::min(count, poolers.size()); ++i) {
        if (fault.kind == Kind::pooler_paused) {
            poolers[i]->paused_until = world_.timeline.now() + World::duration_of_seconds(fault.duration_s);
        } else if (fault.kind == Kind::pooler_disconnected) {
            world_.network.disconnect_pooler(i);
            schedule_end(fault, [this, i] { world_.network.reconnect_pooler(i); });
        } else {
            world_.restart_pooler(i);
        }
    }
}

std::vector<Host*> FaultSchedule::choose_hosts(double share, bool replicas_only) {
    std::vector<Host*> chosen;
    for (auto& host : world_.hosts)
        if (!replicas_only || !host->is_primary) chosen.push_back(host.get());
    for (std::size_t i = chosen.size(); i > 1; --i)
        std::swap(chosen[i - 1], chosen[world_.fault_stream.below(i)]);
    auto count = std::size_t(std::max(1.0, share * double(chosen.size()) + 0.5));
    chosen.resize(std::min(chosen.size(), count));
    std::sort(chosen.begin(), chosen.end(), [](Host* a, Host* b) { return a->number < b->number; });
    return chosen;
}

}  // namespace indigovane::lab
