#include "simulator/codec.hpp"

#include <cmath>
#include <utility>

#include "simulator/field_names.hpp"

namespace indigovane::simulator {

using namespace policy;
namespace {

/// Limit on the number of request classes in the settings.
constexpr std::uint64_t kMaxClasses = 10000;

// The position-and-role field holds 4 x position + role. The position is always in whole milliseconds,
// whatever unit the protocol uses elsewhere; 0 means that there is no position.
constexpr std::uint64_t kRoleRange = 4;
constexpr std::uint64_t kPrimaryRole = 1;
constexpr std::uint64_t kReplicaRole = 2;
constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr double kMicrosPerSecond = 1e6;

/// Returns a field's value converted by `read`, or std::nullopt if the field is absent.
template <typename Read>
auto optional(const Line& line, std::string_view field, Read read) -> std::optional<decltype(read({}))> {
    if (auto text = line.find(field)) return read(*text);
    return std::nullopt;
}

/// Returns std::nullopt if the field is absent or its value is unknown.
template <typename Enum, std::size_t Count>
std::optional<Enum> named_value(const Line& line, std::string_view field,
                                const ValueNames<Enum, Count>& names) {
    if (auto text = line.find(field)) return value_of(names, *text);
    return std::nullopt;
}

std::optional<Duration> duration(const Line& line, std::string_view field) {
    return optional(line, field, [](std::string_view text) { return Duration(to_micros(text)); });
}
std::optional<double> number(const Line& line, std::string_view field) {
    return optional(line, field, to_number);
}
std::optional<bool> flag(const Line& line, std::string_view field) {
    return optional(line, field, to_flag);
}
std::optional<std::uint32_t> count32(const Line& line, std::string_view field) {
    return optional(line, field,
                    [](std::string_view text) { return static_cast<std::uint32_t>(to_count(text)); });
}
/// Returns std::nullopt for zero, which means "none" in the protocol.
std::optional<Duration> nonzero_duration(const Line& line, std::string_view field) {
    auto value = duration(line, field);
    return value && value->count() != 0 ? value : std::nullopt;
}

std::vector<std::string_view> split(std::string_view text, char separator) {
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        std::size_t end = text.find(separator);
        parts.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return parts;
}

AttemptStatus read_status(const Line& line) {
    std::string_view text = line.require(fields::kStatus);
    if (auto status = value_of(kAttemptStatusNames, text)) return *status;
    throw Malformed("unknown attempt status '" + std::string(text) + "'");
}

/// Reads name:value pairs separated by commas. Unknown names are ignored.
LoadReport read_load_report(const Line& line, const PositionOrigin& origin) {
    LoadReport report;
    auto text = line.find(fields::kLoadReport);
    if (!text || *text == "-") return report;
    for (std::string_view part : split(*text, ',')) {
        std::size_t colon = part.find(':');
        if (colon == std::string_view::npos)
            throw Malformed("'" + std::string(part) + "' is not a name:value pair");
        std::string_view name = part.substr(0, colon);
        double value = to_number(part.substr(colon + 1));
        if (name == fields::kReportPosition)
            report.position =
                Time(Duration(origin.micros + std::int64_t(std::floor(value * kMicrosPerSecond))));
        if (name == fields::kReportPrimary) report.primary = value == 1;
        if (name == fields::kReportInFlight) report.in_flight = value;
        if (name == fields::kReportQueued) report.queued = value;
        if (name == fields::kReportCpuUtilization) report.cpu_utilization = value;
    }
    return report;
}

ClassSettings read_class_settings(const Line& line, std::uint64_t class_number) {
    using namespace setting_names;
    std::string prefix = std::string(kClassPrefix) + std::to_string(class_number) + ".";
    auto field = [&](std::string_view name) { return prefix + std::string(name); };
    ClassSettings settings;
    settings.idempotency = named_value(line, field(kIdempotency), kIdempotencyNames);
    settings.deduplication_scope = named_value(line, field(kDeduplicationScope), kDeduplicationScopeNames);
    settings.deduplication_window = duration(line, field(kDeduplicationWindow));
    settings.latency_objective = duration(line, field(kLatencyObjective));
    settings.deadline = duration(line, field(kDeadline));
    settings.priority_weight = number(line, field(kPriorityWeight));
    settings.late_share = number(line, field(kLateShare));
    return settings;
}

std::vector<ClassSettings> read_classes(const Line& line) {
    auto consistencies = split(line.find(setting_names::kConsistencies).value_or(""), ',');
    auto bounds = split(line.find(setting_names::kStalenessBounds).value_or(""), ',');
    std::uint64_t count = to_count(line.find(setting_names::kClassCount).value_or("0"));
    if (count > kMaxClasses) throw Malformed("more than 10000 classes");
    std::vector<ClassSettings> classes;
    for (std::uint64_t i = 0; i < count; ++i) {
        ClassSettings settings = read_class_settings(line, i);
        if (i < consistencies.size()) settings.consistency = value_of(kConsistencyNames, consistencies[i]);
        if (i < bounds.size()) settings.staleness_bound = Duration(to_micros(bounds[i]));
        classes.push_back(settings);
    }
    return classes;
}

/// Formats actions. Each line holds the message name, the instance and the fields of the action.
class ActionWriter {
  public:
    ActionWriter(std::uint64_t instance, const EndpointNames& names) : instance_(instance), names_(names) {}

    std::string operator()(const SendAttempt& send) const {
        std::string text = message(messages::kSendAttempt) + field(fields::kRequest, send.id) +
                           field(fields::kEndpoint, names_.name(send.endpoint));
        return send.timeout ? text + field(fields::kAttemptTimeout, *send.timeout) : text;
    }
    std::string operator()(const CancelAttempt& cancel) const {
        return message(messages::kCancelAttempt) + field(fields::kRequest, cancel.id) +
               field(fields::kAttempt, std::to_string(cancel.attempt));
    }
    std::string operator()(const RejectRequest& reject) const {
        std::string text = message(messages::kRejectRequest) + field(fields::kRequest, reject.id);
        return reject.retry_after ? text + field(fields::kRetryAfter, *reject.retry_after) : text;
    }
    std::string operator()(const FailRequest& fail) const {
        return message(messages::kFailRequest) + field(fields::kRequest, fail.id);
    }
    std::string operator()(const CheckHealth& check) const {
        return message(messages::kCheckHealth) + field(fields::kEndpoint, names_.name(check.endpoint));
    }
    std::string operator()(const SetTimer& timer) const {
        return message(messages::kSetTimer) + field(fields::kDelay, timer.delay) +
               field(fields::kTimer, std::to_string(std::uint64_t(timer.id)));
    }
    std::string operator()(const WatchEndpoints&) const {
        return message(messages::kWatchEndpoints) + field(fields::kWatch, "1");
    }
    std::string operator()(const LogMessage& log) const {
        return message(messages::kLogMessage) + field(fields::kText, log.text);
    }

  private:
    std::string message(std::string_view name) const {
        return std::string(name) + field(fields::kInstance, std::to_string(instance_));
    }
    static std::string field(std::string_view name, std::string_view value) {
        return " " + std::string(name) + "=" + std::string(value);
    }
    static std::string field(std::string_view name, RequestId id) {
        return field(name, std::to_string(std::uint64_t(id)));
    }
    static std::string field(std::string_view name, Duration value) {
        return field(name, from_micros(value.count()));
    }

    std::uint64_t instance_;
    const EndpointNames& names_;
};

}  // namespace

EndpointId EndpointNames::id_of(std::string_view name) {
    auto [it, is_new] = ids_.try_emplace(std::string(name), EndpointId(names_.size()));
    if (is_new) names_.emplace_back(name);
    return it->second;
}

PositionOrigin read_position_origin(const Line& line) {
    PositionOrigin origin;
    if (auto text = line.find(setting_names::kPositionOrigin)) origin.micros = to_micros(*text);
    return origin;
}

Settings read_settings(const Line& line) {
    using namespace setting_names;
    Settings settings;
    settings.fleet_size = count32(line, kFleetSize);
    settings.endpoint_list_mode = named_value(line, kEndpointListMode, kEndpointListModeNames);
    if (auto not_binding = flag(line, kRemovalDoesNotBind)) settings.removal_binds = !*not_binding;
    settings.may_check_health = flag(line, kHealthChecks);
    settings.may_cancel_attempts = flag(line, kCancels);
    settings.hedging = flag(line, kHedging);
    settings.may_send_retry_after = flag(line, kRetryAfter);
    settings.max_retry_after = duration(line, kMaxRetryAfter);
    settings.max_attempts = count32(line, kAttempts);
    settings.token_source = named_value(line, kTokenSource, kTokenSourceNames);
    settings.staleness_check = named_value(line, kStalenessCheck, kStalenessCheckNames);
    settings.slow_start_share = number(line, kSlowStartShare);
    settings.slow_start_ramp = duration(line, kSlowStartRamp);
    settings.overload_multiple = number(line, kOverloadMultiple);
    settings.overload_window = duration(line, kOverloadWindow);
    settings.health_check_price = number(line, kHealthCheckPrice);
    settings.classes = read_classes(line);
    return settings;
}

EndpointEntry read_endpoint_entry(const Line& line, EndpointNames& names) {
    EndpointEntry entry;
    entry.endpoint = names.id_of(line.require(fields::kEndpoint));
    entry.group = GroupId(count32(line, fields::kGroup).value_or(0));
    entry.zone = ZoneId(count32(line, fields::kZone).value_or(0));
    std::string_view state_text = line.require(fields::kEndpointState);
    std::optional<EndpointState> state = value_of(kEndpointStateNames, state_text);
    if (!state) throw Malformed("unknown endpoint state '" + std::string(state_text) + "'");
    entry.state = *state;
    entry.primary = number(line, fields::kIsPrimary).value_or(0) == 1;
    if (auto started = nonzero_duration(line, fields::kStarted)) entry.started = Time(*started);
    return entry;
}

EndpointList read_list_kind(const Line& line) {
    std::uint64_t kind = to_count(line.require(fields::kListKind));
    if (kind >= kEndpointListKinds.size()) throw Malformed("unknown endpoint list kind");
    return EndpointList{kEndpointListKinds[kind], {}};
}

RequestId read_request_id(const Line& line) {
    return RequestId(to_count(line.require(fields::kRequest)));
}

RequestArrival read_request(const Line& line) {
    RequestArrival arrival;
    arrival.id = read_request_id(line);
    arrival.request_class = ClassId(to_count(line.require(fields::kRequestClass)));
    arrival.group = GroupId(count32(line, fields::kRequestGroup).value_or(0));
    arrival.client_timeout = Duration(to_micros(line.require(fields::kClientTimeout)));
    arrival.session =
        optional(line, fields::kSession, [](std::string_view text) { return SessionKey(to_hex(text)); });
    arrival.since_last_write = nonzero_duration(line, fields::kSinceLastWrite);
    arrival.is_retry = flag(line, fields::kMarkedAsRetry).value_or(false);
    return arrival;
}

AttemptOutcome read_outcome(const Line& line, const PositionOrigin& origin, EndpointNames& names) {
    AttemptOutcome outcome;
    outcome.id = read_request_id(line);
    outcome.attempt = static_cast<std::uint32_t>(to_count(line.require(fields::kAttempt)));
    outcome.endpoint = names.id_of(line.require(fields::kEndpoint));
    outcome.status = read_status(line);
    outcome.latency = duration(line, fields::kLatency).value_or(Duration::zero());
    outcome.is_request_finished = flag(line, fields::kFinished).value_or(false);
    if (auto text = line.find(fields::kPositionAndRole)) {
        std::uint64_t position_and_role = to_count(*text);
        std::uint64_t role = position_and_role % kRoleRange;
        if (role == kPrimaryRole) outcome.role = Role::primary;
        if (role == kReplicaRole) outcome.role = Role::replica;
        auto position = std::int64_t(position_and_role / kRoleRange);
        if (position > 0) outcome.position = Time(Duration(origin.micros + position * kMicrosPerMilli));
    }
    outcome.report = read_load_report(line, origin);
    return outcome;
}

HealthCheckResult read_health_check_result(const Line& line, const PositionOrigin& origin,
                                           EndpointNames& names) {
    HealthCheckResult result;
    result.endpoint = names.id_of(line.require(fields::kEndpoint));
    result.status = read_status(line);
    result.latency = duration(line, fields::kLatency).value_or(Duration::zero());
    result.report = read_load_report(line, origin);
    return result;
}

TimerId read_timer(const Line& line) {
    return TimerId(to_count(line.require(fields::kTimer)));
}

std::string write_action(std::uint64_t instance, const Action& action, const EndpointNames& names) {
    return std::visit(ActionWriter(instance, names), action);
}

}  // namespace indigovane::simulator
