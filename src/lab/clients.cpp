#include "lab/clients.hpp"

#include <algorithm>

#include "lab/world.hpp"

namespace indigovane::lab {

using namespace std::chrono_literals;
using policy::Consistency;
using routing::Answer;
using routing::ClientRequest;
using routing::FinalError;
using Defect = FleetOptions::Defect;

namespace {

/// Index of the one-second window of the summary that holds the time.
std::size_t window_of(Time time) {
    return std::size_t(time.time_since_epoch().count() / 1'000'000);
}

Auditor::Requirement requirement_of(Consistency consistency) {
    if (consistency == Consistency::session) return Auditor::Requirement::session;
    return consistency == Consistency::bounded ? Auditor::Requirement::bounded : Auditor::Requirement::none;
}

}  // namespace

const ClassOptions& Clients::options_of(const Request& request) const {
    return world_.options.classes[request.request_class];
}

void Clients::schedule_arrival() {
    double mean_us = 1e6 / std::max(1e-9, world_.options.rate * rate_factor_);
    Time next =
        world_.timeline.now() + Duration(std::int64_t(world_.traffic_stream.exponential(mean_us)) + 1);
    if (next >= World::at_seconds(world_.options.seconds)) return;
    world_.timeline.schedule_at(next, EventRank::arrival, [this] {
        send_new_request();
        schedule_arrival();
    });
}

std::size_t Clients::draw_class() {
    const auto& classes = world_.options.classes;
    double draw = world_.traffic_stream.uniform();
    double share_sum = 0;
    std::size_t chosen = 0;
    while (chosen + 1 < classes.size()) {
        share_sum += classes[chosen].share;
        if (share_sum > draw) break;
        ++chosen;
    }
    return chosen;
}

void Clients::send_new_request() {
    const FleetOptions& options = world_.options;
    FleetSummary& summary = world_.summary;
    Request request;
    request.request_class = draw_class();
    bool is_hot = hot_client_share_ > 0 && world_.traffic_stream.uniform() < hot_client_share_;
    request.session = 1 + world_.traffic_stream.below(options.sessions) + (is_hot ? options.sessions : 0);
    request.group = std::uint32_t(request.session % options.groups);
    request.first_sent = world_.timeline.now();
    request.retries_left = options.max_client_retries;

    double weight = options_of(request).priority_weight;
    ++summary.requests;
    summary.weight_offered += weight;
    std::size_t window = window_of(request.first_sent);
    if (summary.windows.size() <= window) summary.windows.resize(window + 1);
    summary.windows[window].weight_offered += weight;
    send(request);
}

void Clients::send(const Request& request) {
    const FleetOptions& options = world_.options;
    const ClassOptions& request_class = options_of(request);
    std::uint64_t number = ++last_attempt_;
    auto owned = std::make_unique<Attempt>();
    Attempt& attempt = *owned;
    attempt.clients = this;
    attempt.request = request;
    // A session stays with one pooler. A hot client has its own sessions, all of them at pooler 0.
    bool is_hot = request.session > options.sessions;
    attempt.pooler = std::uint32_t(is_hot ? 0 : request.session % world_.poolers.size());
    attempt.id = "r" + std::to_string(number);
    attempt.deadline = world_.timeline.now() + request_class.deadline;
    attempts_.emplace(number, std::move(owned));
    world_.auditor.request_sent(attempt.id, requirement_of(request_class.consistency), request.session);
    ClientRequest client_request = to_client_request(attempt);
    if (options.defect == Defect::lost_answer && !is_answer_lost_ && number == 500) {
        is_answer_lost_ = true;
        return;
    }
    attempt.core_id = world_.poolers[attempt.pooler]->core.accept(std::move(client_request), attempt);
}

ClientRequest Clients::to_client_request(const Attempt& attempt) const {
    const FleetOptions& options = world_.options;
    const ClassOptions& request_class = options_of(attempt.request);
    bool is_write = request_class.consistency == Consistency::write;
    bool has_session = is_write || request_class.consistency == Consistency::session;
    ClientRequest request;
    request.verb = is_write ? ClientRequest::Verb::write : ClientRequest::Verb::lookup;
    request.id = attempt.id;
    request.class_name = request_class.name;
    request.request_class = routing::ClassId(std::uint32_t(attempt.request.request_class));
    request.group = routing::GroupId(attempt.request.group);
    request.client_timeout = request_class.deadline;
    request.is_retry = attempt.request.retries_left < options.max_client_retries;
    if (!has_session) return request;
    request.session = attempt.request.session;
    Time commit = world_.auditor.last_commit(attempt.request.session);
    if (options.clients_carry_tokens && commit > Time{})
        request.after_unix_ms = world_.clock.to_unix(commit) / 1000 + 1;
    return request;
}

void Clients::on_served(Attempt& attempt, const Answer& answer) {
    attempt.is_finished = true;
    const ClassOptions& request_class = options_of(attempt.request);
    FleetSummary& summary = world_.summary;
    Time now = world_.timeline.now();
    Time position = answer.position_unix_ms ? world_.clock.from_unix(*answer.position_unix_ms * 1000) : now;
    bool has_stale_defect = world_.options.defect == Defect::stale_read;
    if (has_stale_defect && last_attempt_ % 100 == 0) position -= 10s;
    world_.auditor.request_answered(attempt.id, position, answer.tag == "primary" && !has_stale_defect, now);
    if (request_class.consistency == Consistency::write)
        world_.auditor.write_committed(attempt.request.session, position);

    ++summary.served;
    Duration latency = now - attempt.request.first_sent;
    summary.latency_us.push_back(std::uint32_t(latency.count()));
    bool is_late = latency > request_class.latency_objective;
    double weight = request_class.priority_weight;
    if (is_late) {
        weight *= request_class.late_share;
        ++summary.late;
    }
    summary.weight_served += weight;
    std::size_t window = window_of(attempt.request.first_sent);
    if (window < summary.windows.size()) summary.windows[window].weight_served += weight;
}

void Clients::on_error(Attempt& attempt, const FinalError& error) {
    attempt.is_finished = true;
    world_.auditor.request_ended_with_error(attempt.id, world_.timeline.now());
    bool is_rejected = error.kind == FinalError::Kind::rejected;
    if (attempt.request.retries_left > 0 && is_rejected) {
        // The client retries at once and ignores Retry-After.
        Request retry = attempt.request;
        --retry.retries_left;
        world_.timeline.schedule_after(world_.options.one_way_delay * 2, EventRank::arrival,
                                       [this, retry] { send(retry); });
        return;
    }
    ++(is_rejected ? world_.summary.rejected : world_.summary.failed);
}

void Clients::disconnect_from(std::uint32_t pooler) {
    for (auto& [number, attempt] : attempts_) {
        if (attempt->is_finished || attempt->pooler != pooler) continue;
        attempt->is_finished = true;
        world_.poolers[pooler]->core.withdraw(attempt->core_id,
                                              routing::RequestAdmission::Departure::client_left);
        world_.auditor.client_left(attempt->id);
        ++world_.summary.failed;
    }
}

void Clients::forget_old_attempts() {
    std::erase_if(attempts_, [&](const auto& entry) {
        return entry.second->is_finished && entry.second->deadline + 1s < world_.timeline.now();
    });
}

}  // namespace indigovane::lab
