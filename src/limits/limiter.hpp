// Admission control: decides which request is admitted, queued or rejected. Each group of requests has its
// own fair queue (fair_queue.hpp). In addition, single shapes have concurrency limits (shape_caps.hpp) and
// can be quarantined (cost_model.hpp).
//
// Invariants: a request is queued, in flight or unknown. release() returns exactly one further decision for
// each queued request that is not withdrawn.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "limits/cost_model.hpp"
#include "limits/fair_queue.hpp"
#include "limits/heavy_hitters.hpp"
#include "limits/shape_caps.hpp"
#include "limits/types.hpp"

namespace indigovane::limits {

struct Arrival {
    std::uint64_t id = 0;  // chosen by the caller; no other queued or in-flight request may have it
    std::uint32_t group = 0;
    std::string_view tenant;  // must be valid only during the call
    ShapeId shape;
    Duration estimate{};      // cost that is assumed for an unknown shape
    bool privileged = false;  // a write or a session read, which may use the reserve
    Time deadline{};
};

enum class Admission : std::uint8_t { admit, queue, reject };
enum class RejectionCause : std::uint8_t {
    none,
    queue_full,            // the queue of the group is full
    share_full,            // the tenant's share of the queue is full
    deadline_unreachable,  // the request would be admitted too late for its deadline
    queue_timeout,         // the request was in the queue for its maximum time
    quarantined,           // the shape of the request is quarantined
};
// Text of the cause in log lines.
const char* name(RejectionCause cause);

struct AdmissionDecision {
    std::uint64_t id = 0;
    Admission admission = Admission::admit;
    RejectionCause cause = RejectionCause::none;  // set if the request is rejected
    std::optional<Duration> retry_after;          // may be set if the request is rejected
};

// Used by one thread.
class Limiter {
  public:
    explicit Limiter(const Settings& settings);
    ~Limiter();

    // Returns the decision on this request. release() returns the decisions on other requests that it causes.
    AdmissionDecision arrive(const Arrival& arrival, Time now);
    // Records that a request in flight has ended or that a queued one has been withdrawn. `bytes` is the size
    // of the answer. Unknown ids are ignored.
    void finish(std::uint64_t id, Outcome outcome, std::uint64_t bytes, Time now);
    // Appends the decisions on queued requests that are due: admit or reject, never queue.
    void release(Time now, std::vector<AdmissionDecision>& decisions);
    // Returns the time at which release() must be called, unless another event comes first. Time::min(): at
    // once. None: no call is due.
    std::optional<Time> next() const;
    // Applies new settings to requests in flight and queued too. Learned costs are retained.
    void set(const Settings& settings);

    bool idle() const { return requests_.empty(); }
    std::size_t queued() const { return queued_; }
    std::size_t in_flight() const { return requests_.size() - queued_; }
    // Sum of the charges of the group's requests in flight.
    Duration work_in_flight(std::uint32_t group) const;

    // Costs of at most `limit` shapes that are to be stored, beginning with the most recently recorded shape.
    std::vector<ShapePrior> priors(std::size_t limit) const { return costs_.priors(limit); }
    void load_prior(const ShapePrior& prior, Time now) { costs_.load_prior(prior, now); }

    // Recent use of a shape by one tenant.
    struct ShapeUsage {
        ShapeId shape;
        std::string tenant;
        Duration work{};  // recent work, estimated by HeavyHitters
        ShapeCost cost;
        unsigned cap = 0;        // concurrency limit of the shape in each group; 0: no limit
        unsigned in_flight = 0;  // requests of the shape in flight, of all tenants and groups
    };
    // Returns at most `limit` entries, the largest work first.
    std::vector<ShapeUsage> top(std::size_t limit, Time now) const;

    // Numbers of requests since the start.
    struct Counts {
        std::uint64_t admitted = 0;
        std::uint64_t queued = 0;
        std::uint64_t rejected = 0;
        std::uint64_t capped = 0;  // queued because of the concurrency limit of their shape
        std::uint64_t probes = 0;  // admitted as probes of quarantined shapes
    };
    const Counts& counts() const { return counts_; }

  private:
    struct Group;
    struct Request;
    struct TenantShape {
        ShapeId shape;
        std::string tenant;
        bool operator==(const TenantShape&) const = default;
    };

    Group& group(std::uint32_t number);
    Request& add_request(const Arrival& arrival, Time now);
    ShapeCost cost(const Request& request, Time now) const;
    bool is_capped(const Request& request, Time now) const;
    bool may_probe(const Request& request, const ShapeCost& cost, Time now) const;
    void set_charge(Request& request, const ShapeCost& cost, Time now);

    bool dispatch_arrival(Request& request, Time now);
    void dispatch_queued(Group& group, Time now, std::vector<AdmissionDecision>& decisions);
    AdmissionDecision queue_or_reject(Request& request, Time now);
    RejectionCause queue_rejection(const Request& request, Time now) const;
    void displace(Group& group, const Flow& newcomer, Time now);
    void admit(Request& request, Time now);
    void dequeue(Request& request);
    void finish_in_flight(Request& request, Outcome outcome, std::uint64_t bytes, Time now);
    void reject_expired(Time now, std::vector<AdmissionDecision>& decisions);
    void reject_quarantined(Group& group, Time now, std::vector<AdmissionDecision>& decisions);
    AdmissionDecision reject_queued(Request& request, RejectionCause cause, Time now);
    // Rejects a request that is not queued.
    AdmissionDecision reject(Request& request, RejectionCause cause, Time now);
    Duration retry_after(const Request& request, RejectionCause cause, Time now) const;
    void record_usage(const Request& request, Duration duration, Time now);

    static constexpr std::size_t kMaxHeavyHitters = 64;

    Settings settings_;
    CostModel costs_;
    ShapesInFlight shapes_in_flight_;
    HeavyHitters<TenantShape> heavy_hitters_{kMaxHeavyHitters};
    Time heavy_hitters_halved_{};
    std::unordered_map<std::uint32_t, std::unique_ptr<Group>> groups_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Request>> requests_;  // by id
    std::map<std::pair<Time, std::uint64_t>, Request*> expiry_;  // queued requests by expiry time and id
    std::vector<AdmissionDecision> pending_decisions_;           // returned by the next release()
    std::size_t queued_ = 0;
    Counts counts_;
};

}  // namespace indigovane::limits
