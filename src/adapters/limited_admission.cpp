#include "adapters/limited_admission.hpp"

#include <boost/asio/post.hpp>

#include "adapters/statements.hpp"

namespace indigovane::adapters {

using namespace routing;

class LimitedAdmission::Ticket final : public Responder {
  public:
    Ticket(LimitedAdmission& owner, RequestId id, ClientRequest item, Responder& responder, Time deadline)
        : owner_(owner), id_(id), item_(std::move(item)), responder_(&responder), deadline_(deadline) {}

    void served(const Answer& answer) override {
        std::size_t bytes = answer.passage.size();
        for (const Row& row : answer.rows) bytes += row.content.size();
        Responder* to = responder_;
        owner_.end(id_, limits::Outcome::served, bytes + passed_);  // destroys this
        to->served(answer);
    }
    void began(const Answer& answer, std::size_t length) override {
        passed_ = length;
        responder_->began(answer, length);
    }
    bool piece(std::string_view bytes) override { return responder_->piece(bytes); }
    bool present() override { return responder_->present(); }
    void broken() override {
        Responder* to = responder_;
        owner_.end(id_, limits::Outcome::failed, 0);
        to->broken();
    }
    void ended(const FinalError& ending) override {
        Responder* to = responder_;
        auto how = ending.deadline                            ? limits::Outcome::timed_out
                   : ending.kind == FinalError::Kind::refused ? limits::Outcome::never_ran
                                                              : limits::Outcome::failed;
        FinalError copy = ending;
        owner_.end(id_, how, 0);
        to->ended(copy);
    }

  private:
    friend class LimitedAdmission;
    LimitedAdmission& owner_;
    RequestId id_, core_id_{};
    ClientRequest item_;
    Responder* responder_;
    Time deadline_;
    std::size_t bytes_ = 0, passed_ = 0;
    bool held_ = false, in_core_ = false;
};

LimitedAdmission::LimitedAdmission(boost::asio::io_context& io, const Clock& clock,
                                   const limits::Settings& settings, RequestAdmission& core)
    : io_(io), clock_(clock), core_(core), limiter_(settings), timer_(io) {}

LimitedAdmission::~LimitedAdmission() = default;

limits::Time LimitedAdmission::now() const {
    return limits::Time(clock_.now().time_since_epoch());
}

RequestId LimitedAdmission::accept(ClientRequest item, Responder& responder) {
    RequestId id{next_++};
    Time deadline = clock_.now() + item.client_timeout;
    limits::Arrival arrival;
    arrival.id = std::uint64_t(id);
    arrival.group = std::uint32_t(item.group);
    arrival.shape = {item.shape_high, item.shape_low};
    if (arrival.shape == limits::ShapeId{}) {
        statement::Shape fixed = fixed_shape(item.verb);
        arrival.shape = {fixed.high, fixed.low};
    }
    arrival.estimate = limits::Duration(item.cost_us > 0 ? item.cost_us : 2000);
    arrival.privileged = item.session.has_value() && !item.unreserved;
    arrival.deadline = limits::Time(deadline.time_since_epoch());
    auto ticket = std::make_unique<Ticket>(*this, id, std::move(item), responder, deadline);
    Ticket& t = *ticket;
    arrival.tenant = t.item_.tenant;
    limits::AdmissionDecision verdict = limiter_.arrive(arrival, now());
    tickets_.emplace(std::uint64_t(id), std::move(ticket));
    if (verdict.admission == limits::Admission::admit) {
        forward(t);
    } else {
        t.held_ = true;
        t.bytes_ = t.item_.statement.size() + t.item_.name.size();
        queued_bytes_ += t.bytes_;
        held_ids_.insert(t.item_.id);
        if (verdict.admission == limits::Admission::reject) refused_.push_back(verdict);
    }
    wake();
    return id;
}

void LimitedAdmission::unhold(Ticket& t) {
    if (!std::exchange(t.held_, false)) return;
    queued_bytes_ -= t.bytes_;
    held_ids_.erase(t.item_.id);
}

void LimitedAdmission::forward(Ticket& t) {
    unhold(t);
    t.in_core_ = true;
    // What is left of its time; none left is the core's to say, as ever.
    t.item_.client_timeout = std::max(Duration::zero(), t.deadline_ - clock_.now());
    t.core_id_ = core_.accept(std::move(t.item_), t);
}

void LimitedAdmission::end(RequestId id, limits::Outcome how, std::size_t bytes) {
    limiter_.finish(std::uint64_t(id), how, bytes, now());
    if (auto it = tickets_.find(std::uint64_t(id)); it != tickets_.end()) {
        unhold(*it->second);
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

void LimitedAdmission::refuse(const limits::AdmissionDecision& verdict) {
    auto it = tickets_.find(verdict.id);
    if (it == tickets_.end()) return;
    Responder* to = it->second->responder_;
    unhold(*it->second);
    tickets_.erase(it);
    to->ended({FinalError::Kind::refused, false, verdict.retry_after});
}

// What its calls bring about may call back in here: those calls only mark that there is more to do.
void LimitedAdmission::dispatch_queued() {
    if (std::exchange(pumping_, true)) return;
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
                limiter_.finish(v.id, limits::Outcome::never_ran, 0, now());  // its client has left in between
            }
        }
    }
    pumping_ = false;
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
        if (!ticket->held_) continue;
        ticket->item_.request_class = renumbered(ticket->item_.request_class, continues);
        if (ticket->item_.request_class == kNoClass)
            refused_.push_back({id, limits::Admission::reject, limits::RejectionCause::none, {}});
    }
    wake();
}

void LimitedAdmission::set(const limits::Settings& settings) {
    limiter_.set(settings);
    wake();
}

}  // namespace indigovane::adapters
