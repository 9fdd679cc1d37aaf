// A request from its arrival to its final answer, and the table of open requests.
//
// A request is in exactly one phase. The rest follows from its attempts: its response has started if that of
// its last attempt has, and it may have run if any of its attempts may have. A finished request stays in the
// table until its last attempt has ended, because the end of an attempt still informs about the endpoint.
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

/// One attempt of a request at an endpoint.
struct Attempt {
    /// `response_started`: the client receives the answer.
    enum class Progress { awaiting_response, response_started, ended };

    Endpoint* endpoint;
    Time sent;
    Progress progress = Progress::awaiting_response;
    Execution execution = Execution::may_have_run;  ///< may_have_run while it is in flight
    bool is_disqualified = false;                   ///< never sent, because the endpoint no longer qualified

    bool is_in_flight() const { return progress != Progress::ended; }
    bool may_have_run() const { return execution != Execution::never_ran; }
};

/// The latest health check that was sent for a queued read, to learn an endpoint's position.
struct OnDemandCheck {
    Endpoint* endpoint = nullptr;
    Time sent{};
    int count = 0;  ///< checks sent for this read so far
};

/// A request with its attempts. Times are on the caller's clock.
class Request {
  public:
    enum class Phase { arrived, queued, in_flight, finished };

    /// `elapsed`: time that the client's earlier attempts took, by which the latency objective is shortened.
    /// `uniform_draw`: a random number in [0, 1).
    Request(const RequestArrival& arrival, std::shared_ptr<RequestClass> its_class, std::size_t attempt_limit,
            Duration elapsed, double uniform_draw, Time now);

    RequestId id;
    /// Its class when it arrived; kept when the settings change.
    std::shared_ptr<RequestClass> request_class;
    std::size_t max_attempts;
    GroupId group;
    std::optional<SessionKey> session;
    Time carried_token{};                ///< position that a session read must see, if its client sent one
    bool uses_remembered_token = false;  ///< its client can't send a token
    bool is_client_retry;                ///< the client sent a request before for the same purpose
    double slow_start_draw;  ///< in [0, 1); slow start admits the request if it is below its share
    Time arrived;
    Time deadline;           ///< when the client gives up
    Time latency_objective;  ///< an answer after this is late; never after the deadline
    Time undecided_since;    ///< when it arrived, or when its latest attempt was disqualified
    OnDemandCheck on_demand_check;
    std::optional<Time> review_at;  ///< when its timer expires; absent: none is set

    Phase phase() const { return phase_; }
    const std::vector<Attempt>& attempts() const { return attempts_; }

    /// When the final answer must be given, so that it reaches the client before the deadline.
    Time answer_due() const { return deadline - kAnswerMargin; }
    int attempts_in_flight() const { return int(std::ranges::count_if(attempts_, &Attempt::is_in_flight)); }
    /// Counts attempts in flight as well: any of them may have run.
    int attempts_that_may_have_run() const {
        return int(std::ranges::count_if(attempts_, &Attempt::may_have_run));
    }
    /// Attempts that count against the limit. One that was disqualified has cost nothing, and its endpoint
    /// may qualify again.
    std::size_t counted_attempts() const {
        return std::size_t(std::ranges::count(attempts_, false, &Attempt::is_disqualified));
    }
    bool was_sent_to(const Endpoint& endpoint) const {
        return std::ranges::any_of(attempts_, [&](const Attempt& attempt) {
            return attempt.endpoint == &endpoint && !attempt.is_disqualified;
        });
    }
    bool has_attempt_at(const Endpoint& endpoint) const {
        return std::ranges::any_of(attempts_,
                                   [&](const Attempt& attempt) { return attempt.endpoint == &endpoint; });
    }
    bool has_response_started() const {
        return !attempts_.empty() && attempts_.back().progress == Attempt::Progress::response_started;
    }
    /// Whether this is a write of that session.
    bool is_write_of(SessionKey key) const;

    void enqueue() { phase_ = Phase::queued; }
    void start_attempt(Endpoint& endpoint, Time now);
    /// Marks the last attempt's response as started. False if that attempt does not await a response.
    bool start_response();
    /// `number`: index of the attempt; an unknown one is ignored.
    void end_attempt(std::uint32_t number, Execution execution, bool is_disqualified = false);
    void finish() { phase_ = Phase::finished; }

  private:
    /// Time that the final answer takes to the client.
    static constexpr Duration kAnswerMargin = std::chrono::milliseconds(10);

    Phase phase_ = Phase::arrived;
    std::vector<Attempt> attempts_;
};

/// The open requests by id. A reference stays valid until its request is erased.
class RequestTable {
  public:
    /// Replaces a request with the same id.
    Request& insert(Request request);
    Request* find(RequestId id) {
        auto it = requests_.find(id);
        return it == requests_.end() ? nullptr : &it->second;
    }
    /// The id must be in the table.
    Request& at(RequestId id) { return requests_.at(id); }
    void erase(RequestId id) { requests_.erase(id); }

    /// Whether an open write of the session may have run. Its client may have got the answer already.
    bool has_unresolved_write(SessionKey session) const;
    /// Whether an open request was sent to the endpoint or waits for a health check of it.
    bool refers_to(const Endpoint& endpoint) const;

  private:
    std::unordered_map<RequestId, Request> requests_;
};

}  // namespace indigovane::policy
