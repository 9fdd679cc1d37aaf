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

std::size_t window_of(Time time) {
    return std::size_t(time.time_since_epoch().count() / 1'000'000);
}

Auditor::Need need_of(Consistency consistency) {
    if (consistency == Consistency::session) return Auditor::Need::session;
    return consistency == Consistency::bounded ? Auditor::Need::bounded : Auditor::Need::none;
}

}  // namespace

const ClassOptions& Clients::options_of(const Request& request) const {
    return world_.options.classes[request.request_class];
}

void Clients::schedule_arrival() {
    double mean_us = 1e6 / std::max(1e-9, world_.options.rate * traffic_factor_);
    Time next =
        world_.timeline.now() + Duration(std::int64_t(world_.traffic_stream.exponential(mean_us)) + 1);
    if (next >= World::at_seconds(world_.options.seconds)) return;
    world_.timeline.at(next, Rank::arrival, [this] {
        arrive();
        schedule_arrival();
    });
}

std::size_t Clients::draw_class() {
    const auto& classes = world_.options.classes;
    double pick = world_.traffic_stream.uniform();
    double sum = 0;
    std::size_t chosen = 0;
    while (chosen + 1 < classes.size()) {
        sum += classes[chosen].share;
        if (sum > pick) break;
        ++chosen;
    }
    return chosen;
}

void Clients::arrive() {
    const FleetOptions& options = world_.options;
    FleetSummary& summary = world_.summary;
    Request request;
    request.request_class = draw_class();
    bool hot = hot_client_share_ > 0 && world_.traffic_stream.uniform() < hot_client_share_;
    request.session = 1 + world_.traffic_stream.below(options.sessions) + (hot ? options.sessions : 0);
    request.group = std::uint32_t(request.session % options.groups);
    request.first_sent = world_.timeline.now();
    request.retries_left = options.retries;

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
    // A session stays with one pooler; a hot client has sessions of its own, all at the first.
    bool hot = request.session > options.sessions;
    attempt.pooler = std::uint32_t(hot ? 0 : request.session % world_.poolers.size());
    attempt.id = "r" + std::to_string(number);
    attempt.deadline = world_.timeline.now() + request_class.deadline;
    attempts_.emplace(number, std::move(owned));
    world_.auditor.requested(attempt.id, need_of(request_class.consistency), request.session);
    ClientRequest client_request = to_client_request(attempt);
    if (options.defect == Defect::lost_answer && !answer_lost_ && number == 500) {
        answer_lost_ = true;
        return;
    }
    attempt.core_id = world_.poolers[attempt.pooler]->core.accept(std::move(client_request), attempt);
}

ClientRequest Clients::to_client_request(const Attempt& attempt) const {
    const FleetOptions& options = world_.options;
    const ClassOptions& request_class = options_of(attempt.request);
    bool write = request_class.consistency == Consistency::write;
    bool has_session = write || request_class.consistency == Consistency::session;
    ClientRequest request;
    request.verb = write ? ClientRequest::Verb::write : ClientRequest::Verb::lookup;
    request.id = attempt.id;
    request.class_name = request_class.name;
    request.request_class = routing::ClassId(std::uint32_t(attempt.request.request_class));
    request.group = routing::GroupId(attempt.request.group);
    request.client_timeout = request_class.deadline;
    request.is_retry = attempt.request.retries_left < options.retries;
    if (!has_session) return request;
    request.session = attempt.request.session;
    Time commit = world_.auditor.last_commit(attempt.request.session);
    if (options.clients_carry_tokens && commit > Time{})
        request.after_unix_ms = world_.clock.to_unix(commit) / 1000 + 1;
    return request;
}

void Clients::on_served(Attempt& attempt, const Answer& answer) {
    attempt.over = true;
    const ClassOptions& request_class = options_of(attempt.request);
    FleetSummary& summary = world_.summary;
    Time now = world_.timeline.now();
    Time position = answer.position_unix_ms ? world_.clock.from_unix(*answer.position_unix_ms * 1000) : now;
    bool stale_defect = world_.options.defect == Defect::stale_read;
    if (stale_defect && last_attempt_ % 100 == 0) position -= 10s;
    world_.auditor.answered(attempt.id, position, answer.tag == "primary" && !stale_defect, now);
    if (request_class.consistency == Consistency::write)
        world_.auditor.committed(attempt.request.session, position);

    ++summary.served;
    Duration latency = now - attempt.request.first_sent;
    summary.latency_us.push_back(std::uint32_t(latency.count()));
    bool late = latency > request_class.latency_objective;
    double weight = request_class.priority_weight;
    if (late) {
        weight *= request_class.late_share;
        ++summary.late;
    }
    summary.weight_served += weight;
    std::size_t window = window_of(attempt.request.first_sent);
    if (window < summary.windows.size()) summary.windows[window].weight_served += weight;
}

void Clients::on_ended(Attempt& attempt, const FinalError& error) {
    attempt.over = true;
    world_.auditor.refused(attempt.id, world_.timeline.now());
    bool refused = error.kind == FinalError::Kind::rejected;
    if (attempt.request.retries_left > 0 && refused) {
        // It comes again at once, whatever its Retry-After was.
        Request retry = attempt.request;
        --retry.retries_left;
        world_.timeline.after(world_.options.one_way * 2, Rank::arrival, [this, retry] { send(retry); });
        return;
    }
    ++(refused ? world_.summary.refused : world_.summary.failed);
}

void Clients::disconnect_from(std::uint32_t pooler) {
    for (auto& [number, attempt] : attempts_) {
        if (attempt->over || attempt->pooler != pooler) continue;
        attempt->over = true;
        world_.poolers[pooler]->core.withdraw(attempt->core_id,
                                              routing::RequestAdmission::Departure::client_left);
        world_.auditor.client_left(attempt->id);
        ++world_.summary.failed;
    }
}

void Clients::forget_old_attempts() {
    std::erase_if(attempts_, [&](const auto& entry) {
        return entry.second->over && entry.second->deadline + 1s < world_.timeline.now();
    });
}

}  // namespace indigovane::lab
