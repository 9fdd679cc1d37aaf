#include "policy/engine.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <variant>

#include "policy/admission.hpp"
#include "policy/engine_timers.hpp"
#include "policy/health_check_schedule.hpp"

namespace indigovane::policy {
namespace {

constexpr std::uint32_t kDefaultAttempts = 2;
constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

Engine::Engine(const Settings& settings, std::uint64_t seed, Time now) : random_(seed), now_(now) {
    apply_settings(settings);
}

void Engine::apply_settings(const Settings& settings) {
    settings_ = settings;
    classes_.clear();
    for (const ClassSettings& class_settings : settings_.classes)
        classes_.push_back(std::make_shared<RequestClass>(make_request_class(class_settings)));
    health_check_interval_ = policy::health_check_interval(classes_);
}

void Engine::handle(Time now, const Event& event, Actions& out) {
    now_ = now;
    actions_ = &out;
    start_list_polling();
    std::visit([this](const auto& typed_event) { on_event(typed_event); }, event);
}

/// The first event starts the poll of the endpoint list, if it has to be polled.
void Engine::start_list_polling() {
    if (has_started_) return;
    has_started_ = true;
    if (settings_.endpoint_list_mode.value_or(EndpointListMode::pushed) == EndpointListMode::polled)
        append_action(SetTimer{kEndpointListTimer, EndpointListPoll::first_delay(fleet_size(), random_)});
}

double Engine::fleet_size() const {
    return std::max<double>(1, settings_.fleet_size.value_or(1));
}

void Engine::log(std::string text) {
    if (logged_at_ && now_ - *logged_at_ < kLogInterval) return;
    append_action(LogMessage{std::move(text)});
    logged_at_ = now_;
}

void Engine::on_event(const EndpointList& list) {
    if (list.kind == EndpointListKind::failed) {
        append_action(SetTimer{kEndpointListTimer, list_poll_.retry_delay(random_)});
        log("endpoint list request failed; keeping the last list");
        return;
    }
    list_poll_.record_list(list.kind);
    endpoints_.apply(list, settings_.removal_binds.value_or(true));
    for (auto& [id, group] : endpoints_.groups()) dispatch_queued(group);
    forget_endpoints();
}

void Engine::forget_endpoints() {
    endpoints_.forget_endpoints(now_,
                                [this](const Endpoint& endpoint) { return requests_.refers_to(endpoint); });
    std::erase_if(maintained_groups_, [](const ReplicaGroup* group) { return group->is_forgettable(); });
    endpoints_.forget_groups();
}

void Engine::on_event(const RequestArrival& arrival) {
    auto class_index = std::size_t(arrival.request_class);
    bool class_is_known = class_index < classes_.size();
    ReplicaGroup* group = class_is_known ? endpoints_.find_group(arrival.group) : nullptr;
    if (!group) {
        // No list has named an endpoint of the group, or the class is unknown. The request never ran, so that
        // a rejection is harmless.
        append_action(
            RejectRequest{arrival.id, class_is_known ? retry_after(settings_) : std::nullopt, false});
        return;
    }
    const std::shared_ptr<RequestClass>& request_class = classes_[class_index];
    clients_mark_retries_ = clients_mark_retries_ || arrival.is_retry;
    Duration elapsed = request_class->client_timeouts.elapsed_before(
        {arrival.client_timeout, request_class->deadline, arrival.is_retry, clients_mark_retries_});
    Request& request =
        requests_.insert(Request(arrival, request_class, settings_.max_attempts.value_or(kDefaultAttempts),
                                 elapsed, uniform(random_), now_));
    health_check_budget_.record_request(health_check_cost(settings_));
    record_use(*group, request);
    if (!should_admit(request, now_)) return send_final_answer(request);
    enqueue(*group, request);
    dispatch_queued(*group);
}

/// The endpoint has done its work. The transfer of the answer is left, and its speed depends on the client,
/// so that the attempt no longer counts as in flight at the endpoint.
void Engine::on_event(const ResponseStarted& started) {
    Endpoint* endpoint = endpoints_.find(started.endpoint);
    Request* request = requests_.find(started.id);
    if (!endpoint || !request || !request->start_response()) return;
    endpoint->in_flight = std::max(0, endpoint->in_flight - 1);
    AttemptOutcome outcome;
    outcome.id = started.id;
    outcome.endpoint = started.endpoint;
    outcome.status = AttemptStatus::ok;
    outcome.latency = started.latency;
    observe_health(*endpoint, outcome, request->request_class.get());
    dispatch_queued(endpoints_.group_of(*endpoint));
}

void Engine::on_event(const AttemptOutcome& outcome) {
    Endpoint* endpoint = endpoints_.find(outcome.endpoint);
    if (!endpoint) return;
    Request* request = requests_.find(outcome.id);
    bool has_response_started_before = request && request->has_response_started();
    RequestClass* request_class = request ? request->request_class.get() : nullptr;
    if (!has_response_started_before) endpoint->in_flight = std::max(0, endpoint->in_flight - 1);
    observe_answer(*endpoint, outcome, request_class);
    bool has_failed = outcome.status == AttemptStatus::error || outcome.status == AttemptStatus::reset;
    if (!has_response_started_before || has_failed) observe_health(*endpoint, outcome, request_class);
    ReplicaGroup& group = endpoints_.group_of(*endpoint);
    if (request) complete_attempt(group, *request, outcome);
    dispatch_queued(group);
}

void Engine::on_event(const RequestCancelled& cancelled) {
    Request* request = requests_.find(cancelled.id);
    if (!request) return;
    cancel_attempts(*request);
    finish(*request);
}

void Engine::on_event(const HealthCheckResult& result) {
    Endpoint* endpoint = endpoints_.find(result.endpoint);
    if (!endpoint) return;
    bool is_unreachable = endpoint->health_check.record_result(result.status);
    bool is_ok = result.status == AttemptStatus::ok;
    if (is_ok) {
        endpoint->round_trip.record(result.latency);
        observe_report(*endpoint, result.report);
    }
    apply_ejection_change(*endpoint, endpoint->ejection.record_health_check(is_ok, is_unreachable, now_));
    dispatch_queued(endpoints_.group_of(*endpoint));
}

/// Gossip is no proof of the role: it only triggers a health check by this pooler.
void Engine::on_event(const PrimaryGossip& gossip) {
    Endpoint* endpoint = endpoints_.find(gossip.endpoint);
    if (endpoint && known_primary(endpoints_.group_of(*endpoint)) != endpoint)
        check_health(*endpoint, HealthCheckPurpose::scheduled);
}

void Engine::on_event(const SessionTokens& tokens) {
    for (const auto& [session, commit] : tokens.commits) session_tokens_.remember(session, commit, now_);
    session_tokens_.raise_floor(tokens.floor);
}

void Engine::on_event(const SettingsChanged& change) {
    auto classes_before = std::exchange(classes_, {});
    apply_settings(change.settings);
    for (std::size_t i = 0; i < std::min(classes_.size(), change.previous_classes.size()); ++i) {
        if (!change.previous_classes[i]) continue;
        auto before = std::size_t(*change.previous_classes[i]);
        if (before < classes_before.size())
            classes_[i]->usual_latency_ms = classes_before[before]->usual_latency_ms;
    }
    for (auto& [id, group] : endpoints_.groups()) dispatch_queued(group);
}

void Engine::on_event(const TimerExpired& expired) {
    if (expired.id == kMaintenanceTimer) {
        maintain_groups();
    } else if (expired.id == kEndpointListTimer) {
        list_poll_.record_request();
        append_action(WatchEndpoints{});
    } else if (Request* request = requests_.find(request_of(expired.id))) {
        if (request->review_at && *request->review_at > now_) return;
        request->review_at.reset();
        review(*request);
    }
}

}  // namespace indigovane::policy
