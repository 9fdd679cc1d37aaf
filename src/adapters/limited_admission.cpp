#include "adapters/limited_admission.hpp"

#include <boost/asio/post.hpp>

#include "adapters/statements.hpp"

namespace indigovane::adapters {

using namespace routing;

class LimitedAdmission::Ticket final : public Responder {
  public:
    Ticket(LimitedAdmission& owner, RequestId id, ClientRequest request, Responder& responder, Time deadline)
        : owner_(owner), id_(id), request_(std::move(request)), responder_(&responder), deadline_(deadline) {}

    void on_answer(const Answer& answer) override {
        std::size_t bytes = answer.forwarded_messages.size();
        for (const Row& row : answer.rows) bytes += row.content.size();
        Responder* to = responder_;
        owner_.end(id_, limits::Outcome::served, bytes + passed_);  // destroys this
        to->on_answer(answer);
    }
    void on_answer_started(const Answer& answer, std::size_t length) override {
        passed_ = length;
        responder_->on_answer_started(answer, length);
    }
    bool on_answer_piece(std::string_view bytes) override { return responder_->on_answer_piece(bytes); }
    bool is_client_present() override { return responder_->is_client_present(); }
    void on_answer_aborted() override {
        Responder* to = responder_;
        owner_.end(id_, limits::Outcome::failed, 0);
        to->on_answer_aborted();
    }
    void on_final_error(const FinalError& ending) override {
        Responder* to = responder_;
        auto how = ending.deadline                             ? limits::Outcome::timed_out
                   : ending.kind == FinalError::Kind::rejected ? limits::Outcome::never_ran
                                                               : limits::Outcome::failed;
        FinalError copy = ending;
        owner_.end(id_, how, 0);
        to->on_final_error(copy);
    }

  private:
    friend class LimitedAdmission;
    LimitedAdmission& owner_;
    RequestId id_, core_id_{};
    ClientRequest request_;
    Responder* responder_;
    Time deadline_;
    std::size_t bytes_ = 0, passed_ = 0;
    bool queued_ = false, in_core_ = false;
};

LimitedAdmission::LimitedAdmission(boost::asio::io_context& io, const Clock& clock,
                                   const limits::Settings& settings, RequestAdmission& core)
    : io_(io), clock_(clock), core_(core), limiter_(settings), timer_(io) {}

LimitedAdmission::~LimitedAdmission() = default;

limits::Time LimitedAdmission::now() const {
    return limits::Time(clock_.now().time_since_epoch());
}

RequestId LimitedAdmission::accept(ClientRequest request, Responder& responder) {
    RequestId id{next_++};
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
    auto ticket = std::make_unique<Ticket>(*this, id, std::move(request), responder, deadline);
    Ticket& t = *ticket;
    arrival.tenant = t.request_.tenant;
    limits::AdmissionDecision decision = limiter_.arrive(arrival, now());
    tickets_.emplace(std::uint64_t(id), std::move(ticket));
    if (decision.admission == limits::Admission::admit) {
        forward(t);
    } else {
        t.queued_ = true;
        t.bytes_ = t.request_.statement.size() + t.request_.name.size();
        queued_bytes_ += t.bytes_;
        queued_ids_.insert(t.request_.id);
        if (decision.admission == limits::Admission::reject) refused_.push_back(decision);
    }
    wake();
    return id;
}

void LimitedAdmission::dequeue(Ticket& t) {
    if (!std::exchange(t.queued_, false)) return;
    queued_bytes_ -= t.bytes_;
    queued_ids_.erase(t.request_.id);
}

void LimitedAdmission::forward(Ticket& t) {
    dequeue(t);
    t.in_core_ = true;
    // What is left of its time; none left is the core's to say, as ever.
    t.request_.client_timeout = std::max(Duration::zero(), t.deadline_ - clock_.now());
    t.core_id_ = core_.accept(std::move(t.request_), t);
}

void LimitedAdmission::end(RequestId id, limits::Outcome how, std::size_t bytes) {
    limiter_.finish(std::uint64_t(id), how, bytes, now());
    if (auto it = tickets_.find(std::uint64_t(id)); it != tickets_.end()) {
        dequeue(*it->second);
        tickets_.erase(it);
    }
    wake();
}

void LimitedAdmission::resume(RequestId id) {
    auto it = tickets_.find(std::uint64_t(id));
    if (it != tickets_.end() && it->second->in_core_) core_.resume(it->second->core_id_);
}

void LimitedAdmission::withdraw(RequestId id, Departure departure) {
    auto it = tickets_.find(std::uint64_t(id));
    if (it == tickets_.end()) return;
    if (it->second->in_core_) core_.withdraw(it->second->core_id_, departure);
    std::erase_if(refused_, [&](const limits::AdmissionDecision& v) { return v.id == std::uint64_t(id); });
    end(id, limits::Outcome::cancelled, 0);
}

void LimitedAdmission::refuse(const limits::AdmissionDecision& decision) {
    auto it = tickets_.find(decision.id);
    if (it == tickets_.end()) return;
    Responder* to = it->second->responder_;
    dequeue(*it->second);
    tickets_.erase(it);
    to->on_final_error({FinalError::Kind::rejected, false, decision.retry_after});
}

// What its calls bring about may call back in here: those calls only mark that there is more to do.
void LimitedAdmission::dispatch_queued() {
    if (std::exchange(dispatching_, true)) return;
    std::vector<limits::AdmissionDecision> due;
    for (int round = 0; round < 64; ++round) {
        due.clear();
        due.swap(refused_);
        limiter_.release(now(), due);
        if (due.empty()) break;
        for (const limits::AdmissionDecision& v : due) {
            if (v.admission == limits::Admission::reject) {
                refuse(v);
            } else if (auto it = tickets_.find(v.id); it != tickets_.end()) {
                forward(*it->second);
            } else {
                limiter_.finish(v.id, limits::Outcome::never_ran, 0,
                                now());  // its client has left in between
            }
        }
    }
    dispatching_ = false;
    auto next = limiter_.next();
    if (!refused_.empty()) next = limits::Time::min();
    if (next == armed_) return;
    armed_ = next;
    if (!next) {
        timer_.cancel();
        return;
    }
    timer_.expires_after(std::max(limits::Duration::zero(), std::max(*next, now()) - now()));
    timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](const boost::system::error_code& ec) {
        if (ec || alive.expired()) return;
        armed_.reset();
        dispatch_queued();
    });
}

void LimitedAdmission::wake() {
    if (std::exchange(woken_, true)) return;
    boost::asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        woken_ = false;
        dispatch_queued();
    });
}

// Guards what waits across a change of the settings: by its old number it would be taken for another class,
// with another class's effect. What belongs to a class that is gone ends here; it never ran.
void LimitedAdmission::renumber(const std::vector<std::optional<ClassId>>& continues) {
    for (auto& [id, ticket] : tickets_) {
        if (!ticket->queued_) continue;
        ticket->request_.request_class = renumbered(ticket->request_.request_class, continues);
        if (ticket->request_.request_class == kNoClass)
            refused_.push_back({id, limits::Admission::reject, limits::RejectionCause::none, {}});
    }
    wake();
}

void LimitedAdmission::set(const limits::Settings& settings) {
    limiter_.set(settings);
    wake();
}

}  // namespace indigovane::adapters
