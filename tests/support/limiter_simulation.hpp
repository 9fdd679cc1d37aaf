// A limiter in virtual time, with hosts that take the given time for each request, however many there are.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "limits/limiter.hpp"

namespace indigovane::limits {

using namespace std::chrono_literals;
constexpr Time kStart{std::chrono::seconds(1000)};

inline Settings three_tenants() {
    Settings settings;
    settings.enabled = true;
    settings.work = 1000ms;
    settings.reserve = 0.25;
    settings.queue = 1000;
    settings.wait = 10s;
    settings.shares = {{"vilaine", 0.59}, {"rance", 0.21}, {"odet", 0.20}};
    settings.other_share = 0.05;
    return settings;
}

struct Simulation {
    Limiter limiter;
    Time now = kStart;
    std::uint64_t ids = 0;  // given so far
    struct Running {
        Time ends;
        std::uint64_t id;
        bool operator>(const Running& other) const { return ends > other.ends; }
    };
    std::priority_queue<Running, std::vector<Running>, std::greater<>> running;
    struct Request {
        std::string tenant;
        Duration service{};
        Duration wait{};
        Time submitted_at{};
        Admission admission = Admission::queue;
        AdmissionDecision decision;
        bool ended = false;
    };
    std::map<std::uint64_t, Request> requests;
    std::map<std::string, Duration> served;  // work, by tenant
    std::function<void(Request&)> on_end;

    explicit Simulation(const Settings& settings = three_tenants()) : limiter(settings) {}

    std::uint64_t submit(const std::string& tenant, Duration service, std::uint64_t shape = 1,
                         bool privileged = false, Duration client_timeout = 20s, Duration estimate = 20ms) {
        std::uint64_t id = ++ids;
        Request& request = requests[id];
        request.tenant = tenant;
        request.service = service;
        request.submitted_at = now;
        request.decision =
            limiter.arrive({id, 1, tenant, {shape, shape}, estimate, privileged, now + client_timeout}, now);
        apply(request.decision);
        release_due();
        return id;
    }
    void apply(const AdmissionDecision& decision) {
        Request& request = requests.at(decision.id);
        request.admission = decision.admission;
        request.decision = decision;
        if (decision.admission == Admission::admit) {
            request.wait = now - request.submitted_at;
            running.push({now + request.service, decision.id});
        }
        if (decision.admission == Admission::reject) request.ended = true;
    }
    void release_due() {
        std::vector<AdmissionDecision> due;
        do {
            due.clear();
            limiter.release(now, due);
            for (const AdmissionDecision& decision : due) apply(decision);
        } while (!due.empty());
    }
    void run(Time until) {
        for (;;) {
            auto next = limiter.next();
            Time at = running.empty() ? Time::max() : running.top().ends;
            if (next) at = std::min(at, std::max(now, *next));
            if (at > until) break;
            now = std::max(now, at);
            while (!running.empty() && running.top().ends <= now) {
                std::uint64_t id = running.top().id;
                running.pop();
                auto it = requests.find(id);
                if (it == requests.end() || it->second.ended) continue;
                Request& request = it->second;
                request.ended = true;
                served[request.tenant] += request.service;
                limiter.finish(id, Outcome::served, 100, now);
                if (on_end) on_end(request);
            }
            release_due();
        }
        now = until;
        release_due();
    }
    // Makes a shape known: what it costs is then no guess.
    void teach(std::uint64_t shape, Duration service, int times = 12) {
        for (int i = 0; i < times; ++i) {
            submit("vilaine", service, shape);
            run(now + service + 1ms);
        }
    }
};

}  // namespace indigovane::limits
