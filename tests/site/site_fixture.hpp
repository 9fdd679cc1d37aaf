// A site manager in virtual time. There are three sites of six hosts and six groups, each with one host in
// each site. A pooler sends requests to randomly chosen hosts.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "site/site_manager.hpp"

namespace indigovane::site {

struct SiteFixture {
    static constexpr std::uint32_t kHosts = 18;
    static constexpr std::uint32_t kSites = 3;
    static constexpr Duration kStep = milliseconds(10);

    Settings settings;
    std::uint64_t random_state = 1;
    SiteManager manager;
    Time now = Time(seconds(100));
    std::vector<Host> hosts;
    std::set<std::uint32_t> unresponsive;  // hosts that do not answer
    std::set<std::uint32_t> resetting;     // hosts that reset connections
    Duration attempt_timeout = milliseconds(300);
    int steps_per_request = 1;

    // Actions that the manager has returned.
    std::set<HostId> excluded;  // hosts that are excluded now
    std::vector<std::pair<Time, HostId>> readmissions;
    int slow_starts = 0;  // number of readmissions with a slow start
    std::vector<std::pair<Time, HostId>> probes;
    std::vector<SiteTransition> transitions;

    std::map<std::uint32_t, std::vector<Time>> pending;  // when each pending contact was sent, by host

    explicit SiteFixture(Settings site_settings = enabled(), unsigned poolers = 1, bool may_probe = true)
        : settings(site_settings),
          manager(site_settings, {poolers, may_probe, classes()}, [this] { return draw(); }) {
        for (std::uint32_t i = 0; i < kHosts; ++i) {
            Host host;
            host.id = HostId{i};
            host.site = SiteId{i % kSites};
            host.group = GroupId{i / kSites};
            host.primary = i % kSites == i / kSites % kSites;
            hosts.push_back(host);
        }
        manager.set_hosts(hosts, now);
    }

    static Settings enabled() {
        Settings settings;
        settings.enabled = true;
        return settings;
    }

    static std::vector<Demand> classes() {
        std::vector<Demand> classes(2);
        classes[0].request_class = "read";
        classes[1].request_class = "write";
        classes[1].needs_primary = true;
        classes[1].priority_weight = 6;
        return classes;
    }

    double draw() {
        random_state = random_state * 6364136223846793005u + 1442695040888963407u;
        return double(random_state >> 11) * 0x1.0p-53;
    }

    void apply(const SiteActions& actions) {
        for (const SiteAction& action : actions)
            std::visit([this](const auto& concrete_action) { apply(concrete_action); }, action);
    }
    void apply(const ExcludeHost& action) { excluded.insert(action.host); }
    void apply(const ReadmitHost& action) {
        excluded.erase(action.host);
        readmissions.push_back({now, action.host});
        slow_starts += action.started.has_value();
    }
    void apply(const ProbeHost& action) {
        probes.push_back({now, action.host});
        send(action.host);
    }
    void apply(const SiteTransition& transition) { transitions.push_back(transition); }

    // Sends a request or a probe. It is answered at once, or pending until its timeout.
    void send(HostId host) {
        auto id = std::uint32_t(host);
        manager.record_sent(host, now);
        if (unresponsive.count(id)) {
            pending[id].push_back(now);
            return;
        }
        manager.record_ended(host);
        ContactResult result = resetting.count(id) ? ContactResult::reset : ContactResult::answered;
        manager.record_contact(host, result, now, now);
    }

    // Ends the pending contacts that have reached their timeout.
    void end_timed_out() {
        for (auto& [id, sent] : pending)
            while (!sent.empty() && now - sent.front() >= attempt_timeout) {
                manager.record_ended(HostId{id});
                manager.record_contact(HostId{id}, ContactResult::unanswered, sent.front(), now);
                sent.erase(sent.begin());
            }
    }

    // In each step sends a request to a random host unless it is excluded, and evaluates if an evaluation is
    // due.
    void run(Duration length, bool has_traffic = true) {
        for (Time end = now + length; now < end; now += kStep) {
            end_timed_out();
            HostId host{std::uint32_t(draw() * kHosts)};
            bool is_request_due = has_traffic && steps_++ % steps_per_request == 0;
            if (is_request_due && !excluded.count(host)) send(host);
            if (manager.next_evaluation() && *manager.next_evaluation() <= now) apply(manager.evaluate(now));
        }
    }

    // Adds all hosts of a site to `failed`, which is `unresponsive` or `resetting`.
    void fail_site(std::uint32_t site, std::set<std::uint32_t>& failed) const {
        for (std::uint32_t id = site; id < kHosts; id += kSites) failed.insert(id);
    }

    SiteState state_of(std::uint32_t site) const { return manager.health().of_site(SiteId{site}).state; }
    bool has_entered(std::uint32_t site, SiteState state) const {
        return std::any_of(transitions.begin(), transitions.end(), [&](const SiteTransition& transition) {
            return transition.change.site == SiteId{site} && transition.change.after == state;
        });
    }
    std::size_t excluded_count(std::uint32_t site) const {
        return std::size_t(std::count_if(excluded.begin(), excluded.end(),
                                         [&](HostId host) { return std::uint32_t(host) % kSites == site; }));
    }

  private:
    int steps_ = 0;
};

}  // namespace indigovane::site
