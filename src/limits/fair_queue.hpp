// Queue and work in flight of one group of requests. The order is hierarchical start-time fair queueing
// (Goyal, Vin, Cheng, 1996) over tenants, weighted by their shares, and over two lanes within each tenant.
//
// Invariants: a request is queued, in flight or unknown. The work in flight is the sum of the charges of the
// requests in flight.
#pragma once

#include <array>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>

#include "limits/types.hpp"

namespace indigovane::limits {

struct QueuedRequest;

// Queued requests of a tenant that are all privileged or all not privileged.
struct Lane {
    std::list<QueuedRequest*> requests;  // in order of arrival
    double virtual_time = 0;
};

// Requests of one tenant in a group. Virtual times are in microseconds of work divided by a weight.
struct Flow {
    std::string name;
    double weight = 1;
    double virtual_time = 0;
    std::array<Lane, 2> lanes;      // index by QueuedRequest::is_privileged
    double lanes_virtual_time = 0;  // virtual start time, within the flow, of the request admitted last
    Duration queued_work{};         // sum of the charges of the queued requests
    std::size_t queued = 0;         // number of queued requests
    std::size_t in_flight = 0;      // number of requests in flight
};

// The part of a request that the queue uses. The owner must not move or destroy it before the request has
// ended.
struct QueuedRequest {
    Flow* flow = nullptr;
    bool is_privileged = false;
    Duration charge{};  // expected work of the request
    std::list<QueuedRequest*>::iterator position;
};

class FairQueue {
  public:
    // Capacity that next() has found exhausted. The caller passes it to consecutive calls.
    struct ExhaustedCapacity {
        bool is_full = false;               // no further request fits
        bool is_unprivileged_full = false;  // only the reserve for privileged requests is left
    };
    using Eligible = std::function<bool(const QueuedRequest&)>;

    // `settings` belongs to the owner, which may change them. It must then call update_weights().
    explicit FairQueue(const Settings& settings) : settings_(settings) {}

    // Returns the flow of a tenant, and adds it if necessary. The reference is valid while the flow is not
    // idle. Tenants without a weight of their own share one flow if weights are configured or if there are
    // too many flows.
    Flow& flow(std::string_view tenant);
    // Drops idle flows if there are many flows.
    void forget_idle_flows();
    // Applies changed shares of the settings to the flows.
    void update_weights();

    // Adds the request to the end of its lane.
    void enqueue(QueuedRequest& request);
    // Removes a queued request.
    void remove(QueuedRequest& request);
    // Returns the next request to admit; null: none. A request that does not fit blocks the smaller ones
    // behind it, because it would otherwise never be admitted. Requests that are not eligible are skipped.
    QueuedRequest* next(ExhaustedCapacity& exhausted, const Eligible& eligible);
    // Moves a queued request to the requests in flight.
    void admit(QueuedRequest& request);
    // Ends a request in flight. Its flow is charged for the work that the request really took.
    void finish(QueuedRequest& request, Duration work);

    // Returns the last request of the flow that is furthest beyond its share of the queue, if that flow is
    // further beyond its share than `newcomer`. Null: no request may be displaced.
    QueuedRequest* find_displaceable(const Flow& newcomer) const;
    // Returns the number of queued requests that a flow may have by its share, at least 2.
    std::size_t max_queued(const Flow& flow) const;
    // Returns the time until the queue of a flow has drained at its share of the group's rate, by Little's
    // law. `mean_duration_us` is the mean duration of a request in microseconds.
    Duration drain_time(const Flow& flow, double mean_duration_us) const;

    // Calls `visit` with each queued request.
    template <typename Visitor>
    void visit_queued(Visitor&& visit) const {
        for (const auto& [name, flow] : flows_)
            for (const Lane& lane : flow.lanes)
                for (QueuedRequest* request : lane.requests) visit(*request);
    }
    // Number of queued requests.
    std::size_t queued() const { return queued_; }
    // Number of requests in flight.
    std::size_t in_flight() const { return in_flight_; }
    Duration work_in_flight() const { return work_in_flight_; }

  private:
    // Sum of the weights of all flows that are not idle.
    double total_weight() const;
    double weight(std::string_view tenant) const;
    Duration unprivileged_capacity() const;
    bool fits(const QueuedRequest& request, ExhaustedCapacity& exhausted) const;
    static QueuedRequest* first_eligible(Flow& flow, bool privileged_only, const Eligible& eligible);

    const Settings& settings_;
    std::map<std::string, Flow, std::less<>> flows_;
    double virtual_time_ = 0;  // virtual start time of the request admitted last
    Duration work_in_flight_{};
    Duration unprivileged_work_in_flight_{};
    std::size_t queued_ = 0;
    std::size_t in_flight_ = 0;
};

}  // namespace indigovane::limits
