#include "limits/fair_queue.hpp"

#include <algorithm>
#include <vector>

namespace indigovane::limits {

namespace {
// Within a tenant, where both lanes have queued requests; by QueuedRequest::privileged.
constexpr std::array<double, 2> kLaneWeights{1, 3};
// Tenants without a weight of their own have a flow each up to this many where no weights are configured at
// all, else one flow together. Guards against a client that takes a new name, and so a new share, for each
// request.
constexpr std::size_t kMaxUnnamedFlows = 64;
constexpr std::size_t kRetainedUnnamedFlows = kMaxUnnamedFlows / 2;
constexpr const char* kSharedFlow = "*";
constexpr double kMinWeight = 1e-9;
constexpr std::size_t kMinPlaces = 2;

double queued_per_weight(const Flow& flow, std::size_t queued) {
    return double(queued) / flow.weight;
}
}  // namespace

double FairQueue::weight(std::string_view tenant) const {
    auto share = settings_.shares.find(std::string(tenant));
    return share != settings_.shares.end() ? share->second : settings_.other_share;
}

Flow& FairQueue::flow(std::string_view tenant) {
    bool named = settings_.shares.count(std::string(tenant)) > 0;
    bool any_named = !settings_.shares.empty();
    if (auto it = flows_.find(tenant); it != flows_.end() && (named || !any_named)) return it->second;
    std::string_view key = tenant;
    if (!named && (any_named || flows_.size() >= kMaxUnnamedFlows)) key = kSharedFlow;
    auto [it, inserted] = flows_.try_emplace(std::string(key));
    Flow& flow = it->second;
    if (inserted) {
        flow.name = key;
        flow.weight = named ? weight(tenant) : settings_.other_share;
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
    // Time that a flow or lane was idle earns no credit.
    if (flow.queued == 0 && flow.in_flight == 0)
        flow.virtual_time = std::max(flow.virtual_time, virtual_time_);
    Lane& lane = flow.lanes[request.privileged];
    if (lane.queued.empty()) lane.virtual_time = std::max(lane.virtual_time, flow.lanes_virtual_time);
    request.place = lane.queued.insert(lane.queued.end(), &request);
    flow.queued_work += request.charge;
    ++flow.queued;
    ++queued_;
}

void FairQueue::remove(QueuedRequest& request) {
    Flow& flow = *request.flow;
    flow.lanes[request.privileged].queued.erase(request.place);
    flow.queued_work -= request.charge;
    --flow.queued;
    --queued_;
}

// By the lanes' virtual times, the first request of a lane that is eligible.
QueuedRequest* FairQueue::first_eligible(Flow& flow, bool privileged_only, const Eligible& eligible) {
    QueuedRequest* best = nullptr;
    for (bool privileged : {true, false}) {
        if (!privileged && privileged_only) continue;
        const Lane& lane = flow.lanes[privileged];
        auto first = std::find_if(lane.queued.begin(), lane.queued.end(),
                                  [&](const QueuedRequest* request) { return eligible(*request); });
        if (first == lane.queued.end()) continue;
        if (!best || lane.virtual_time < flow.lanes[best->privileged].virtual_time) best = *first;
    }
    return best;
}

Duration FairQueue::unprivileged_capacity() const {
    return Duration(std::int64_t(double(settings_.work.count()) * (1 - settings_.reserve)));
}

// A request of any charge fits where nothing is in flight, so that it is admitted some time.
bool FairQueue::fits(const QueuedRequest& request, Exhausted& exhausted) const {
    if (!request.privileged && unprivileged_work_in_flight_.count() > 0 &&
        unprivileged_work_in_flight_ + request.charge > unprivileged_capacity()) {
        exhausted.unprivileged = true;
        return false;
    }
    if (in_flight_ > 0 && work_in_flight_ + request.charge > settings_.work) {
        exhausted.all = true;
        return false;
    }
    return true;
}

QueuedRequest* FairQueue::next(Exhausted& exhausted, const Eligible& eligible) {
    std::vector<Flow*> flows;
    for (auto& [name, flow] : flows_)
        if (flow.queued > 0) flows.push_back(&flow);
    std::sort(flows.begin(), flows.end(),
              [](const Flow* a, const Flow* b) { return a->virtual_time < b->virtual_time; });
    for (Flow* flow : flows) {
        while (QueuedRequest* request = first_eligible(*flow, exhausted.unprivileged, eligible)) {
            if (fits(*request, exhausted)) return request;
            if (exhausted.all) return nullptr;
        }
    }
    return nullptr;
}

void FairQueue::admit(QueuedRequest& request) {
    remove(request);
    Flow& flow = *request.flow;
    virtual_time_ = std::max(virtual_time_, flow.virtual_time);
    flow.virtual_time += double(request.charge.count()) / flow.weight;
    Lane& lane = flow.lanes[request.privileged];
    flow.lanes_virtual_time = std::max(flow.lanes_virtual_time, lane.virtual_time);
    lane.virtual_time += double(request.charge.count()) / kLaneWeights[request.privileged];
    work_in_flight_ += request.charge;
    if (!request.privileged) unprivileged_work_in_flight_ += request.charge;
    ++flow.in_flight;
    ++in_flight_;
}

void FairQueue::finish(QueuedRequest& request, Duration work) {
    Flow& flow = *request.flow;
    work_in_flight_ -= request.charge;
    if (!request.privileged) unprivileged_work_in_flight_ -= request.charge;
    --flow.in_flight;
    --in_flight_;
    flow.virtual_time += double((work - request.charge).count()) / flow.weight;
}

QueuedRequest* FairQueue::displaceable(const Flow& newcomer) const {
    const Flow* longest = nullptr;
    for (const auto& [name, flow] : flows_)
        if (!longest || queued_per_weight(flow, flow.queued) > queued_per_weight(*longest, longest->queued))
            longest = &flow;
    if (!longest || longest == &newcomer || longest->queued < 2) return nullptr;
    if (queued_per_weight(*longest, longest->queued - 1) < queued_per_weight(newcomer, newcomer.queued))
        return nullptr;
    for (const Lane& lane : longest->lanes)
        if (!lane.queued.empty()) return lane.queued.back();
    return nullptr;
}

std::size_t FairQueue::places(const Flow& flow) const {
    double share = flow.weight / total_weight();
    return std::max(kMinPlaces, std::size_t(double(settings_.queue) * share));
}

Duration FairQueue::drain_time(const Flow& flow, double mean_us) const {
    auto work = double(flow.queued_work.count());
    bool idle = flow.queued + flow.in_flight == 0;  // not in the total yet
    double share = flow.weight / (total_weight() + (idle ? flow.weight : 0));
    double work_rate = double(settings_.work.count()) / std::max(1.0, mean_us);  // of work, per time
    return Duration(std::int64_t(work / std::max(kMinWeight, work_rate * share)));
}

}  // namespace indigovane::limits
