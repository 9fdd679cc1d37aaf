// A request from its arrival to its final answer, and the table of those that are open.
//
// A request is in one phase at a time, and its attempts tell the rest: whether a response has started is a
// property of the last attempt, whether it may have run one of all. It stays in the table, finished, until
// its last attempt has ended, since an attempt's end still tells of its endpoint.
//
// Settings read: none.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "policy/attempt_status.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/request_class.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

struct Attempt {
    enum class Progress { awaiting_response, response_started, ended };

    Endpoint* endpoint;
    Time sent;
    Progress progress = Progress::awaiting_response;
    Execution execution = Execution::may_have_run;  ///< while it is in flight

    bool is_in_flight() const { return progress != Progress::ended; }
    bool may_have_run() const { return execution != Execution::never_ran; }
};

/// A health check that a queued read asked for, to learn an endpoint's position.
struct OnDemandCheck {
    Endpoint* endpoint = nullptr;
    Time sent{};
    int count = 0;  ///< sent for this read so far
};

class Request {
  public:
    enum class Phase { arrived, queued, in_flight, finished };

    /// `elapsed`: time that the client's earlier attempts have used up; it shortens the latency objective.
    /// `uniform_draw`: in [0, 1).
    Request(const RequestArrival& arrival, std::shared_ptr<RequestClass> its_class, std::size_t attempt_limit,
            Duration elapsed, double uniform_draw, Time now);

    RequestId id;
    std::shared_ptr<RequestClass> request_class;  ///< as it was when the request arrived
    std::size_t max_attempts;
    GroupId group;
    std::optional<SessionKey> session;
    Time carried_token{};    ///< a session read must see this, where its client says so
    double slow_start_draw;  ///< the request's place in whatever lets only a share of requests pass
    Time arrived;
    Time deadline;           ///< at which the client gives up
    Time latency_objective;  ///< at which an answer is late; not after the deadline
    OnDemandCheck on_demand_check;
    std::optional<Time> review_at;  ///< at which it is looked at again

    Phase phase() const { return phase_; }
    const std::vector<Attempt>& attempts() const { return attempts_; }

    /// When a final answer is due, so that it reaches the client before the deadline.
    Time answer_due() const { return deadline - kAnswerMargin; }
    int attempts_in_flight() const { return int(std::ranges::count_if(attempts_, &Attempt::is_in_flight)); }
    /// Attempts that may have run, those in flight among them.
    int attempts_that_may_have_run() const {
        return int(std::ranges::count_if(attempts_, &Attempt::may_have_run));
    }
    bool was_sent_to(const Endpoint& endpoint) const {
        return std::ranges::any_of(attempts_,
                                   [&](const Attempt& attempt) { return attempt.endpoint == &endpoint; });
    }
    bool has_response_started() const {
        return !attempts_.empty() && attempts_.back().progress == Attempt::Progress::response_started;
    }
    bool is_write_of(SessionKey key) const;

    void enqueue() { phase_ = Phase::queued; }
    void start_attempt(Endpoint& endpoint, Time now);
    /// False if no attempt awaits a response.
    bool start_response();
    void end_attempt(std::uint32_t number, Execution execution);
    void finish() { phase_ = Phase::finished; }

  private:
    static constexpr Duration kAnswerMargin = std::chrono::milliseconds(10);

    Phase phase_ = Phase::arrived;
    std::vector<Attempt> attempts_;
};

/// The open requests. References stay valid until a request is erased.
class RequestTable {
  public:
    Request& insert(Request request);
    Request* find(RequestId id) {
        auto it = requests_.find(id);
        return it == requests_.end() ? nullptr : &it->second;
    }
    Request& at(RequestId id) { return requests_.at(id); }
    void erase(RequestId id) { requests_.erase(id); }

    /// Some open write of the session may have run, and may have been answered already.
    bool has_unresolved_write(SessionKey session) const;
    bool refers_to(const Endpoint& endpoint) const;

  private:
    std::unordered_map<RequestId, Request> requests_;
};

}  // namespace indigovane::policy
