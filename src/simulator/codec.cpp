#include "simulator/codec.hpp"

#include <array>
#include <cmath>
#include <utility>

namespace indigovane::simulator {

using namespace policy;
namespace {

template <typename E, std::size_t N>
using Words = std::array<std::pair<std::string_view, E>, N>;

constexpr Words<AttemptStatus, 9> kStatuses{{{"OK", AttemptStatus::ok},
                                             {"INTERNAL", AttemptStatus::error},
                                             {"RESOURCE_EXHAUSTED", AttemptStatus::rejected},
                                             {"DEADLINE_EXCEEDED", AttemptStatus::timeout},
                                             {"UNAVAILABLE", AttemptStatus::unreachable},
                                             {"ABORTED", AttemptStatus::reset},
                                             {"CANCELLED", AttemptStatus::cancelled},
                                             {"TOO_LATE", AttemptStatus::not_started},
                                             {"NOT_FOUND", AttemptStatus::miss}}};
constexpr Words<Consistency, 5> kConsistencies{{{"update", Consistency::write},
                                                {"latest", Consistency::fresh},
                                                {"own_writes", Consistency::session},
                                                {"recent", Consistency::bounded},
                                                {"loose", Consistency::any}}};
constexpr Words<Idempotency, 3> kEffects{{{"retryable", Idempotency::idempotent},
                                          {"dedup", Idempotency::idempotency_key},
                                          {"fragile", Idempotency::not_idempotent}}};
constexpr Words<DeduplicationScope, 3> kScopes{{{"all", DeduplicationScope::all},
                                                {"zone", DeduplicationScope::zone},
                                                {"cell", DeduplicationScope::group}}};
constexpr Words<StalenessCheck, 3> kChecks{
    {{"silent", StalenessCheck::none}, {"reject", StalenessCheck::refuse}, {"hold", StalenessCheck::wait}}};
constexpr Words<TokenSource, 2> kTokens{
    {{"client", TokenSource::carried}, {"router", TokenSource::remembered}}};
constexpr Words<EndpointListMode, 2> kModes{
    {{"automatic", EndpointListMode::pushed}, {"subscribe", EndpointListMode::polled}}};

template <typename E, std::size_t N>
std::optional<E> lookup(const Words<E, N>& words, std::string_view text) {
    for (const auto& [word, value] : words)
        if (word == text) return value;
    return std::nullopt;
}

// A field as a T, or nothing where it is absent.
template <typename F>
auto optional(const Line& line, std::string_view field, F read) -> std::optional<decltype(read({}))> {
    if (auto text = line.find(field)) return read(*text);
    return std::nullopt;
}
template <typename E, std::size_t N>
std::optional<E> word(const Line& line, std::string_view field, const Words<E, N>& words) {
    if (auto text = line.find(field)) return lookup(words, *text);
    return std::nullopt;
}
std::optional<Duration> duration(const Line& line, std::string_view field) {
    return optional(line, field, [](std::string_view t) { return Duration(to_micros(t)); });
}
std::optional<double> number(const Line& line, std::string_view field) {
    return optional(line, field, to_number);
}
std::optional<bool> flag(const Line& line, std::string_view field) {
    return optional(line, field, to_flag);
}

std::optional<std::uint32_t> small(const Line& line, std::string_view field) {
    return optional(line, field, [](std::string_view t) { return static_cast<std::uint32_t>(to_count(t)); });
}

std::vector<std::string_view> split(std::string_view text, char at) {
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        std::size_t end = text.find(at);
        parts.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return parts;
}

AttemptStatus read_status(const Line& line) {
    std::string_view text = line.need("rc");
    if (auto status = lookup(kStatuses, text)) return *status;
    throw Malformed("unknown outcome '" + std::string(text) + "'");
}

// name:value pairs set apart by commas; names that mean nothing here are skipped.
LoadReport read_report(const Line& line, const Scale& scale) {
    LoadReport report;
    auto text = line.find("serverStats");
    if (!text || *text == "-") return report;
    for (std::string_view part : split(*text, ',')) {
        std::size_t colon = part.find(':');
        if (colon == std::string_view::npos) throw Malformed("'" + std::string(part) + "' is not name:value");
        std::string_view name = part.substr(0, colon);
        double value = to_number(part.substr(colon + 1));
        if (name == "x0")
            report.position = Time(Duration(scale.base_micros + std::int64_t(std::floor(value * 1e6))));
        if (name == "x1") report.primary = value == 1;
        if (name == "concurrent") report.in_flight = value;
        if (name == "depth") report.queued = value;
        if (name == "load_share") report.cpu_utilization = value;
    }
    return report;
}

std::string id_text(RequestId id) {
    return std::to_string(std::uint64_t(id));
}

}  // namespace

EndpointId Names::number(std::string_view name) {
    auto [it, fresh] = numbers_.try_emplace(std::string(name), EndpointId(names_.size()));
    if (fresh) names_.emplace_back(name);
    return it->second;
}

Scale read_scale(const Line& line) {
    Scale scale;
    if (auto text = line.find("familyInfo.baseTimeMs")) scale.base_micros = to_micros(*text);
    return scale;
}

Settings read_settings(const Line& line) {
    Settings s;
    s.fleet_size = small(line, "fleetSize");
    s.endpoint_list_mode = word(line, "registryMode", kModes);
    if (auto not_binding = flag(line, "safety.removalNotBinding")) s.removal_binds = !*not_binding;
    s.probes = flag(line, "allowed.probing");
    s.cancels = flag(line, "allowed.cancel");
    s.hedging = flag(line, "allowed.secondCopies");
    s.retry_after = flag(line, "allowed.retryAfter");
    s.max_retry_after = duration(line, "allowed.maxRetryAfterMs");
    s.attempts = small(line, "allowed.tryLimit");
    s.tokens = word(line, "familyInfo.sessionMarks", kTokens);
    s.staleness_check = word(line, "familyInfo.serverChecks", kChecks);
    s.slow_start_share = number(line, "safety.coldFrom");
    s.ramp = duration(line, "safety.rampTimeMs");
    s.overload_multiple = number(line, "safety.fallMultiple");
    s.overload_window = duration(line, "safety.fallMs");
    s.health_check_price = number(line, "tariffs.probe");
    auto needs = split(line.find("familyInfo.consistency").value_or(""), ',');
    auto bounds = split(line.find("familyInfo.oldestDataMs").value_or(""), ',');
    std::uint64_t count = to_count(line.find("classes.count").value_or("0"));
    if (count > 10000) throw Malformed("too many classes");
    for (std::uint64_t i = 0; i < count; ++i) {
        std::string at = "classes." + std::to_string(i) + ".";
        ClassSettings c;
        if (i < needs.size()) c.consistency = lookup(kConsistencies, needs[i]);
        if (i < bounds.size()) c.bound = Duration(to_micros(bounds[i]));
        c.idempotency = word(line, at + "effect", kEffects);
        c.deduplication_scope = word(line, at + "group", kScopes);
        c.deduplication_window = duration(line, at + "repeatWindowMs");
        c.latency_objective = duration(line, at + "sloMs");
        c.deadline = duration(line, at + "hardLimitMs");
        c.priority_weight = number(line, at + "worth");
        c.late_share = number(line, at + "lateShare");
        s.classes.push_back(c);
    }
    return s;
}

EndpointEntry read_entry(const Line& line, Names& names) {
    EndpointEntry e;
    e.endpoint = names.number(line.need("database"));
    e.group = GroupId(small(line, "set").value_or(0));
    e.zone = ZoneId(small(line, "rackZone").value_or(0));
    std::string_view state = line.need("health");
    if (state == "1")
        e.state = EndpointState::ready;
    else if (state == "2")
        e.state = EndpointState::draining;
    else if (state == "0")
        e.state = EndpointState::gone;
    else
        throw Malformed("unknown health '" + std::string(state) + "'");
    e.primary = number(line, "leads").value_or(0) == 1;
    if (auto started = duration(line, "cameUpMs"); started && started->count() != 0)
        e.started = Time(*started);
    return e;
}

EndpointList read_list_kind(const Line& line) {
    static constexpr std::array kinds{EndpointListKind::changes, EndpointListKind::full,
                                      EndpointListKind::cached, EndpointListKind::failed};
    std::uint64_t mode = to_count(line.need("mode"));
    if (mode >= kinds.size()) throw Malformed("unknown list mode");
    return EndpointList{kinds[mode], {}};
}

RequestId read_request_id(const Line& line) {
    return RequestId(to_count(line.need("txn")));
}

RequestArrival read_request(const Line& line) {
    RequestArrival r;
    r.id = read_request_id(line);
    r.request_class = ClassId(to_count(line.need("priority")));
    r.group = GroupId(small(line, "shard").value_or(0));
    r.client_timeout = Duration(to_micros(line.need("budgetMs")));
    r.session = optional(line, "user", [](std::string_view t) { return SessionKey(to_hex(t)); });
    if (auto age = duration(line, "lastWriteMs"); age && age->count() != 0) r.since_last_write = age;
    r.repeat = flag(line, "resent").value_or(false);
    return r;
}

AttemptOutcome read_outcome(const Line& line, const Scale& scale, Names& names) {
    AttemptOutcome o;
    o.id = read_request_id(line);
    o.attempt = static_cast<std::uint32_t>(to_count(line.need("hop")));
    o.endpoint = names.number(line.need("database"));
    o.status = read_status(line);
    o.latency = duration(line, "lagMs").value_or(Duration::zero());
    o.finished = flag(line, "last").value_or(false);
    if (auto text = line.find("progress")) {
        // 4 x position + role; the position in whole milliseconds whatever the wire's unit, 0: none given.
        std::uint64_t note = to_count(*text);
        if (note % 4 == 1) o.role = Role::primary;
        if (note % 4 == 2) o.role = Role::replica;
        if (note / 4 > 0) o.position = Time(Duration(scale.base_micros + std::int64_t(note / 4) * 1000));
    }
    o.report = read_report(line, scale);
    return o;
}

HealthCheckResult read_probe_result(const Line& line, const Scale& scale, Names& names) {
    HealthCheckResult p;
    p.endpoint = names.number(line.need("database"));
    p.status = read_status(line);
    p.latency = duration(line, "lagMs").value_or(Duration::zero());
    p.report = read_report(line, scale);
    return p;
}

TimerId read_timer(const Line& line) {
    return TimerId(to_count(line.need("name")));
}

std::string write_action(std::uint64_t instance, const Action& action, const Names& names) {
    std::string at = " proxy=" + std::to_string(instance);
    struct Writer {
        const std::string& at;
        const Names& names;
        std::string operator()(const SendAttempt& a) const {
            std::string text =
                "HAND_OFF" + at + " txn=" + id_text(a.id) + " database=" + names.name(a.endpoint);
            return a.timeout ? text + " capMs=" + from_micros(a.timeout->count()) : text;
        }
        std::string operator()(const CancelAttempt& a) const {
            return "STOP_ATTEMPT" + at + " txn=" + id_text(a.id) + " hop=" + std::to_string(a.attempt);
        }
        std::string operator()(const RejectRequest& a) const {
            std::string text = "BUSY" + at + " txn=" + id_text(a.id);
            return a.retry_after ? text + " retryInMs=" + from_micros(a.retry_after->count()) : text;
        }
        std::string operator()(const FailRequest& a) const {
            return "REPORT_FAILURE" + at + " txn=" + id_text(a.id);
        }
        std::string operator()(const CheckHealth& a) const {
            return "POLL" + at + " database=" + names.name(a.endpoint);
        }
        std::string operator()(const SetTimer& a) const {
            return "SET_ALARM" + at + " sleepForMs=" + from_micros(a.delay.count()) +
                   " name=" + std::to_string(std::uint64_t(a.id));
        }
        std::string operator()(const WatchEndpoints&) const { return "OBSERVE" + at + " enable=1"; }
        std::string operator()(const LogMessage& a) const { return "NOTE_DOWN" + at + " noteText=" + a.text; }
    };
    return std::visit(Writer{at, names}, action);
}

}  // namespace indigovane::simulator
