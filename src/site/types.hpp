// Terms that the parts of site failover share. The library detects the loss of a site, plans the failover,
// sheds load and paces the recovery.
//
// It only takes decisions: the caller passes events with their time and gets actions back. There is no I/O,
// no clock, no thread and no random generator: the caller passes monotonic times and uniform draws. Each
// object is used by one thread at a time. Design: docs/site-loss.md.
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
    bool ready = true;     // the endpoint list allows new work on the host
    bool primary = false;  // the host was the primary of its group when its role was last seen
    // Latest start of the host's process. None: it started before this pooler knew the host.
    std::optional<Time> started;
    // Work that the host can do, in the same unit for all hosts of a list.
    double capacity = 1;
};

// State of a site as this pooler sees it.
enum class SiteState : std::uint8_t {
    reachable,    // its hosts answer, or there is no evidence about them
    degraded,     // several of its hosts are unresponsive, but not all
    lost,         // it is unresponsive while most hosts of the fleet answer
    partitioned,  // it is unresponsive, and so are most hosts: the fault may be on this pooler's side
    drained,      // operators have drained it
    recovering,   // it answers again, and its hosts are readmitted along the recovery ramp
};

// Name of the state in the replies of the control address and in the log.
const char* state_name(SiteState state);

// How an attempt, a health check or a connection ended, as evidence about its host.
enum class ContactResult : std::uint8_t {
    answered,    // the host sent a response; an error or a rejection counts too
    unanswered,  // no response arrived in time, or no connection was established
    reset,       // the connection was refused or reset: the machine runs, its process may not
};

}  // namespace indigovane::site
