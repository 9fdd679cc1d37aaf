#include "adapters/limited_admission.hpp"

#include <boost/asio/post.hpp>

#include "adapters/statements.hpp"

namespace indigovane::adapters {

using namespace routing;

// A request that is queued or in the core. It is the core's responder and passes the answer on to the
// front's.
class LimitedAdmission::PendingRequest final : public Responder {
  public:
    PendingRequest(LimitedAdmission& owner, RequestId id, ClientRequest request, Responder& responder,
                   Time deadline)
        : owner_(owner), id_(id), request_(std::move(request)), responder_(&responder), deadline_(deadline) {}

    void on_answer(const Answer& answer) override {
        std::size_t bytes = answer.forwarded_messages.size();
        for (const Row& row : answer.rows) bytes += row.content.size();
        Responder* responder = responder_;
        owner_.finish(id_, limits::Outcome::served, bytes + streamed_bytes_);  // destroys this object
        responder->on_answer(answer);
    }
    void on_answer_started(const Answer& answer, std::size_t length) override {
        streamed_bytes_ = length;
        responder_->on_answer_started(answer, length);
    }
    bool on_answer_piece(std::string_view bytes) override { return responder_->on_answer_piece(bytes); }
    bool is_client_present() override { return responder_->is_client_present(); }
    void on_answer_aborted() override {
        Responder* responder = responder_;
        owner_.finish(id_, limits::Outcome::failed, 0);
        responder->on_answer_aborted();
    }
    void on_final_error(const FinalError& error) override {
        Responder* responder = responder_;
        auto outcome = error.deadline                             ? limits::Outcome::timed_out
                       : error.kind == FinalError::Kind::rejected ? limits::Outcome::never_ran
                                                                  : limits::Outcome::failed;
        FinalError copy = error;
        owner_.finish(id_, outcome, 0);
        responder->on_final_error(copy);
    }

  private:
    friend class LimitedAdmission;
    LimitedAdmission& owner_;
    RequestId id_, core_id_{};  // here; in the core
    ClientRequest request_;
    Responder* responder_;
    Time deadline_;
    // Counted in queued_bytes_ while the request is queued; length of a streamed value.
    std::size_t request_bytes_ = 0, streamed_bytes_ = 0;
    bool is_queued_ = false, is_in_core_ = false;
};

LimitedAdmission::LimitedAdmission(boost::asio::io_context& io, const Clock& clock,
                                   const limits::Settings& settings, RequestAdmission& core)
    : io_(io), clock_(clock), core_(core), limiter_(settings), timer_(io) {}

LimitedAdmission::~LimitedAdmission() = default;

limits::Time LimitedAdmission::now() const {
    return limits::Time(clock_.now().time_since_epoch());
}

RequestId LimitedAdmission::accept(ClientRequest request, Responder& responder) {
    RequestId id{next_id_++};
    Time deadline = clock_.now() + request.client_timeout;
    limits::Arrival arrival;
    arrival.id = std::uint64_t(id);
    arrival.group = std::uint32_t(request.group);
    arrival.shape = {request.shape_high, request.shape_low};
    if (arrival.shape == limits::ShapeId{}) {
        statement::Shape fixed = fixed_shape(request.verb);
        arrival.shape = {fixed.high, fixed.low};
    }
    arrival.estimate = limits::Duration(request.cost_us > 0 ? request.cost_us : 2000);
    arrival.privileged = request.session.has_value() && !request.is_barred_from_reserve;
    arrival.deadline = limits::Time(deadline.time_since_epoch());
    auto new_request = std::make_unique<PendingRequest>(*this, id, std::move(request), responder, deadline);
    PendingRequest& pending = *new_request;
    arrival.tenant = pending.request_.tenant;
    limits::AdmissionDecision decision = limiter_.arrive(arrival, now());
    pending_requests_.emplace(std::uint64_t(id), std::move(new_request));
    if (decision.admission == limits::Admission::admit) {
        forward(pending);
    } else {
        pending.is_queued_ = true;
        pending.request_bytes_ = pending.request_.statement.size() + pending.request_.name.size();
        queued_bytes_ += pending.request_bytes_;
        queued_client_ids_.insert(pending.request_.id);
        if (decision.admission == limits::Admission::reject) due_rejections_.push_back(decision);
    }
    schedule_dispatch();
    return id;
}

void LimitedAdmission::dequeue(PendingRequest& pending) {
    if (!std::exchange(pending.is_queued_, false)) return;
    queued_bytes_ -= pending.request_bytes_;
    queued_client_ids_.erase(pending.request_.id);
}

void LimitedAdmission::forward(PendingRequest& pending) {
    dequeue(pending);
    pending.is_in_core_ = true;
    // The client timeout that is left. The core also handles a request that has none left.
    pending.request_.client_timeout = std::max(Duration::zero(), pending.deadline_ - clock_.now());
    pending.core_id_ = core_.accept(std::move(pending.request_), pending);
}

void LimitedAdmission::finish(RequestId id, limits::Outcome outcome, std::size_t answer_bytes) {
    limiter_.finish(std::uint64_t(id), outcome, answer_bytes, now());
    if (auto it = pending_requests_.find(std::uint64_t(id)); it != pending_requests_.end()) {
        dequeue(*it->second);
        pending_requests_.erase(it);
    }
    schedule_dispatch();
}

void LimitedAdmission::resume(RequestId id) {
    auto it = pending_requests_.find(std::uint64_t(id));
    if (it != pending_requests_.end() && it->second->is_in_core_) core_.resume(it->second->core_id_);
}

void LimitedAdmission::withdraw(RequestId id, Departure departure) {
    auto it = pending_requests_.find(std::uint64_t(id));
    if (it == pending_requests_.end()) return;
    if (it->second->is_in_core_) core_.withdraw(it->second->core_id_, departure);
    std::erase_if(due_rejections_, [&](const limits::AdmissionDecision& decision) {
        return decision.id == std::uint64_t(id);
    });
    finish(id, limits::Outcome::cancelled, 0);
}

void LimitedAdmission::reject(const limits::AdmissionDecision& decision) {
    auto it = pending_requests_.find(decision.id);
    if (it == pending_requests_.end()) return;
    Responder* responder = it->second->responder_;
    dequeue(*it->second);
    pending_requests_.erase(it);
    responder->on_final_error({FinalError::Kind::rejected, false, decision.retry_after});
}

// The core and the responders that it calls may call this object again. Those calls only schedule another
// dispatch.
void LimitedAdmission::dispatch_queued() {
    if (std::exchange(is_dispatching_, true)) return;
    std::vector<limits::AdmissionDecision> decisions;
    for (int round = 0; round < 64; ++round) {
        decisions.clear();
        decisions.swap(due_rejections_);
        limiter_.release(now(), decisions);
        if (decisions.empty()) break;
        for (const limits::AdmissionDecision& decision : decisions) {
            if (decision.admission == limits::Admission::reject) {
                reject(decision);
            } else if (auto it = pending_requests_.find(decision.id); it != pending_requests_.end()) {
                forward(*it->second);
            } else {
                limiter_.finish(decision.id, limits::Outcome::never_ran, 0,
                                now());  // its client left after the decision
            }
        }
    }
    is_dispatching_ = false;
    auto next = limiter_.next();
    if (!due_rejections_.empty()) next = limits::Time::min();
    if (next == timer_expiry_) return;
    timer_expiry_ = next;
    if (!next) {
        timer_.cancel();
        return;
    }
    timer_.expires_after(std::max(limits::Duration::zero(), std::max(*next, now()) - now()));
    timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](const boost::system::error_code& ec) {
        if (ec || alive.expired()) return;
        timer_expiry_.reset();
        dispatch_queued();
    });
}

void LimitedAdmission::schedule_dispatch() {
    if (std::exchange(is_dispatch_scheduled_, true)) return;
    boost::asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        is_dispatch_scheduled_ = false;
        dispatch_queued();
    });
}

// Under new settings the previous number of a class may belong to another class, with other effects. A queued
// request whose class no longer exists is rejected; it never ran.
void LimitedAdmission::renumber(const std::vector<std::optional<ClassId>>& continues) {
    for (auto& [id, pending] : pending_requests_) {
        if (!pending->is_queued_) continue;
        pending->request_.request_class = renumbered(pending->request_.request_class, continues);
        if (pending->request_.request_class == kNoClass)
            due_rejections_.push_back({id, limits::Admission::reject, limits::RejectionCause::none, {}});
    }
    schedule_dispatch();
}

void LimitedAdmission::set(const limits::Settings& settings) {
    limiter_.set(settings);
    schedule_dispatch();
}

}  // namespace indigovane::adapters
