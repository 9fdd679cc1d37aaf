// A whole installation in virtual time: clients, poolers (the real core with the real module), hosts, the
// network between them, and the troubles that befall them. One thread, one seed: the same again each time.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/auditor.hpp"
#include "lab/random.hpp"
#include "lab/timeline.hpp"
#include "routing/core.hpp"

namespace indigovane::lab {

struct ClassOptions {
    std::string name;
    policy::Consistency read = policy::Consistency::bounded;
    double share = 1, priority_weight = 1, late_share = 0;
    Duration work{}, latency_objective{}, deadline{};  // work: the mean; half of it to one and a half times
};

struct Trouble {
    enum class Kind {
        jump,     // size: traffic times that
        lag,      // size: replicas are that many seconds behind; part of them
        kill,     // part of the hosts end and are back, cold, when it is over
        drain,    // part of the hosts drain, and are ready again when it is over
        gray,     // part of the hosts take size times as long, and say nothing of it
        restart,  // part of the poolers end and start with nothing, all at its beginning
        blind,    // discovery is out of reach: calls fail, watches end, and changes wait to be asked for
        caller,   // size: the share of all traffic that one pooler gets beside its own
        // Of a zone, which is what `size` names:
        zone_silent,  // its hosts vanish, and are back, cold, when it is over
        zone_reset,   // their processes die: connections are reset, and refused until they are back, cold
        zone_cut,     // nothing passes between it and the other zones
        zone_deaf,    // poolers elsewhere reach its hosts, and hear no answer
        zone_flap,    // cut for 700 ms, open for 300, and so on
        uplink,       // part of the poolers reach no host at all
        stall,        // part of the poolers stand still, and go on when it is over
    } kind = Kind::jump;
    double begins_s = 0, lasts_s = 0, size = 1, part = 1;
};

struct FleetOptions {
    unsigned poolers = 4, groups = 2, members = 4, cores = 3;
    std::size_t queue = 40, connections = 200;  // of a host
    double rate = 300;                          // first tries a second, all together
    double seconds = 20;
    unsigned sessions = 400;
    std::vector<ClassOptions> classes;
    Duration one_way = std::chrono::microseconds(700), ship = std::chrono::milliseconds(10);
    Duration told_late = std::chrono::milliseconds(800);  // discovery
    double slow_start_share = 0.2, health_check_price = 0, overload_multiple = 2.5;
    bool checked = false;  // hosts turn reads away that they are too far behind for
    Duration ramp = std::chrono::seconds(17), overload_window = std::chrono::seconds(2);
    Duration drain_grace = std::chrono::seconds(2), bound = std::chrono::seconds(3);  // of bounded reads
    // Lists are asked for: one service takes so many calls a second, one after the other, and fails those
    // that have waited for a second. 0: lists are pushed.
    double list_calls = 0;
    bool carried = false;     // a session's read says how long ago its last write was committed
    bool notes = true;        // answers tell positions; else only a write's commit
    bool tells_busy = false;  // probes tell how busy the cores are, in place of the requests held
    bool hedging = false;
    // Share of a core's time in which a replica applies the log. What its cores are taken up with beyond
    // their number holds it up, and it answers as fast as ever. 0: it always keeps up.
    double apply_use = 0;
    unsigned retries = 0;  // of a client, at once
    unsigned zones = 1;    // hosts of a group, and poolers, are spread over them in turn
    double elect_s = 3;    // a primary that is gone for so long gives way to a replica; 0: never
    std::optional<site::Settings> sites;  // poolers watch sites
    bool cancels = true;                  // a host drops what was cancelled while it waited
    std::vector<Trouble> troubles;
    std::uint64_t seed = 1, permutation = 0;
    std::uint64_t most_events = 200'000'000;
    // For tests of the auditor alone: what a broken pooler would do.
    enum class Defect {
        none,
        second_copy,
        send_after_drain,
        stale_read,
        lost_answer,
        cold_flooded
    } defect = Defect::none;
};
FleetOptions usual_fleet();  // three classes like a laundry's
FleetOptions
station_fleet();  // four like a charging map's: tight bounds, lists asked for, lag untold by hosts

struct Summary {
    std::uint64_t requests = 0, served = 0, late = 0, refused = 0, failed = 0, attempts = 0, probes = 0,
                  connects = 0;
    double weight_offered = 0, weight_served = 0;
    std::uint64_t falls = 0;                // of cold hosts: sent more than they bear, by the auditor's rule
    std::vector<std::uint32_t> latency_us;  // of what was served; sorted
    struct Window {
        double asked = 0, served = 0;
    };
    std::vector<Window> windows;  // by second: worth
    std::vector<Auditor::Breach> breaches;
    std::uint64_t events = 0, checks = 0;
    bool cut_short = false;  // by most_events
    // Part of the worth asked for in these seconds that was served.
    double served_between(double from_s, double to_s) const;
    // Seconds after `at_s` until at least `part` is served, and stays so for two more; -1: never.
    double seconds_until(double at_s, double part) const;
    double goodput() const { return weight_offered > 0 ? weight_served / weight_offered : 1; }
    std::uint32_t latency(double quantile) const;
    std::string text() const;  // every figure: equal runs have equal texts
};

Summary run(const FleetOptions& options);

}  // namespace indigovane::lab
