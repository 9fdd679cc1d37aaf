// The options of an emulated fleet, and its faults. The defaults describe a small fleet without faults.
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

// A class of requests, for the clients that send it and for the poolers' settings.
struct ClassOptions {
    std::string name;
    policy::Consistency consistency = policy::Consistency::bounded;
    // Share of all requests. The last class gets the remainder.
    double share = 1;
    // Weight earned by an answer within the latency objective.
    double priority_weight = 1;
    // Share of the weight that is earned by a later answer.
    double late_share = 0;
    // Mean time that an attempt takes on a warm host. Times are uniform between 0.5 and 1.5 times the mean.
    Duration work{};
    Duration latency_objective{}, deadline{};
};

// A fault that starts at `start_s` and ends `duration_s` seconds later. `magnitude` and `affected_share` (a
// share from 0 to 1) have the meaning given with each kind.
struct Fault {
    enum class Kind {
        // The rate of requests is multiplied by `magnitude`.
        surge,
        // `affected_share` of the replicas fall behind by `magnitude` seconds.
        replication_lag,
        // `affected_share` of the replicas crash. They restart in slow start when the fault ends.
        crash,
        // `affected_share` of the replicas drain. They are ready again when the fault ends.
        drain,
        // `affected_share` of the hosts take `magnitude` times as long, without reporting it.
        slow_hosts,
        // `affected_share` of the poolers restart without any state, all at the start of the fault.
        restart_poolers,
        // Calls fail, watches end, and poolers learn of changes only when they poll again.
        discovery_outage,
        // One pooler gets the share `magnitude` of all requests in addition to its own.
        hot_client,
        // The hosts of zone `magnitude` stop responding. They restart in slow start when the fault ends.
        zone_vanishes,
        // The processes of zone `magnitude` die. Connections are reset and refused until the fault ends.
        zone_resets,
        // No message passes between zone `magnitude` and the other zones.
        zone_partition,
        // Requests reach the hosts of zone `magnitude`; their responses to other zones are lost.
        zone_one_way,
        // Zone `magnitude` is partitioned for 700 ms and connected for 300 ms in turn.
        zone_flapping,
        // `affected_share` of the poolers reach no host.
        pooler_disconnected,
        // `affected_share` of the poolers stop running, and continue when the fault ends.
        pooler_paused,
    } kind = Kind::surge;
    double start_s = 0, duration_s = 0, magnitude = 1, affected_share = 1;
};

struct FleetOptions {
    // Size of the fleet. The hosts of a group, and the poolers, are spread over the zones in turn.
    unsigned poolers = 4;
    unsigned groups = 2;
    unsigned hosts_per_group = 4;
    unsigned zones = 1;
    // Time in which clients send new requests. The run continues after it for twice the longest deadline and
    // 1 s.
    double seconds = 20;

    // Settings of each host.
    unsigned cores = 3;
    // Greatest number of queued requests.
    std::size_t max_queued_requests = 40;
    // Greatest number of open connections.
    std::size_t max_connections = 200;
    // Replicas answer with a miss to reads that require a later log position than they have reached.
    bool hosts_check_staleness = false;
    // A host drops queued work that is cancelled.
    bool hosts_drop_cancelled = true;
    // Every answer tells the log position of the host. If false, only the answers to writes do.
    bool answers_tell_position = true;
    // Health checks report the share of busy cores instead of the number of requests in flight.
    bool reports_cpu = false;
    // Share of one core's time that a replica needs to apply the log. Work in flight beyond the number of
    // cores slows the apply of the log, while the host answers as fast as before. 0: the log always keeps up.
    double log_apply_load = 0;
    // Seconds after its crash at which a primary that is still down is replaced by a replica; 0: never.
    double election_delay_s = 3;

    // Slow start: a started host has this share of its capacity, which grows to all of it within
    // `slow_start_ramp`. The auditor counts an overload if the work sent within `overload_window` exceeds
    // `overload_multiple` times that capacity.
    double slow_start_share = 0.2;
    Duration slow_start_ramp = std::chrono::seconds(17);
    double overload_multiple = 2.5;
    Duration overload_window = std::chrono::seconds(2);

    // Clients.
    // Requests per second of all clients together, without retries.
    double rate = 300;
    unsigned sessions = 400;
    // Retries that a client makes of a rejected request, each at once.
    unsigned max_client_retries = 0;
    // Requests of sessions carry the log position of the session's last commit.
    bool clients_carry_tokens = false;
    std::vector<ClassOptions> classes;

    // Network and discovery.
    // Network delay in one direction.
    Duration one_way_delay = std::chrono::microseconds(700);
    Duration replication_delay = std::chrono::milliseconds(10);
    // Greatest delay of a notification of a list change.
    Duration notification_delay = std::chrono::milliseconds(800);
    // Above 0, lists are polled from a single service that answers this many calls per second, one at a time.
    // Calls that would wait for more than a second fail. 0: lists are pushed.
    double list_calls_per_second = 0;

    // The poolers' settings.
    bool hedging = false;
    double health_check_price = 0;
    Duration drain_grace = std::chrono::seconds(2);
    // Greatest age of the data of bounded reads.
    Duration staleness_bound = std::chrono::seconds(3);
    // std::nullopt: sites are not watched.
    std::optional<site::Settings> sites;

    std::vector<Fault> faults;
    std::uint64_t seed = 1;
    // Seed of the order of events with the same time and rank; 0: the order of scheduling.
    std::uint64_t permutation = 0;
    // The run is cut short after this many events.
    std::uint64_t max_events = 200'000'000;

    // A defect planted to test the auditor. The auditor observes what a pooler with this defect would do.
    enum class Defect {
        none,
        duplicate_attempt,
        send_after_drain,
        stale_read,
        lost_answer,
        overloaded_slow_start,
    } defect = Defect::none;
};

// A fleet like that of a laundry: three classes, pushed lists, session tokens remembered by the poolers, and
// a staleness bound of seconds.
FleetOptions usual_fleet();
// A fleet like that of a map of charging stations: four classes, tight staleness bounds, polled lists,
// session tokens carried by clients, and answers that don't tell the host's log position.
FleetOptions station_fleet();

}  // namespace indigovane::lab
