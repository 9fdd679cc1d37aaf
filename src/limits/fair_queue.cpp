#include "limits/fair_queue.hpp"

#include <algorithm>
#include <vector>

namespace indigovane::limits {

namespace {
// Weights of the two lanes of a tenant while both have queued requests. The index is
// QueuedRequest::is_privileged.
constexpr std::array<double, 2> kLaneWeights{1, 3};
// If no weights are configured, each tenant has its own flow up to this number of flows, and further tenants
// share one flow. If weights are configured, all tenants without a weight share one flow. This guards against
// a client that uses a new tenant name, and so gets a new share, for each request.
constexpr std::size_t kMaxUnnamedFlows = 64;
// Idle flows are dropped above this number of flows, in addition to those with a configured weight.
constexpr std::size_t kRetainedUnnamedFlows = kMaxUnnamedFlows / 2;
constexpr const char* kSharedFlow = "*";  // name of the flow that tenants share
constexpr double kMinWeight = 1e-9;       // guards against a division by zero
constexpr std::size_t kMinQueuedPerFlow = 2;

double queued_per_weight(const Flow& flow, std::size_t queued) {
    return double(queued) / flow.weight;
}
}  // namespace

double FairQueue::weight(std::string_view tenant) const {
    auto share = settings_.shares.find(std::string(tenant));
    return share != settings_.shares.end() ? share->second : settings_.other_share;
}

Flow& FairQueue::flow(std::string_view tenant) {
    bool has_own_weight = settings_.shares.count(std::string(tenant)) > 0;
    bool are_weights_configured = !settings_.shares.empty();
    if (auto it = flows_.find(tenant); it != flows_.end() && (has_own_weight || !are_weights_configured))
        return it->second;
    std::string_view key = tenant;
    if (!has_own_weight && (are_weights_configured || flows_.size() >= kMaxUnnamedFlows)) key = kSharedFlow;
    auto [it, inserted] = flows_.try_emplace(std::string(key));
    Flow& flow = it->second;
    if (inserted) {
        flow.name = key;
        flow.weight = has_own_weight ? weight(tenant) : settings_.other_share;
        flow.virtual_time = virtual_time_;
    }
    return flow;
}

void FairQueue::forget_idle_flows() {
    if (flows_.size() <= settings_.shares.size() + kRetainedUnnamedFlows) return;
    std::erase_if(flows_, [&](const auto& item) {
        const Flow& flow = item.second;
        return flow.queued == 0 && flow.in_flight == 0 && flow.virtual_time <= virtual_time_;
    });
}

void FairQueue::update_weights() {
    for (auto& [name, flow] : flows_) flow.weight = weight(name);
}

double FairQueue::total_weight() const {
    double total = 0;
    for (const auto& [name, flow] : flows_)
        if (flow.queued > 0 || flow.in_flight > 0) total += flow.weight;
    return std::max(total, kMinWeight);
}

void FairQueue::enqueue(QueuedRequest& request) {
    Flow& flow = *request.flow;
    // A flow or lane gets no credit for the time in which it was idle.
    if (flow.queued == 0 && flow.in_flight == 0)
        flow.virtual_time = std::max(flow.virtual_time, virtual_time_);
    Lane& lane = flow.lanes[request.is_privileged];
    if (lane.requests.empty()) lane.virtual_time = std::max(lane.virtual_time, flow.lanes_virtual_time);
    request.position = lane.requests.insert(lane.requests.end(), &request);
    flow.queued_work += request.charge;
    ++flow.queued;
    ++queued_;
}

void FairQueue::remove(QueuedRequest& request) {
    Flow& flow = *request.flow;
    flow.lanes[request.is_privileged].requests.erase(request.position);
    flow.queued_work -= request.charge;
    --flow.queued;
    --queued_;
}

// Returns the first eligible request of a lane. If both lanes have one, the lane with the lower virtual time
// goes first.
QueuedRequest* FairQueue::first_eligible(Flow& flow, bool privileged_only, const Eligible& eligible) {
    QueuedRequest* best = nullptr;
    for (bool is_privileged : {true, false}) {
        if (!is_privileged && privileged_only) continue;
        const Lane& lane = flow.lanes[is_privileged];
        auto first = std::find_if(lane.requests.begin(), lane.requests.end(),
                                  [&](const QueuedRequest* request) { return eligible(*request); });
        if (first == lane.requests.end()) continue;
        if (!best || lane.virtual_time < flow.lanes[best->is_privileged].virtual_time) best = *first;
    }
    return best;
}

Duration FairQueue::unprivileged_capacity() const {
    return Duration(std::int64_t(double(settings_.work.count()) * (1 - settings_.reserve)));
}

// A request with any charge fits while nothing is in flight. Without this rule a large request might never be
// admitted.
bool FairQueue::fits(const QueuedRequest& request, ExhaustedCapacity& exhausted) const {
    if (!request.is_privileged && unprivileged_work_in_flight_.count() > 0 &&
        unprivileged_work_in_flight_ + request.charge > unprivileged_capacity()) {
        exhausted.is_unprivileged_full = true;
        return false;
    }
    if (in_flight_ > 0 && work_in_flight_ + request.charge > settings_.work) {
        exhausted.is_full = true;
        return false;
    }
    return true;
}

QueuedRequest* FairQueue::next(ExhaustedCapacity& exhausted, const Eligible& eligible) {
    std::vector<Flow*> flows;
    for (auto& [name, flow] : flows_)
        if (flow.queued > 0) flows.push_back(&flow);
    std::sort(flows.begin(), flows.end(),
              [](const Flow* a, const Flow* b) { return a->virtual_time < b->virtual_time; });
    for (Flow* flow : flows) {
        while (QueuedRequest* request = first_eligible(*flow, exhausted.is_unprivileged_full, eligible)) {
            if (fits(*request, exhausted)) return request;
            if (exhausted.is_full) return nullptr;
        }
    }
    return nullptr;
}

void FairQueue::admit(QueuedRequest& request) {
    remove(request);
    Flow& flow = *request.flow;
    virtual_time_ = std::max(virtual_time_, flow.virtual_time);
    flow.virtual_time += double(request.charge.count()) / flow.weight;
    Lane& lane = flow.lanes[request.is_privileged];
    flow.lanes_virtual_time = std::max(flow.lanes_virtual_time, lane.virtual_time);
    lane.virtual_time += double(request.charge.count()) / kLaneWeights[request.is_privileged];
    work_in_flight_ += request.charge;
    if (!request.is_privileged) unprivileged_work_in_flight_ += request.charge;
    ++flow.in_flight;
    ++in_flight_;
}

void FairQueue::finish(QueuedRequest& request, Duration work) {
    Flow& flow = *request.flow;
    work_in_flight_ -= request.charge;
    if (!request.is_privileged) unprivileged_work_in_flight_ -= request.charge;
    --flow.in_flight;
    --in_flight_;
    flow.virtual_time += double((work - request.charge).count()) / flow.weight;
}

QueuedRequest* FairQueue::find_displaceable(const Flow& newcomer) const {
    const Flow* longest = nullptr;
    for (const auto& [name, flow] : flows_)
        if (!longest || queued_per_weight(flow, flow.queued) > queued_per_weight(*longest, longest->queued))
            longest = &flow;
    if (!longest || longest == &newcomer || longest->queued < 2) return nullptr;
    if (queued_per_weight(*longest, longest->queued - 1) < queued_per_weight(newcomer, newcomer.queued))
        return nullptr;
    for (const Lane& lane : longest->lanes)
        if (!lane.requests.empty()) return lane.requests.back();
    return nullptr;
}

std::size_t FairQueue::max_queued(const Flow& flow) const {
    double share = flow.weight / total_weight();
    return std::max(kMinQueuedPerFlow, std::size_t(double(settings_.queue) * share));
}

Duration FairQueue::drain_time(const Flow& flow, double mean_duration_us) const {
    auto work = double(flow.queued_work.count());
    bool is_idle = flow.queued + flow.in_flight == 0;  // its weight is not in total_weight()
    double share = flow.weight / (total_weight() + (is_idle ? flow.weight : 0));
    double work_rate =
        double(settings_.work.count()) / std::max(1.0, mean_duration_us);  // work done per unit of time
    return Duration(std::int64_t(work / std::max(kMinWeight, work_rate * share)));
}

}  // namespace indigovane::limits
