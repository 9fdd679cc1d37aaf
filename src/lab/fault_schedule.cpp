#include "lab/fault_schedule.hpp"

#include <algorithm>
#include <cmath>

#include "lab/world.hpp"

namespace indigovane::lab {

using namespace std::chrono_literals;
using Kind = Fault::Kind;

void FaultSchedule::schedule_all() {
    for (const Fault& fault : world_.options.faults)
        world_.timeline.at(World::at_seconds(fault.begins_s), Rank::world, [this, &fault] { begin(fault); });
}

void FaultSchedule::at_end(const Fault& fault, std::function<void()> then) {
    world_.timeline.after(World::duration_of_seconds(fault.lasts_s), Rank::world, std::move(then));
}

void FaultSchedule::begin(const Fault& fault) {
    if (begin_traffic_fault(fault) || begin_host_fault(fault) || begin_zone_fault(fault)) return;
    begin_pooler_fault(fault);
}

bool FaultSchedule::begin_traffic_fault(const Fault& fault) {
    switch (fault.kind) {
        case Kind::surge:
            world_.clients.begin_surge(fault.size);
            at_end(fault, [this, size = fault.size] { world_.clients.end_surge(size); });
            return true;
        case Kind::hot_client:
            world_.clients.set_hot_client(fault.size);
            at_end(fault, [this] { world_.clients.set_hot_client(0); });
            return true;
        case Kind::discovery_outage:
            world_.discovery.begin_outage();
            at_end(fault, [this] { world_.discovery.end_outage(); });
            return true;
        default:
            return false;
    }
}

bool FaultSchedule::begin_host_fault(const Fault& fault) {
    switch (fault.kind) {
        case Kind::replication_lag:
            for (Host* host : choose_hosts(fault.part, true)) fall_behind(*host, fault);
            return true;
        case Kind::slow_hosts:
            for (Host* host : choose_hosts(fault.part, false)) {
                host->slowdown *= fault.size;
                at_end(fault, [host, size = fault.size] { host->slowdown /= size; });
            }
            return true;
        case Kind::drain:
            for (Host* host : choose_hosts(fault.part, true)) drain(*host, fault);
            return true;
        case Kind::crash:
            for (Host* host : choose_hosts(fault.part, true)) {
                world_.crash(*host, World::CrashMode::connections_reset);
                at_end(fault, [this, host] { world_.restart(*host); });
            }
            return true;
        default:
            return false;
    }
}

void FaultSchedule::fall_behind(Host& host, const Fault& fault) {
    host.fall_behind(World::duration_of_seconds(fault.size));
    at_end(fault, [&host] { host.catch_up(); });
}

void FaultSchedule::drain(Host& host, const Fault& fault) {
    host.draining = true;
    world_.discovery.notify(host);
    at_end(fault, [this, &host] {
        host.draining = false;
        world_.discovery.notify(host);
    });
}

bool FaultSchedule::begin_zone_fault(const Fault& fault) {
    auto zone = std::uint32_t(fault.size);
    switch (fault.kind) {
        case Kind::zone_vanishes:
        case Kind::zone_resets:
            lose_zone(fault);
            return true;
        case Kind::zone_partition:
            world_.network.partition(zone);
            at_end(fault, [this, zone] { world_.network.heal_partition(zone); });
            return true;
        case Kind::zone_one_way:
            world_.network.make_one_way(zone);
            at_end(fault, [this, zone] { world_.network.make_two_way(zone); });
            return true;
        case Kind::zone_flapping:
            flap(zone, world_.timeline.now() + World::duration_of_seconds(fault.lasts_s));
            return true;
        default:
            return false;
    }
}

void FaultSchedule::lose_zone(const Fault& fault) {
    bool resets = fault.kind == Kind::zone_resets;
    for (auto& owned : world_.hosts) {
        Host& host = *owned;
        if (host.zone != std::uint32_t(fault.size) || !host.up()) continue;
        world_.crash(host, resets ? World::CrashMode::connections_reset : World::CrashMode::unresponsive);
        host.refuses_connections = resets;
        at_end(fault, [this, &host] { world_.restart(host); });
    }
}

void FaultSchedule::flap(std::uint32_t zone, Time until) {
    if (world_.timeline.now() >= until) {
        world_.network.heal_partition(zone);
        return;
    }
    bool open = world_.network.heal_partition(zone);
    if (!open) world_.network.partition(zone);
    world_.timeline.after(open ? 300ms : 700ms, Rank::world, [this, zone, until] { flap(zone, until); });
}

void FaultSchedule::begin_pooler_fault(const Fault& fault) {
    auto& poolers = world_.poolers;
    auto count = std::size_t(std::llround(fault.part * double(poolers.size())));
    for (std::uint32_t i = 0; i < std::min(count, poolers.size()); ++i) {
        if (fault.kind == Kind::pooler_paused) {
            poolers[i]->paused_until = world_.timeline.now() + World::duration_of_seconds(fault.lasts_s);
        } else if (fault.kind == Kind::pooler_disconnected) {
            world_.network.disconnect_pooler(i);
            at_end(fault, [this, i] { world_.network.reconnect_pooler(i); });
        } else {
            world_.restart_pooler(i);
        }
    }
}

std::vector<Host*> FaultSchedule::choose_hosts(double part, bool replicas_only) {
    std::vector<Host*> chosen;
    for (auto& host : world_.hosts)
        if (!replicas_only || !host->primary) chosen.push_back(host.get());
    for (std::size_t i = chosen.size(); i > 1; --i)
        std::swap(chosen[i - 1], chosen[world_.fault_stream.below(i)]);
    auto count = std::size_t(std::max(1.0, part * double(chosen.size()) + 0.5));
    chosen.resize(std::min(chosen.size(), count));
    std::sort(chosen.begin(), chosen.end(), [](Host* a, Host* b) { return a->number < b->number; });
    return chosen;
}

}  // namespace indigovane::lab
