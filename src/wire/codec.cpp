#include "wire/codec.hpp"

#include <array>
#include <cmath>
#include <utility>

namespace starlingpond::wire {
namespace {

template <typename E, std::size_t N>
using Words = std::array<std::pair<std::string_view, E>, N>;

constexpr Words<Status, 9> kStatuses{{{"OK", Status::ok},
                                      {"INTERNAL", Status::error},
                                      {"RESOURCE_EXHAUSTED", Status::full},
                                      {"DEADLINE_EXCEEDED", Status::timeout},
                                      {"UNAVAILABLE", Status::unreachable},
                                      {"ABORTED", Status::reset},
                                      {"CANCELLED", Status::cancelled},
                                      {"TOO_LATE", Status::moot},
                                      {"NOT_FOUND", Status::miss}}};
constexpr Words<Consistency, 5> kConsistencies{{{"update", Consistency::write},
                                                {"latest", Consistency::fresh},
                                                {"own_writes", Consistency::session},
                                                {"recent", Consistency::bounded},
                                                {"loose", Consistency::any}}};
constexpr Words<Effect, 3> kEffects{
    {{"retryable", Effect::safe}, {"dedup", Effect::keyed}, {"fragile", Effect::unsafe}}};
constexpr Words<RepeatScope, 3> kScopes{
    {{"all", RepeatScope::all}, {"zone", RepeatScope::zone}, {"cell", RepeatScope::group}}};
constexpr Words<ServerCheck, 3> kChecks{
    {{"silent", ServerCheck::none}, {"reject", ServerCheck::refuse}, {"hold", ServerCheck::wait}}};
constexpr Words<TokenSource, 2> kTokens{
    {{"client", TokenSource::carried}, {"router", TokenSource::remembered}}};
constexpr Words<ListMode, 2> kModes{{{"automatic", ListMode::pushed}, {"subscribe", ListMode::asked}}};

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

Status read_status(const Line& line) {
    std::string_view text = line.need("rc");
    if (auto status = lookup(kStatuses, text)) return *status;
    throw Malformed("unknown outcome '" + std::string(text) + "'");
}

// name:value pairs set apart by commas; names that mean nothing here are skipped.
Report read_report(const Line& line, const Scale& scale) {
    Report report;
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
        if (name == "concurrent") report.held = value;
        if (name == "depth") report.waiting = value;
        if (name == "load_share") report.busy = value;
    }
    return report;
}

std::string id_text(RequestId id) {
    return std::to_string(std::uint64_t(id));
}

}  // namespace

MemberId Names::number(std::string_view name) {
    auto [it, fresh] = numbers_.try_emplace(std::string(name), MemberId(names_.size()));
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
    s.list_mode = word(line, "registryMode", kModes);
    if (auto not_binding = flag(line, "safety.removalNotBinding")) s.removal_binds = !*not_binding;
    s.probes = flag(line, "allowed.probing");
    s.cancels = flag(line, "allowed.cancel");
    s.second_copies = flag(line, "allowed.secondCopies");
    s.retry_after = flag(line, "allowed.retryAfter");
    s.longest_retry_after = duration(line, "allowed.maxRetryAfterMs");
    s.attempts = small(line, "allowed.tryLimit");
    s.tokens = word(line, "familyInfo.sessionMarks", kTokens);
    s.server_check = word(line, "familyInfo.serverChecks", kChecks);
    s.cold_from = number(line, "safety.coldFrom");
    s.ramp = duration(line, "safety.rampTimeMs");
    s.fall_multiple = number(line, "safety.fallMultiple");
    s.fall_window = duration(line, "safety.fallMs");
    s.probe_price = number(line, "tariffs.probe");
    auto needs = split(line.find("familyInfo.consistency").value_or(""), ',');
    auto bounds = split(line.find("familyInfo.oldestDataMs").value_or(""), ',');
    std::uint64_t count = to_count(line.find("classes.count").value_or("0"));
    if (count > 10000) throw Malformed("too many classes");
    for (std::uint64_t i = 0; i < count; ++i) {
        std::string at = "classes." + std::to_string(i) + ".";
        ClassSettings c;
        if (i < needs.size()) c.consistency = lookup(kConsistencies, needs[i]);
        if (i < bounds.size()) c.bound = Duration(to_micros(bounds[i]));
        c.effect = word(line, at + "effect", kEffects);
        c.repeat_scope = word(line, at + "group", kScopes);
        c.repeat_window = duration(line, at + "repeatWindowMs");
        c.aim = duration(line, at + "sloMs");
        c.deadline = duration(line, at + "hardLimitMs");
        c.worth = number(line, at + "worth");
        c.late_share = number(line, at + "lateShare");
        s.classes.push_back(c);
    }
    return s;
}

ListEntry read_entry(const Line& line, Names& names) {
    ListEntry e;
    e.member = names.number(line.need("database"));
    e.group = GroupId(small(line, "set").value_or(0));
    e.zone = ZoneId(small(line, "rackZone").value_or(0));
    std::string_view state = line.need("health");
    if (state == "1")
        e.state = MemberState::ready;
    else if (state == "2")
        e.state = MemberState::draining;
    else if (state == "0")
        e.state = MemberState::gone;
    else
        throw Malformed("unknown health '" + std::string(state) + "'");
    e.primary = number(line, "leads").value_or(0) == 1;
    if (auto started = duration(line, "cameUpMs"); started && started->count() != 0)
        e.started = Time(*started);
    return e;
}

List read_list_kind(const Line& line) {
    static constexpr std::array kinds{ListKind::changes, ListKind::full, ListKind::cached, ListKind::failed};
    std::uint64_t mode = to_count(line.need("mode"));
    if (mode >= kinds.size()) throw Malformed("unknown list mode");
    return List{kinds[mode], {}};
}

RequestId read_request_id(const Line& line) {
    return RequestId(to_count(line.need("txn")));
}

Request read_request(const Line& line) {
    Request r;
    r.id = read_request_id(line);
    r.cls = ClassId(to_count(line.need("priority")));
    r.group = GroupId(small(line, "shard").value_or(0));
    r.patience = Duration(to_micros(line.need("budgetMs")));
    r.session = optional(line, "user", [](std::string_view t) { return SessionKey(to_hex(t)); });
    if (auto age = duration(line, "lastWriteMs"); age && age->count() != 0) r.since_last_write = age;
    r.repeat = flag(line, "resent").value_or(false);
    return r;
}

Outcome read_outcome(const Line& line, const Scale& scale, Names& names) {
    Outcome o;
    o.id = read_request_id(line);
    o.attempt = static_cast<std::uint32_t>(to_count(line.need("hop")));
    o.member = names.number(line.need("database"));
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

ProbeResult read_probe_result(const Line& line, const Scale& scale, Names& names) {
    ProbeResult p;
    p.member = names.number(line.need("database"));
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
        std::string operator()(const Send& a) const {
            std::string text =
                "HAND_OFF" + at + " txn=" + id_text(a.id) + " database=" + names.name(a.member);
            return a.timeout ? text + " capMs=" + from_micros(a.timeout->count()) : text;
        }
        std::string operator()(const Cancel& a) const {
            return "STOP_ATTEMPT" + at + " txn=" + id_text(a.id) + " hop=" + std::to_string(a.attempt);
        }
        std::string operator()(const Refuse& a) const {
            std::string text = "BUSY" + at + " txn=" + id_text(a.id);
            return a.retry_after ? text + " retryInMs=" + from_micros(a.retry_after->count()) : text;
        }
        std::string operator()(const Fail& a) const {
            return "REPORT_FAILURE" + at + " txn=" + id_text(a.id);
        }
        std::string operator()(const Probe& a) const {
            return "POLL" + at + " database=" + names.name(a.member);
        }
        std::string operator()(const SetTimer& a) const {
            return "SET_ALARM" + at + " sleepForMs=" + from_micros(a.delay.count()) +
                   " name=" + std::to_string(std::uint64_t(a.id));
        }
        std::string operator()(const FollowList&) const { return "OBSERVE" + at + " enable=1"; }
        std::string operator()(const Log& a) const { return "NOTE_DOWN" + at + " noteText=" + a.text; }
    };
    return std::visit(Writer{at, names}, action);
}

}  // namespace starlingpond::wire
