// What an emulated fleet is made of, and the faults that befall it. Defaults describe a small calm fleet.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "policy/routing_policy.hpp"
#include "routing/types.hpp"
#include "site/settings.hpp"

namespace indigovane::lab {

using routing::Duration;
using routing::Time;

// One class of request, as clients send it and as the poolers' settings describe it.
struct ClassOptions {
    std::string name;
    policy::Consistency consistency = policy::Consistency::bounded;
    double share = 1;            // of all requests; the last class gets what is left
    double priority_weight = 1;  // earned by an answer within the objective
    double late_share = 0;       // of the weight, earned by a later answer
    Duration work{};             // of an attempt at a warm host: the mean; half of it to one and a half times
    Duration latency_objective{}, deadline{};
};

// A fault begins at `begins_s` and is over after `lasts_s` seconds.
struct Fault {
    enum class Kind {
        surge,             // `size`: traffic times that
        replication_lag,   // `size`: seconds that `part` of the replicas are behind
        crash,             // `part` of the replicas end, and are back warming up when it is over
        drain,             // `part` of the replicas drain, and are ready again when it is over
        slow_hosts,        // `part` of the hosts take `size` times as long, and report nothing of it
        restart_poolers,   // `part` of the poolers end and start with nothing, all at its beginning
        discovery_outage,  // calls fail, watches end, and changes wait to be polled
        hot_client,        // `size`: share of all traffic that one pooler gets beside its own
        zone_vanishes,     // zone `size`: its hosts vanish, and are back warming up when it is over
        zone_resets,     // zone `size`: its processes die; connections are reset and refused until it is over
        zone_partition,  // zone `size`: nothing passes between it and the other zones
        zone_one_way,    // zone `size`: requests reach its hosts, responses to other zones are lost
        zone_flapping,   // zone `size`: partitioned for 700 ms, connected for 300 ms, and so on
        pooler_disconnected,  // `part` of the poolers reach no host
        pooler_paused,        // `part` of the poolers stand still, and go on when it is over
    } kind = Kind::surge;
    double begins_s = 0, lasts_s = 0, size = 1, part = 1;
};

struct FleetOptions {
    // Size. Hosts of a group, and poolers, are spread over the zones in turn.
    unsigned poolers = 4;
    unsigned groups = 2;
    unsigned hosts_per_group = 4;
    unsigned zones = 1;
    double seconds = 20;

    // A host.
    unsigned cores = 3;
    std::size_t queue = 40;              // requests that wait at most
    std::size_t connections = 200;       // at most
    bool hosts_check_staleness = false;  // hosts reject reads that they are too far behind for
    bool hosts_drop_cancelled = true;    // a host drops what was cancelled while it waited
    bool answers_tell_position = true;   // else only a write's commit
    bool reports_cpu = false;  // health checks report how busy the cores are, in place of requests in flight
    // Share of a core's time in which a replica applies the log. What its cores are taken up with beyond
    // their number holds the log up, and the host answers as fast as ever. 0: it always keeps up.
    double log_apply_load = 0;
    double election_s = 3;  // a primary that is gone for so long gives way to a replica; 0: never

    // Slow start: a host that has started can do this share of its work, all of it after `ramp`; the auditor
    // counts an overload above `overload_multiple` of that within `overload_window`.
    double slow_start_share = 0.2;
    Duration ramp = std::chrono::seconds(17);
    double overload_multiple = 2.5;
    Duration overload_window = std::chrono::seconds(2);

    // Clients.
    double rate = 300;  // first attempts a second, all together
    unsigned sessions = 400;
    unsigned retries = 0;               // of a client, at once
    bool clients_carry_tokens = false;  // a session's read says how long ago its last write was committed
    std::vector<ClassOptions> classes;

    // Network and discovery.
    Duration one_way = std::chrono::microseconds(700);
    Duration replication_delay = std::chrono::milliseconds(10);
    Duration notification_delay = std::chrono::milliseconds(800);  // of a pushed list change, at most
    // Lists are polled: one service takes so many calls a second, one after the other, and fails those that
    // have waited for a second. 0: lists are pushed.
    double list_calls_per_second = 0;

    // The poolers' settings.
    bool hedging = false;
    double health_check_price = 0;
    Duration drain_grace = std::chrono::seconds(2);
    Duration staleness_bound = std::chrono::seconds(3);  // of bounded reads
    std::optional<site::Settings> sites;                 // none: sites are not watched

    std::vector<Fault> faults;
    std::uint64_t seed = 1;
    std::uint64_t permutation = 0;  // of events at one instant; 0: in the order of their setting
    std::uint64_t max_events = 200'000'000;

    // Planted defects, for tests of the auditor: what a broken pooler would do.
    enum class Defect {
        none,
        duplicate_attempt,
        send_after_drain,
        stale_read,
        lost_answer,
        overloaded_slow_start,
    } defect = Defect::none;
};

// Three classes like a laundry's: pushed lists, remembered tokens, a bound of seconds.
FleetOptions usual_fleet();
// Four classes like a charging map's: tight bounds, polled lists, carried tokens, lag not told by answers.
FleetOptions station_fleet();

}  // namespace indigovane::lab
