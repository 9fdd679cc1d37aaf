// The queue and the work in flight of one group of requests: hierarchical start-time fair queueing (Goyal,
// Vin, Cheng, 1996) over tenants, weighted by their shares, and within each tenant over two lanes.
//
// Invariants: a request is queued, in flight, or unknown here. The work in flight is the sum of the charges
// of the requests in flight.
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

struct Lane {
    std::list<QueuedRequest*> queued;  // in order of arrival
    double virtual_time = 0;
};

// A tenant's flow in a group. Virtual times are microseconds of work divided by a weight.
struct Flow {
    std::string name;
    double weight = 1;
    double virtual_time = 0;
    std::array<Lane, 2> lanes;      // 0: other requests, 1: privileged ones
    double lanes_virtual_time = 0;  // start of the request that was admitted last
    Duration queued_work{};
    std::size_t queued = 0;
    std::size_t in_flight = 0;
};

// What the queue has to know of a request. Its owner keeps it where it is until it has ended.
struct QueuedRequest {
    Flow* flow = nullptr;
    bool privileged = false;
    Duration charge{};  // work that it is expected to need
    std::list<QueuedRequest*>::iterator place;
};

class FairQueue {
  public:
    // Capacity that was found exhausted while requests were taken one after another.
    struct Exhausted {
        bool all = false;           // nothing more fits
        bool unprivileged = false;  // only the reserve is left
    };
    using Eligible = std::function<bool(const QueuedRequest&)>;

    // The settings are the owner's, and change with it: see update_weights().
    explicit FairQueue(const Settings& settings) : settings_(settings) {}

    // The flow that counts for a tenant; a reference that holds while the flow is not idle. Tenants without a
    // weight of their own share one flow where weights are configured, or where there are too many.
    Flow& flow(std::string_view tenant);
    void forget_idle_flows();
    void update_weights();

    void enqueue(QueuedRequest& request);  // at the end of its lane
    void remove(QueuedRequest& request);   // one that is queued
    // The request that is to be admitted next; null: none. One that does not fit is waited for: smaller ones
    // behind it do not pass, or it would never be admitted. What is not eligible is passed over.
    QueuedRequest* next(Exhausted& exhausted, const Eligible& eligible);
    void admit(QueuedRequest& request);  // one that is queued: it is in flight from now on
    // One in flight has ended. Its flow is charged by the work that it took.
    void finish(QueuedRequest& request, Duration work);

    // The last request of the flow that is furthest beyond its share of the queue, if further than
    // `newcomer`; null: none.
    QueuedRequest* displaceable(const Flow& newcomer) const;
    // The queue's places that a flow has by its share; at least 2.
    std::size_t places(const Flow& flow) const;
    // Until a flow's queue has drained at its share of the group's rate, by Little's law. `mean_us`: what a
    // request takes.
    Duration drain_time(const Flow& flow, double mean_us) const;

    template <typename Visitor>
    void each_queued(Visitor&& visit) const {
        for (const auto& [name, flow] : flows_)
            for (const Lane& lane : flow.lanes)
                for (QueuedRequest* request : lane.queued) visit(*request);
    }
    std::size_t queued() const { return queued_; }
    std::size_t in_flight() const { return in_flight_; }
    Duration work_in_flight() const { return work_in_flight_; }

  private:
    double total_weight() const;  // of flows that are not idle
    double weight(std::string_view tenant) const;
    Duration unprivileged_capacity() const;
    bool fits(const QueuedRequest& request, Exhausted& exhausted) const;
    static QueuedRequest* first_eligible(Flow& flow, bool privileged_only, const Eligible& eligible);

    const Settings& settings_;
    std::map<std::string, Flow, std::less<>> flows_;
    double virtual_time_ = 0;  // start of the request that was admitted last
    Duration work_in_flight_{};
    Duration unprivileged_work_in_flight_{};
    std::size_t queued_ = 0;
    std::size_t in_flight_ = 0;
};

}  // namespace indigovane::limits
