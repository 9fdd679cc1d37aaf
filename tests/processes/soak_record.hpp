// What clients and hosts of a soak run saw, and the invariants that it is checked by, independent of the
// poolers' own state. Each rule is worded where it is checked; times have a slack, since one thread records
// them beside the processes.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigovane::testing {

using SteadyTime = std::chrono::steady_clock::time_point;
using Millis = std::chrono::milliseconds;

enum class SoakClass { view, own, write, book };

// What a class promises, as the poolers' settings have it.
struct SoakClassRule {
    const char* name;
    bool may_retry;            // reads without an effect
    bool has_idempotency_key;  // its hosts drop duplicates within the window
    Millis deadline, window;   // the window counts from the first send
};
constexpr SoakClassRule kSoakClasses[] = {
    {"view", true, false, Millis(800), Millis(0)},
    {"own", false, false, Millis(600), Millis(0)},
    {"write", false, true, Millis(1000), Millis(500)},
    {"book", false, false, Millis(1000), Millis(0)},
};
inline const SoakClassRule& rule_of(SoakClass c) {
    return kSoakClasses[std::size_t(c)];
}

// What a host has done with a statement.
enum class Executed { unknown, never, yes };

class SoakRecord {
  public:
    explicit SoakRecord(Millis slack) : slack_(slack) {}

    struct Attempt {
        std::size_t host;
        SteadyTime started;
        Executed executed = Executed::unknown;
        bool answered = false;               // the host has written a complete answer
        std::optional<SteadyTime> closed{};  // its connection
    };
    struct Request {
        SoakClass request_class{};
        SteadyTime sent{};
        SteadyTime left{};  // its client closed; none: the epoch
        bool gone = false, answered = false;
        std::vector<Attempt> attempts;
    };

    void sent(const std::string& id, SoakClass request_class, SteadyTime now) {
        Request& r = requests_[id];
        r.request_class = request_class;
        if (r.sent == SteadyTime{}) r.sent = now;
        ++total;
    }
    void left(const std::string& id, SteadyTime now) {
        Request& r = requests_[id];
        r.gone = true;
        r.left = now;
    }
    // A host has received the complete statement. Returns the attempt's number.
    std::size_t attempt_started(const std::string& id, std::size_t host, Millis deadline, SteadyTime now) {
        Request& r = requests_[id];
        const SoakClassRule& rule = rule_of(r.request_class);
        for (const Attempt& a : r.attempts) {
            if (a.executed == Executed::never || rule.may_retry) continue;
            // Rule: what may have run runs again only as its class allows, within its window.
            if (!rule.has_idempotency_key) breach("duplicate", id);
            if (rule.has_idempotency_key && now > r.attempts.front().started + rule.window + slack_)
                breach("window", id);
        }
        // Rule: no attempt begins over 0.1 s after its client closed.
        if (r.gone && now > r.left + Millis(100) + slack_)
            breach("sent after its client had gone",
                   id + text_of(now - r.left) + (r.attempts.empty() ? ", first" : ", further"));
        // Rule: the deadline sent to a host is at most what the client has left, and 0.15 s.
        auto left = std::chrono::duration_cast<Millis>(r.sent + rule.deadline - now);
        if (deadline > left + Millis(150) + slack_)
            breach("told too long a deadline", id + text_of(deadline - left));
        r.attempts.push_back({host, now});
        return r.attempts.size() - 1;
    }
    void executed(const std::string& id, std::size_t attempt, Executed how) {
        requests_[id].attempts[attempt].executed = how;
    }
    void attempt_closed(const std::string& id, std::size_t attempt, SteadyTime now) {
        std::optional<SteadyTime>& closed = requests_[id].attempts[attempt].closed;
        if (!closed) closed = now;
    }
    void ended(const std::string& id, std::size_t attempt) {
        requests_[id].attempts[attempt].answered = true;
    }
    // Rule: no two attempts of a request are out on open connections at once. Looked at when all is over.
    void check_single_attempts() {
        for (const auto& [id, r] : requests_)
            for (std::size_t i = 0; i + 1 < r.attempts.size(); ++i) {
                const Attempt& a = r.attempts[i];
                if (a.answered || (a.closed && *a.closed < r.attempts[i + 1].started + Millis(50) + slack_))
                    continue;
                breach("two attempts out", id);
            }
    }
    void answered(const std::string& id, const std::string& sqlstate, SteadyTime now) {
        Request& r = requests_[id];
        const SoakClassRule& rule = rule_of(r.request_class);
        if (r.answered) breach("answered twice", id);
        r.answered = true;
        if (now > r.sent + rule.deadline + Millis(500) + slack_)
            breach("answered late", id + text_of(now - r.sent));
        bool refused = sqlstate == "53300" || sqlstate == "57P03";
        if (sqlstate.empty()) ++served;
        if (refused) ++this->refused;
        if (!refused || rule.may_retry) return;
        // Rule: a refusal promises that the statement has not run and will not.
        for (const Attempt& a : r.attempts)
            if (a.executed != Executed::never) breach("refused though it may have run", id);
    }
    void breach(const std::string& rule, const std::string& what) { breaches.push_back(rule + ": " + what); }
    const Request& request(const std::string& id) { return requests_[id]; }

    std::string describe(const std::string& id) const {
        auto it = requests_.find(id);
        if (it == requests_.end()) return "";
        const Request& r = it->second;
        std::string text = std::string(" class ") + rule_of(r.request_class).name;
        if (r.gone) text += ", left" + text_of(r.left - r.sent);
        for (const Attempt& a : r.attempts)
            text += "; h" + std::to_string(a.host) + " asked" + text_of(a.started - r.sent) + " executed " +
                    std::to_string(int(a.executed)) + (a.answered ? " answered" : "") +
                    (a.closed ? " closed" + text_of(*a.closed - r.sent) : "");
        return text;
    }
    std::vector<std::string> breaches;
    int total = 0, served = 0, refused = 0, excused = 0;

  private:
    template <typename D>
    static std::string text_of(D span) {
        return " by " + std::to_string(std::chrono::duration_cast<Millis>(span).count()) + " ms";
    }

    Millis slack_;
    std::map<std::string, Request> requests_;
};

}  // namespace indigovane::testing
