// Watches what crosses the emulated wires and checks the project's rules, by what hosts and clients see:
// nothing that a core believes is asked. Each rule is worded where it is checked.
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
        Duration drain = std::chrono::milliseconds(2050);  // 2 s, and what time limits on sockets are longer
        Duration staleness_bound = std::chrono::milliseconds(3050);  // of bounded reads
        double slow_start_share = 0.2, overload_multiple = 2.5;
        Duration ramp = std::chrono::seconds(17), overload_window = std::chrono::seconds(2);
    };
    explicit Auditor(Limits limits) : limits_(limits) {}

    enum class Need { none, bounded, session };  // what a request's class asks of the data

    void requested(const std::string& request, Need need, std::uint64_t session);
    void sent(const std::string& request, std::uint32_t pooler, std::uint32_t host, Time now);
    void attempt_over(const std::string& request);  // an attempt is over: answered, or its connection closed
    void notified_draining(std::uint32_t pooler, std::uint32_t host, Time now);
    void notified_ready(std::uint32_t pooler, std::uint32_t host);
    // A host's answer has reached its client. `position`: what the host had applied when it read; `fresh`: by
    // a primary.
    void answered(const std::string& request, Time position, bool fresh, Time now);
    void refused(const std::string& request, Time now);
    void client_left(const std::string& request);        // the client is gone: nothing is owed
    void committed(std::uint64_t session, Time commit);  // its client has heard of it
    Time last_commit(std::uint64_t session) const;       // its last, none: the beginning
    void host_started(std::uint32_t host, Time now,
                      double capacity);                           // cold; capacity: work a second when warm
    void work_sent(std::uint32_t host, Duration work, Time now);  // sent to it
    void finish(Time now);                                        // everything is over: what is owed still?

    struct Breach {
        Time at;
        std::string rule, what;
    };
    const std::vector<Breach>& breaches() const { return breaches_; }
    std::uint64_t checks() const { return checks_; }

  private:
    struct Request {
        Need need = Need::none;
        Time last_sent{};
        Time needs{};  // a session's commits that its client had heard of when it asked
        int out = 0, answers = 0;
    };
    void breach(Time now, const char* rule, std::string what);

    Limits limits_;
    std::unordered_map<std::string, Request> requests_;
    std::unordered_map<std::uint64_t, Time> commits_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, Time> draining_;  // pooler and host: told when
    struct WarmingHost {
        Time started{};
        double capacity = 0;
        std::vector<std::pair<Time, Duration>> recent;
    };
    std::map<std::uint32_t, WarmingHost> warming_hosts_;
    std::vector<Breach> breaches_;
    std::uint64_t checks_ = 0;
};

}  // namespace indigovane::lab
