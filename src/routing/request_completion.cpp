#include "routing/request_completion.hpp"

#include <algorithm>

namespace indigovane::routing {

namespace {
// A request rejected sooner than this was not queued: nothing was fit to take it.
constexpr Duration kOnArrival = std::chrono::milliseconds(5);
}  // namespace

RequestCompletion::RequestCompletion(const Clock& clock, const policy::Settings& settings,
                                     RequestTable& requests, EventInbox& inbox, RequestGuard& guard,
                                     RequestLog& log, RequestStatistics& statistics)
    : clock_(clock),
      settings_(settings),
      requests_(requests),
      inbox_(inbox),
      guard_(guard),
      log_(log),
      statistics_(statistics) {}

void RequestCompletion::began(const PendingRequest& pending) {
    const ClientRequest& request = pending.request;
    ++(request.is_retry ? statistics_.client_retries : statistics_.first_requests);
    if (write_observer_ && request.session && request.writes()) write_observer_(*request.session, true);
}

void RequestCompletion::answer(PendingRequest& pending, const Answer& answer, Time now) {
    if (!pending.responder) return;
    if (!pending.response_started) guard_.check_answer(pending, now);
    std::exchange(pending.responder, nullptr)->on_answer(answer);
}

void RequestCompletion::break_off(PendingRequest& pending) {
    if (pending.response_started && pending.responder)
        std::exchange(pending.responder, nullptr)->on_answer_aborted();
}

void RequestCompletion::end(RequestId id, FinalError ending, const char* why) {
    PendingRequest* pending = requests_.find_unanswered(id);
    if (!pending || pending->response_started) return;
    Time now = clock_.now();
    if (ending.kind == FinalError::Kind::rejected && !guard_.admits_rejection(*pending)) {
        ending.kind = FinalError::Kind::failed;
        ending.retry_after.reset();
    }
    guard_.check_answer(*pending, now);
    count(*pending, ending, now);
    log_.ended(*pending, ending, why, now);
    std::exchange(pending->responder, nullptr)->on_final_error(ending);
    finish_if_done(id);
}

void RequestCompletion::count(const PendingRequest& pending, const FinalError& ending, Time now) {
    if (ending.kind == FinalError::Kind::failed) {
        ++statistics_.failed_requests;
        return;
    }
    ++statistics_.rejected_requests;
    if (now - pending.arrived < kOnArrival) ++statistics_.rejected_on_arrival;
}

void RequestCompletion::end_by_site(RequestId id) {
    const PendingRequest* pending = requests_.find(id);
    if (!pending || !sites_) return;
    FinalError ending{FinalError::Kind::failed, false, std::nullopt};
    if (RequestGuard::is_rejection_harmless(pending->retry_rule, pending->attempts)) {
        ending.kind = FinalError::Kind::rejected;
        Duration retry_after = sites_->retry_after();
        if (settings_.may_send_retry_after.value_or(false))
            ending.retry_after = std::min(retry_after, settings_.max_retry_after.value_or(retry_after));
    }
    end(id, ending, "its site is given up, or its retry budget spent");
}

void RequestCompletion::withdraw(RequestId id, RequestAdmission::Departure departure) {
    PendingRequest* pending = requests_.find_unanswered(id);
    if (!pending) return;
    if (departure == RequestAdmission::Departure::closed_here) guard_.check_close(*pending);
    pending->responder = nullptr;
    ++statistics_.clients_left;
    if (!pending->attempts.empty()) log_.client_left(*pending, clock_.now());
    inbox_.post(policy::RequestCancelled{id});
    finish_if_done(id);
}

void RequestCompletion::end_all() {
    std::vector<RequestId> unanswered;
    for (const auto& [id, pending] : requests_)
        if (pending.responder && !pending.response_started) unanswered.push_back(id);
    for (RequestId id : unanswered) {
        const PendingRequest* pending = requests_.find(id);
        bool harmless = RequestGuard::is_rejection_harmless(pending->retry_rule, pending->attempts);
        inbox_.push(policy::RequestCancelled{id});
        end(id, {harmless ? FinalError::Kind::rejected : FinalError::Kind::failed, true, std::nullopt},
            "the process ends");
    }
    inbox_.wake();
}

void RequestCompletion::finish_if_done(RequestId id) {
    if (!requests_.finish_if_done(id)) return;
    const ClientRequest& request = requests_.find(id)->request;
    if (write_observer_ && request.session && request.writes()) write_observer_(*request.session, false);
}

}  // namespace indigovane::routing
