// Checks the rules that a pooler must keep. It uses only what hosts and clients observe in the emulated
// network, never the state of a pooler's core. Each rule is stated where it is checked.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/timeline.hpp"

namespace indigovane::lab {

class Auditor {
  public:
    struct Limits {
        // Time from the notification of a drain in which a pooler may still send requests to the host: 2 s,
        // and the 50 ms by which time limits on real sockets are longer.
        Duration drain_grace = std::chrono::milliseconds(2050);
        // Greatest age of the data of a bounded read, with the same 50 ms.
        Duration staleness_bound = std::chrono::milliseconds(3050);
        // A host in slow start must not get more work within any `overload_window` than `overload_multiple`
        // times what it can do then. Its capacity grows from `slow_start_share` to all of it within
        // `slow_start_ramp`.
        double slow_start_share = 0.2, overload_multiple = 2.5;
        Duration slow_start_ramp = std::chrono::seconds(17), overload_window = std::chrono::seconds(2);
    };
    explicit Auditor(Limits limits) : limits_(limits) {}

    // What the class of a request requires of the data that answers it.
    enum class Requirement { none, bounded, session };

    void request_sent(const std::string& request, Requirement requirement, std::uint64_t session);
    void attempt_sent(const std::string& request, std::uint32_t pooler, std::uint32_t host, Time now);
    // An attempt was answered, or its connection was closed.
    void attempt_ended(const std::string& request);
    void notified_draining(std::uint32_t pooler, std::uint32_t host, Time now);
    void notified_ready(std::uint32_t pooler, std::uint32_t host);
    // A host's answer has reached the client. `position` is the log position that the host had applied when
    // it read; `from_primary` says that the host was a primary.
    void request_answered(const std::string& request, Time position, bool from_primary, Time now);
    // The client was told that its request is rejected or has failed.
    void request_ended_with_error(const std::string& request, Time now);
    // The client has left, so its request needs no answer any more.
    void client_left(const std::string& request);
    // The session's client has received the answer to a write that was committed at this log position.
    void write_committed(std::uint64_t session, Time commit);
    // The greatest of the session's committed positions; Time{} if there is none.
    Time last_commit(std::uint64_t session) const;
    // A host has started and is in slow start. `capacity` is the work per second that it can do when warm, in
    // seconds of one core.
    void host_started(std::uint32_t host, Time now, double capacity);
    // Work was sent to the host. `work` is the time that it takes on a warm host.
    void work_sent(std::uint32_t host, Duration work, Time now);
    // The run has ended: every request without an answer is a breach.
    void finish(Time now);

    struct Breach {
        Time at;
        // `rule` is the short name of the rule; `description` says how it was broken.
        std::string rule, description;
    };
    const std::vector<Breach>& breaches() const { return breaches_; }
    // Number of checks made.
    std::uint64_t checks() const { return checks_; }

  private:
    struct RequestRecord {
        Requirement requirement = Requirement::none;
        Time last_sent{};
        // Session reads: the session's last commit that its client knew when it sent the request.
        Time required_position{};
        // Attempts in flight, and final answers.
        int attempts_in_flight = 0, answers = 0;
    };
    void record_breach(Time now, const char* rule, std::string description);

    Limits limits_;
    std::unordered_map<std::string, RequestRecord> requests_;
    // Last known commit by session.
    std::unordered_map<std::uint64_t, Time> last_commits_;
    // Time at which a pooler was first notified that a host drains, by pooler and host.
    std::map<std::pair<std::uint32_t, std::uint32_t>, Time> notified_draining_at_;
    struct WarmingHost {
        Time started{};
        double capacity = 0;
        // Work sent within the last overload window, with its time.
        std::vector<std::pair<Time, Duration>> recent_work;
    };
    std::map<std::uint32_t, WarmingHost> warming_hosts_;
    std::vector<Breach> breaches_;
    std::uint64_t checks_ = 0;
};

}  // namespace indigovane::lab
