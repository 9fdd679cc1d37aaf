// Admission control between the fronts and the core. A request that the limiter admits goes to the core at
// once; one that it queues waits here.
//
// A request is queued here, in the core, or finished. Its client timeout runs while it is queued: the core
// receives the time that is left.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "limits/limiter.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::adapters {

// Used by the event loop's thread only.
class LimitedAdmission final : public routing::RequestAdmission {
  public:
    LimitedAdmission(boost::asio::io_context& io, const routing::Clock& clock,
                     const limits::Settings& settings, routing::RequestAdmission& core);
    ~LimitedAdmission();

    routing::RequestId accept(routing::ClientRequest request, routing::Responder& responder) override;
    bool has_capacity(std::size_t bytes) const override { return core_.has_capacity(bytes + queued_bytes_); }
    bool is_open(const std::string& id) const override {
        return queued_client_ids_.count(id) > 0 || core_.is_open(id);
    }
    void resume(routing::RequestId id) override;
    void withdraw(routing::RequestId id, Departure departure) override;

    // Applies to queued requests and to those that arrive later.
    void set(const limits::Settings& settings);
    // Gives the queued requests the class numbers of new settings. A request whose class no longer exists is
    // rejected. `continues`: for each class of the new settings, the number that it had in the previous ones.
    void renumber(const std::vector<std::optional<routing::ClassId>>& continues);
    // No request is queued or in the core.
    bool idle() const { return pending_requests_.empty(); }
    const limits::Limiter& limiter() const { return limiter_; }
    // Loads the saved cost of a shape.
    void learn(const limits::ShapePrior& prior) { limiter_.load_prior(prior, now()); }

  private:
    class PendingRequest;
    void forward(PendingRequest& pending);
    // Removes a finished request and schedules the dispatch of queued requests that may now be admitted.
    void finish(routing::RequestId id, limits::Outcome outcome, std::size_t answer_bytes);
    void reject(const limits::AdmissionDecision& decision);
    void dispatch_queued();
    void schedule_dispatch();  // posts one call of dispatch_queued() to the event loop
    void dequeue(PendingRequest& pending);
    limits::Time now() const;

    boost::asio::io_context& io_;
    const routing::Clock& clock_;
    routing::RequestAdmission& core_;
    limits::Limiter limiter_;
    boost::asio::steady_timer timer_;
    std::unordered_map<std::uint64_t, std::unique_ptr<PendingRequest>> pending_requests_;
    std::unordered_set<std::string> queued_client_ids_;
    // Rejections that are due but not yet answered: accept() does not call the responder itself, the event
    // loop does.
    std::vector<limits::AdmissionDecision> due_rejections_;
    std::size_t queued_bytes_ = 0;  // statements and names of the queued requests
    std::uint64_t next_id_ = 1;
    std::optional<limits::Time> timer_expiry_;  // when the timer expires; none: it is not set
    bool is_dispatch_scheduled_ = false, is_dispatching_ = false;
    // Handlers hold a weak pointer to it, which tells them whether this object still exists.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace indigovane::adapters
