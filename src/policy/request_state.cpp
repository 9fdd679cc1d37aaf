#include "policy/request_state.hpp"

#include <algorithm>
#include <utility>

namespace indigovane::policy {

Request::Request(const RequestArrival& arrival, std::shared_ptr<RequestClass> its_class,
                 std::size_t attempt_limit, Duration elapsed, double uniform_draw, Time now)
    : id(arrival.id),
      request_class(std::move(its_class)),
      max_attempts(attempt_limit),
      group(arrival.group),
      session(arrival.session),
      uses_remembered_token(arrival.uses_remembered_token),
      is_client_retry(arrival.is_retry || elapsed > Duration::zero()),
      slow_start_draw(uniform_draw),
      arrived(now),
      deadline(now + arrival.client_timeout),
      latency_objective(std::min(now + request_class->latency_objective - elapsed, deadline)),
      undecided_since(now) {
    if (arrival.since_last_write) carried_token = now - *arrival.since_last_write;
}

bool Request::is_write_of(SessionKey key) const {
    return session == key && request_class->consistency == Consistency::write;
}

void Request::start_attempt(Endpoint& endpoint, Time now) {
    phase_ = Phase::in_flight;
    attempts_.push_back({&endpoint, now});
}

bool Request::start_response() {
    if (attempts_.empty() || attempts_.back().progress != Attempt::Progress::awaiting_response) return false;
    attempts_.back().progress = Attempt::Progress::response_started;
    return true;
}

void Request::end_attempt(std::uint32_t number, Execution execution, bool is_disqualified) {
    if (number >= attempts_.size()) return;
    attempts_[number].is_disqualified = is_disqualified;
    attempts_[number].progress = Attempt::Progress::ended;
    attempts_[number].execution = execution;
}

Request& RequestTable::insert(Request request) {
    RequestId id = request.id;
    return requests_.insert_or_assign(id, std::move(request)).first->second;
}

bool RequestTable::has_unresolved_write(SessionKey session) const {
    return std::ranges::any_of(requests_, [&](const auto& entry) {
        return entry.second.is_write_of(session) && entry.second.attempts_that_may_have_run() > 0;
    });
}

bool RequestTable::refers_to(const Endpoint& endpoint) const {
    return std::ranges::any_of(requests_, [&](const auto& entry) {
        return entry.second.on_demand_check.endpoint == &endpoint || entry.second.has_attempt_at(endpoint);
    });
}

}  // namespace indigovane::policy
