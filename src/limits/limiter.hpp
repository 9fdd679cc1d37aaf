// Admission control: which request is admitted now, which is queued, which is rejected. Each group of
// requests has a fair queue of its own (fair_queue.hpp); concurrency limits of single shapes (shape_caps.hpp)
// and quarantine (cost_model.hpp) stand beside it.
//
// Invariants: a request is queued, in flight, or unknown. For each queued one release() gives exactly one
// further decision.
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
    std::uint64_t id = 0;  // the caller's; not in use
    std::uint32_t group = 0;
    std::string_view tenant;
    ShapeId shape;
    Duration estimate{};      // where nothing is known of the shape
    bool privileged = false;  // a write or a session read: may use the reserve
    Time deadline{};
};

enum class Admission : std::uint8_t { admit, queue, reject };
enum class RejectionCause : std::uint8_t {
    none,
    queue_full,            // of the group
    share_full,            // the tenant's share of the queue
    deadline_unreachable,  // it would be admitted too late
    queue_timeout,         // it was queued for as long as it may be
    quarantined,           // its shape
};
// As it stands in logs.
const char* name(RejectionCause cause);

struct AdmissionDecision {
    std::uint64_t id = 0;
    Admission admission = Admission::admit;
    RejectionCause cause = RejectionCause::none;  // of a rejection
    std::optional<Duration> retry_after;          // of a rejection
};

// Used by one thread.
class Limiter {
  public:
    explicit Limiter(const Settings& settings);
    ~Limiter();

    // The decision on this request. Others that are decided because of it are given by release().
    AdmissionDecision arrive(const Arrival& arrival, Time now);
    // A request in flight has ended, or a queued one has been withdrawn. Unknown ids change nothing.
    void finish(std::uint64_t id, Outcome outcome, std::uint64_t bytes, Time now);
    // Appends the decisions on queued requests that have become due: admit or reject, never queue.
    void release(Time now, std::vector<AdmissionDecision>& decisions);
    // When release() is due at the latest, if nothing else happens; Time::min(): at once; nothing: never.
    std::optional<Time> next() const;
    // What is in flight and queued goes on under the new settings; costs are retained.
    void set(const Settings& settings);

    bool idle() const { return requests_.empty(); }
    std::size_t queued() const { return queued_; }
    std::size_t in_flight() const { return requests_.size() - queued_; }
    Duration work_in_flight(std::uint32_t group) const;

    std::vector<ShapePrior> priors(std::size_t limit) const { return costs_.priors(limit); }
    void load_prior(const ShapePrior& prior, Time now) { costs_.load_prior(prior, now); }

    // A shape's recent use by one tenant.
    struct ShapeUsage {
        ShapeId shape;
        std::string tenant;
        Duration work{};  // recent, by the heavy hitters' sketch
        ShapeCost cost;
        unsigned cap = 0;        // concurrency limit in a group; 0: none
        unsigned in_flight = 0;  // of all tenants and groups
    };
    // At most `limit`, the largest work first.
    std::vector<ShapeUsage> top(std::size_t limit, Time now) const;

    // Since the start.
    struct Counts {
        std::uint64_t admitted = 0;
        std::uint64_t queued = 0;
        std::uint64_t rejected = 0;
        std::uint64_t capped = 0;  // of the queued ones, by their shape's concurrency limit
        std::uint64_t probes = 0;  // of quarantined shapes
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
    AdmissionDecision reject(Request& request, RejectionCause cause, Time now);  // one that is not queued
    Duration retry_after(const Request& request, RejectionCause cause, Time now) const;
    void record_usage(const Request& request, Duration took, Time now);

    static constexpr std::size_t kHeavyHitters = 64;

    Settings settings_;
    CostModel costs_;
    ShapesInFlight shapes_in_flight_;
    HeavyHitters<TenantShape> heavy_hitters_{kHeavyHitters};
    Time heavy_hitters_halved_{};
    std::unordered_map<std::uint32_t, std::unique_ptr<Group>> groups_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Request>> requests_;  // by id
    std::map<std::pair<Time, std::uint64_t>, Request*> expiry_;             // queued ones, by time and id
    std::vector<AdmissionDecision> pending_decisions_;                      // of the next release()
    std::size_t queued_ = 0;
    Counts counts_;
};

}  // namespace indigovane::limits
