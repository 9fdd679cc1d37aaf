// Loss and recovery of a site: detection, failover plan, load shedding and recovery ramp. Pure decisions:
// events with a time go in, actions come out. No I/O, no clock, no thread, no random device: the caller hands
// in times, which never go back, and uniform draws. One thread at a time per object.
//
// This header: the terms that all parts share. Design: docs/site-loss.md.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace indigovane::site {

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline double to_seconds(Duration duration) {
    return double(duration.count()) / 1e6;
}

enum class SiteId : std::uint32_t {};   // a zone
enum class HostId : std::uint32_t {};   // an endpoint
enum class GroupId : std::uint32_t {};  // the primary and the replicas of one data set

// A host as the endpoint list describes it.
struct Host {
    HostId id{};
    SiteId site{};
    GroupId group{};
    bool ready = true;            // the list allows new work
    bool primary = false;         // as last known
    std::optional<Time> started;  // latest start of its process; none: before this pooler's knowledge
    double capacity = 1;          // of work, in one unit for all hosts of a list
};

// A site's state as this pooler sees it.
enum class SiteState : std::uint8_t {
    reachable,    // answers arrive, or nothing is known
    degraded,     // several of its hosts are unresponsive, not all
    lost,         // unresponsive, while most of the fleet's hosts answer
    partitioned,  // unresponsive, as most hosts are to this pooler: the fault may be on this side
    drained,      // operators have sent its load elsewhere
    recovering,   // answers again; its hosts are readmitted along the recovery ramp
};

// The state's name on the control address and in the log.
const char* state_name(SiteState state);

// How one attempt, health check or connection ended, as evidence about its host.
enum class ContactResult : std::uint8_t {
    answered,    // any response, an error or a rejection too
    unanswered,  // nothing arrived in the time it had, or no connection was established
    reset,       // connection refused or reset: the machine is there, the process may not be
};

}  // namespace indigovane::site
