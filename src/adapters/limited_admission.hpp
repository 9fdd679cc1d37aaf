// Stands between the fronts and the core: what the limiter lets through goes on at once, what waits is held
// here.
//
// A request is held, or in the core, or over. Its time goes on while it is held: the core is told what is
// left.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "limits/limiter.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::adapters {

class LimitedAdmission final : public routing::RequestAdmission {
  public:
    LimitedAdmission(boost::asio::io_context& io, const routing::Clock& clock,
                     const limits::Settings& settings, routing::RequestAdmission& core);
    ~LimitedAdmission();

    routing::RequestId accept(routing::ClientRequest request, routing::Responder& responder) override;
    bool has_capacity(std::size_t bytes) const override { return core_.has_capacity(bytes + queued_bytes_); }
    bool is_open(const std::string& id) const override {
        return queued_ids_.count(id) > 0 || core_.is_open(id);
    }
    void resume(routing::RequestId id) override;
    void withdraw(routing::RequestId id, Departure departure) override;

    void set(const limits::Settings& settings);  // for what comes and what waits
    // Classes have other numbers from now on, also those of what waits.
    void renumber(const std::vector<std::optional<routing::ClassId>>& continues);
    bool idle() const { return tickets_.empty(); }
    const limits::Limiter& limiter() const { return limiter_; }
    void learn(const limits::ShapePrior& prior) { limiter_.load_prior(prior, now()); }

  private:
    class Ticket;
    void forward(Ticket& ticket);
    // The ticket is over: it leaves, and what its end makes room for goes on.
    void end(routing::RequestId id, limits::Outcome how, std::size_t bytes);
    void refuse(const limits::AdmissionDecision& decision);
    void dispatch_queued();
    void wake();  // pump() soon, from the loop
    void dequeue(Ticket& ticket);
    limits::Time now() const;

    boost::asio::io_context& io_;
    const routing::Clock& clock_;
    routing::RequestAdmission& core_;
    limits::Limiter limiter_;
    boost::asio::steady_timer timer_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Ticket>> tickets_;
    std::unordered_set<std::string> queued_ids_;
    std::vector<limits::AdmissionDecision>
        refused_;  // on arrival: answered from the loop, not from within accept()
    std::size_t queued_bytes_ = 0;
    std::uint64_t next_ = 1;
    std::optional<limits::Time> armed_;
    bool woken_ = false, dispatching_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace indigovane::adapters
