// Drives the decision module through a random but repeatable run (hosts, clients, faults) and records each
// event and each action as a line of text, and a hash of every thousand events. The text names nothing by the
// module's identifiers, so that a recording outlives a renaming.
#pragma once

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "policy/routing_policy.hpp"

namespace indigovane::testing {

using namespace std::chrono_literals;

// SplitMix64 (Steele, Lea, Flood 2014): the same numbers with every library.
class RecordingRandom {
  public:
    explicit RecordingRandom(std::uint64_t seed) : state_(seed) {}
    std::uint64_t next() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
        z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
        return z ^ (z >> 31);
    }
    std::uint64_t below(std::uint64_t n) { return next() % n; }
    bool one_in(std::uint64_t n) { return n > 0 && below(n) == 0; }

  private:
    std::uint64_t state_;
};

struct RecordingOptions {
    std::string name;
    policy::Settings settings;
    policy::Settings later;  // settings that replace the first halfway, where `changes_settings` is on
    bool changes_settings = false;
    std::uint64_t seed = 1;
    std::uint32_t groups = 3, hosts_per_group = 4;
    std::uint64_t fault_one_in = 0;    // attempts that end otherwise than with an answer; 0: none
    std::uint64_t restart_one_in = 0;  // list changes that restart, drain or remove a host
    bool lists_fail = false;
    bool hosts_lag = false;
    bool clients_leave = false;
    bool gossip = false;
    std::size_t events = 10000;
};

class DecisionRecording {
  public:
    static constexpr std::size_t kEventsPerHash = 1000;

    explicit DecisionRecording(const RecordingOptions& options)
        : options_(options), random_(options.seed), policy_(options.settings, options.seed, now_) {}

    void run() {
        make_hosts();
        feed_list(policy::EndpointListKind::full, all_entries());
        schedule(1ms, Kind::client, 0);
        schedule(500ms, Kind::list, 0);
        while (events_ < options_.events && !queue_.empty()) {
            Item item = queue_.top();
            queue_.pop();
            now_ = std::max(now_, item.at);
            step(item);
        }
    }

    struct Input {
        policy::Time at;
        policy::Event event;
    };
    std::vector<Input> inputs;          // all events, to be replayed
    std::string text;                   // every event and action, a line each
    std::vector<std::uint64_t> hashes;  // of each thousand events and their actions

  private:
    using Duration = policy::Duration;
    using Time = policy::Time;

    enum class Kind {
        client,
        list,
        timer,
        attempt_end,
        response_start,
        health_check_end,
        client_departure,
        settings_change
    };
    struct Item {
        Time at;
        std::uint64_t order;
        Kind kind;
        std::uint64_t id;
        std::uint32_t attempt = 0;
        bool operator<(const Item& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct Host {
        std::uint32_t group = 0;
        bool primary = false;
        Duration lag{}, latency{};
        int faulty_until_event = 0;
        policy::EndpointState state = policy::EndpointState::ready;
        std::optional<Time> started;
    };
    struct Client {
        std::uint32_t class_index = 0;
        std::optional<std::uint64_t> session;
        bool answered = false;
        bool response_started = false;
        struct Attempt {
            std::uint32_t host;
            Time sent;
            bool over = false;
        };
        std::vector<Attempt> attempts;
    };

    void make_hosts() {
        for (std::uint32_t group = 0; group < options_.groups; ++group)
            for (std::uint32_t i = 0; i < options_.hosts_per_group; ++i) {
                Host host;
                host.group = group;
                host.primary = i == 0;
                host.lag = Duration(std::int64_t(random_.below(40000)));
                host.latency = Duration(std::int64_t(2000 + random_.below(15000)));
                hosts_.push_back(host);
            }
    }

    policy::EndpointEntry list_entry(std::uint32_t index) const {
        const Host& host = hosts_[index];
        policy::EndpointEntry entry;
        entry.endpoint = policy::EndpointId{index};
        entry.group = policy::GroupId{host.group};
        entry.zone = policy::ZoneId{index % 3};
        entry.state = host.state;
        entry.primary = host.primary;
        entry.started = host.started;
        return entry;
    }
    std::vector<policy::EndpointEntry> all_entries() const {
        std::vector<policy::EndpointEntry> entries;
        for (std::uint32_t i = 0; i < hosts_.size(); ++i)
            if (hosts_[i].state != policy::EndpointState::gone) entries.push_back(list_entry(i));
        return entries;
    }

    void schedule(Duration delay, Kind kind, std::uint64_t id, std::uint32_t attempt = 0) {
        queue_.push({now_ + delay, next_order_++, kind, id, attempt});
    }

    void step(const Item& item) {
        switch (item.kind) {
            case Kind::client:
                return client_arrives();
            case Kind::list:
                return list_changes();
            case Kind::timer:
                line("T %" PRIu64, item.id);
                return feed(policy::TimerExpired{policy::TimerId{item.id}});
            case Kind::attempt_end:
                return attempt_ends(item.id, item.attempt);
            case Kind::response_start:
                return response_starts(item.id, item.attempt);
            case Kind::health_check_end:
                return health_check_ends(std::uint32_t(item.id));
            case Kind::client_departure:
                return client_departs(item.id);
            case Kind::settings_change:
                return settings_change();
        }
    }

    void client_arrives() {
        std::uint64_t id = next_request_++;
        Client& client = clients_[id];
        client.class_index = std::uint32_t(random_.below(options_.settings.classes.size()));
        const policy::ClassSettings& settings = options_.settings.classes[client.class_index];
        policy::RequestArrival request;
        request.id = policy::RequestId{id};
        request.request_class = policy::ClassId{client.class_index};
        request.group = policy::GroupId{std::uint32_t(random_.below(options_.groups))};
        request.client_timeout = settings.deadline.value_or(1s);
        if (random_.one_in(5))
            request.client_timeout = request.client_timeout / std::int64_t(1 + random_.below(6));
        if (random_.one_in(2)) {
            client.session = random_.below(40);
            request.session = policy::SessionKey{*client.session};
        }
        if (random_.one_in(4)) request.since_last_write = Duration(std::int64_t(1 + random_.below(3000000)));
        request.is_retry = random_.one_in(8);
        line("R %" PRIu64 " %u %u %lld", id, client.class_index, unsigned(request.group),
             count(request.client_timeout));
        if (options_.clients_leave && random_.one_in(6))
            schedule(Duration(std::int64_t(random_.below(150000))), Kind::client_departure, id);
        if (options_.changes_settings && events_ > options_.events / 2 && !settings_changed_) {
            settings_changed_ = true;
            schedule(0ms, Kind::settings_change, 0);
        }
        feed(request);
        bool burst = events_ / 700 % 3 == 2;
        schedule(Duration(std::int64_t(random_.below(burst ? 2500 : 9000))), Kind::client, 0);
    }

    void list_changes() {
        schedule(Duration(std::int64_t(200000 + random_.below(900000))), Kind::list, 0);
        if (options_.lists_fail && random_.one_in(3)) return feed_list(policy::EndpointListKind::failed, {});
        if (options_.gossip && random_.one_in(2)) {
            std::uint32_t host = std::uint32_t(random_.below(hosts_.size()));
            line("G %u", host);
            return feed(policy::PrimaryGossip{policy::EndpointId{host}});
        }
        if (!random_.one_in(options_.restart_one_in)) {
            auto kind = random_.one_in(3) ? policy::EndpointListKind::cached : policy::EndpointListKind::full;
            return feed_list(kind, all_entries());
        }
        std::uint32_t index = std::uint32_t(random_.below(hosts_.size()));
        Host& host = hosts_[index];
        if (host.primary && random_.one_in(2)) move_primary(index);
        switch (random_.below(3)) {
            case 0:
                host.state = policy::EndpointState::draining;
                break;
            case 1:
                host.state = policy::EndpointState::gone;
                break;
            default:
                host.state = policy::EndpointState::ready;
                host.started = now_;
                break;
        }
        feed_list(policy::EndpointListKind::changes, {list_entry(index)});
    }

    void move_primary(std::uint32_t from) {
        for (std::uint32_t i = 0; i < hosts_.size(); ++i)
            if (i != from && hosts_[i].group == hosts_[from].group) {
                hosts_[from].primary = false;
                hosts_[i].primary = true;
                return;
            }
    }

    void feed_list(policy::EndpointListKind kind, std::vector<policy::EndpointEntry> entries) {
        line("L %d %zu", int(kind), entries.size());
        for (const auto& entry : entries)
            line("  %u %u %d %d", unsigned(entry.endpoint), unsigned(entry.group), int(entry.state),
                 int(entry.primary));
        feed(policy::EndpointList{kind, std::move(entries)});
    }

    policy::LoadReport report_of(const Host& host) {
        policy::LoadReport report;
        if (random_.one_in(8)) return report;
        report.position = position_of(host);
        report.primary = host.primary;
        if (random_.one_in(2)) report.in_flight = double(random_.below(12));
        if (random_.one_in(2)) report.queued = double(random_.below(4));
        if (random_.one_in(3)) report.cpu_utilization = double(random_.below(100)) / 100;
        return report;
    }
    Time position_of(const Host& host) const {
        return host.primary ? now_ : now_ - host.lag * (options_.hosts_lag ? 20 : 1);
    }

    // The most frequent fault leaves it open whether the statement ran.
    policy::AttemptStatus random_fault() {
        using policy::AttemptStatus;
        constexpr AttemptStatus faults[] = {AttemptStatus::timeout,     AttemptStatus::error,
                                            AttemptStatus::rejected,    AttemptStatus::reset,
                                            AttemptStatus::timeout,     AttemptStatus::unreachable,
                                            AttemptStatus::miss,        AttemptStatus::cancelled,
                                            AttemptStatus::not_started, AttemptStatus::stale};
        return faults[random_.below(std::size(faults))];
    }

    void attempt_ends(std::uint64_t id, std::uint32_t number) {
        auto it = clients_.find(id);
        if (it == clients_.end() || it->second.attempts.at(number).over) return;
        Client& client = it->second;
        Client::Attempt& attempt = client.attempts[number];
        attempt.over = true;
        const Host& host = hosts_[attempt.host];
        bool unlucky = host.faulty_until_event > int(events_);
        policy::AttemptOutcome outcome;
        outcome.id = policy::RequestId{id};
        outcome.attempt = number;
        outcome.endpoint = policy::EndpointId{attempt.host};
        outcome.status = policy::AttemptStatus::ok;
        if (!client.response_started && (unlucky || random_.one_in(options_.fault_one_in)))
            outcome.status = random_fault();
        outcome.latency = now_ - attempt.sent;
        outcome.is_request_finished = client.answered || outcome.status == policy::AttemptStatus::ok;
        if (outcome.is_request_finished) client.answered = true;
        if (random_.one_in(3)) {
            outcome.role = host.primary ? policy::Role::primary : policy::Role::replica;
            outcome.position = position_of(host);
        }
        if (random_.one_in(4)) outcome.report = report_of(host);
        if (outcome.status != policy::AttemptStatus::ok && random_.one_in(6))
            outcome.evidence = random_.one_in(2) ? policy::Execution::ran : policy::Execution::may_have_run;
        if (options_.fault_one_in > 0 && random_.one_in(120))
            hosts_[attempt.host].faulty_until_event = int(events_) + 60;
        line("O %" PRIu64 " %u %u %d %lld %d", id, number, attempt.host, int(outcome.status),
             count(outcome.latency), int(outcome.is_request_finished));
        feed(outcome);
    }

    void response_starts(std::uint64_t id, std::uint32_t number) {
        auto it = clients_.find(id);
        if (it == clients_.end() || it->second.answered || it->second.attempts.at(number).over) return;
        if (number + 1 != it->second.attempts.size()) return;
        it->second.response_started = true;
        const Client::Attempt& attempt = it->second.attempts[number];
        policy::ResponseStarted started;
        started.id = policy::RequestId{id};
        started.attempt = number;
        started.endpoint = policy::EndpointId{attempt.host};
        started.latency = now_ - attempt.sent;
        line("B %" PRIu64 " %u", id, number);
        feed(started);
    }

    void health_check_ends(std::uint32_t index) {
        const Host& host = hosts_[index];
        policy::HealthCheckResult result;
        result.endpoint = policy::EndpointId{index};
        bool unlucky = host.faulty_until_event > int(events_) || random_.one_in(options_.fault_one_in);
        result.status = unlucky ? random_fault() : policy::AttemptStatus::ok;
        result.latency = host.latency / 2;
        if (result.status == policy::AttemptStatus::ok) result.report = report_of(host);
        line("P %u %d", index, int(result.status));
        feed(result);
    }

    void client_departs(std::uint64_t id) {
        auto it = clients_.find(id);
        if (it == clients_.end() || it->second.answered) return;
        it->second.answered = true;
        line("W %" PRIu64, id);
        feed(policy::RequestCancelled{policy::RequestId{id}});
    }

    void settings_change() {
        policy::SettingsChanged change;
        change.settings = options_.later;
        for (std::uint32_t i = 0; i < options_.later.classes.size(); ++i)
            change.previous_classes.push_back(i % 2 ? std::nullopt
                                                    : std::optional<policy::ClassId>(policy::ClassId{i}));
        line("S");
        feed(change);
        policy::SessionTokens tokens;
        for (std::uint64_t i = 0; i < 5; ++i)
            tokens.commits.push_back({policy::SessionKey{i}, now_ - Duration(std::int64_t(i) * 1000)});
        tokens.floor = now_ - 2s;
        line("K");
        feed(tokens);
    }

    void feed(const policy::Event& event) {
        policy::Actions actions;
        policy_.handle(now_, event, actions);
        inputs.push_back({now_, event});
        line("@ %lld", count(now_.time_since_epoch()));
        for (const policy::Action& action : actions)
            std::visit([this](const auto& a) { carry_out(a); }, action);
        if (++events_ % kEventsPerHash == 0 || events_ == options_.events) close_chunk();
    }

    void carry_out(const policy::SendAttempt& send) {
        std::uint64_t id = std::uint64_t(send.id);
        std::uint32_t index = std::uint32_t(send.endpoint);
        Client& client = clients_[id];
        std::uint32_t number = std::uint32_t(client.attempts.size());
        client.attempts.push_back({index, now_});
        line("> %" PRIu64 " %u %lld %lld %lld", id, index, send.timeout ? count(*send.timeout) : -1LL,
             send.required_position ? count(send.required_position->time_since_epoch()) : -1LL,
             send.start_timeout ? count(*send.start_timeout) : -1LL);
        const Host& host = hosts_[index];
        Duration took = host.latency + Duration(std::int64_t(random_.below(60000)));
        if (host.faulty_until_event > int(events_)) took += 400ms;
        if (random_.one_in(10)) schedule(took / 2, Kind::response_start, id, number);
        schedule(took, Kind::attempt_end, id, number);
    }
    void carry_out(const policy::CancelAttempt& cancel) {
        line("x %" PRIu64 " %u", std::uint64_t(cancel.id), cancel.attempt);
    }
    void carry_out(const policy::RejectRequest& refuse) {
        line("r %" PRIu64 " %lld %d", std::uint64_t(refuse.id),
             refuse.retry_after ? count(*refuse.retry_after) : -1LL, int(refuse.is_past_deadline));
        clients_[std::uint64_t(refuse.id)].answered = true;
    }
    void carry_out(const policy::FailRequest& fail) {
        line("f %" PRIu64 " %d", std::uint64_t(fail.id), int(fail.is_past_deadline));
        clients_[std::uint64_t(fail.id)].answered = true;
    }
    void carry_out(const policy::CheckHealth& probe) {
        std::uint32_t index = std::uint32_t(probe.endpoint);
        line("p %u", index);
        schedule(hosts_[index].latency / 2, Kind::health_check_end, index);
    }
    void carry_out(const policy::SetTimer& timer) {
        line("t %" PRIu64 " %lld", std::uint64_t(timer.id), count(timer.delay));
        schedule(timer.delay, Kind::timer, std::uint64_t(timer.id));
    }
    void carry_out(const policy::WatchEndpoints&) {
        line("l");
        schedule(300ms, Kind::list, 0);
    }
    void carry_out(const policy::LogMessage&) {}  // its text is no decision

    static long long count(Duration duration) { return static_cast<long long>(duration.count()); }

    template <typename... Arguments>
    void line(const char* format, Arguments... arguments) {
        char buffer[160];
        int length = std::snprintf(buffer, sizeof buffer, format, arguments...);
        chunk_.append(buffer, std::size_t(length));
        chunk_ += '\n';
    }
    // FNV-1a, 64 bits.
    void close_chunk() {
        std::uint64_t hash = 0xcbf29ce484222325;
        for (unsigned char byte : chunk_) hash = (hash ^ byte) * 0x100000001b3;
        hashes.push_back(hash);
        text += chunk_;
        chunk_.clear();
    }

    const RecordingOptions& options_;
    RecordingRandom random_;
    Time now_{100s};
    policy::RoutingPolicy policy_;
    std::vector<Host> hosts_;
    std::map<std::uint64_t, Client> clients_;
    std::priority_queue<Item> queue_;
    std::string chunk_;
    std::size_t events_ = 0;
    std::uint64_t next_order_ = 0, next_request_ = 1;
    bool settings_changed_ = false;
};

}  // namespace indigovane::testing
