#include "limits/limiter.hpp"

#include <algorithm>

namespace indigovane::limits {

namespace {
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration kInitialMeanDuration = std::chrono::milliseconds(20);
constexpr double kMeanWeight = 0.05;  // weight of one request in the mean duration of a group
constexpr std::size_t kMaxGroups = 256;
constexpr Duration kHeavyHittersHalfLife = std::chrono::seconds(10);
}  // namespace

struct Limiter::Group {
    Group(std::uint32_t group_number, const Settings& settings) : number(group_number), queue(settings) {}

    std::uint32_t number;
    FairQueue queue;
    GroupOutcomes outcomes;
    double mean_duration_us = double(kInitialMeanDuration.count());  // of requests that ended recently
    // The state has changed since the last release(), so that the next one must check the queue.
    bool needs_release = false;
};

struct Limiter::Request : QueuedRequest {
    Arrival arrival;
    Group* group = nullptr;
    Time started{};  // when the request was admitted; before that, when it arrived
    Time expires{};  // when a queued request is rejected
    bool is_queued = false;
    bool is_probe = false;  // a probe of a quarantined shape
};

const char* name(RejectionCause cause) {
    static constexpr const char* kNames[] = {"",
                                             "the queue is full",
                                             "its share of the queue is full",
                                             "it could not be in time",
                                             "it has waited long enough",
                                             "its shape is quarantined"};
    return kNames[std::size_t(cause)];
}

Limiter::Limiter(const Settings& settings) : settings_(settings), costs_(settings) {}
Limiter::~Limiter() = default;

Limiter::Group& Limiter::group(std::uint32_t number) {
    if (auto it = groups_.find(number); it != groups_.end()) return *it->second;
    // Clients choose group numbers. Idle groups are dropped, because their number would otherwise grow
    // without bound.
    if (groups_.size() > kMaxGroups)
        std::erase_if(groups_, [](const auto& item) {
            const FairQueue& queue = item.second->queue;
            return queue.queued() == 0 && queue.in_flight() == 0;
        });
    auto& group = groups_[number];
    group = std::make_unique<Group>(number, settings_);
    return *group;
}

Duration Limiter::work_in_flight(std::uint32_t number) const {
    auto it = groups_.find(number);
    return it == groups_.end() ? Duration::zero() : it->second->queue.work_in_flight();
}

ShapeCost Limiter::cost(const Request& request, Time now) const {
    return costs_.cost(request.arrival.shape, request.arrival.estimate, request.group->outcomes, now);
}

bool Limiter::is_capped(const Request& request, Time now) const {
    auto cap = shape_cap(cost(request, now), settings_);
    return cap && shapes_in_flight_.count(request.group->number, request.arrival.shape) >= *cap;
}

// ---- arrivals ------------------------------------------------------------------------------------

AdmissionDecision Limiter::arrive(const Arrival& arrival, Time now) {
    Request& request = add_request(arrival, now);
    ShapeCost shape_cost = cost(request, now);
    if (shape_cost.state == ShapeState::quarantined) {
        if (!may_probe(request, shape_cost, now)) return reject(request, RejectionCause::quarantined, now);
        costs_.record_probe(arrival.shape, now);
        request.is_probe = true;
        ++counts_.probes;
    }
    set_charge(request, shape_cost, now);
    if (dispatch_arrival(request, now))
        return {arrival.id, Admission::admit, RejectionCause::none, std::nullopt};
    return queue_or_reject(request, now);
}

Limiter::Request& Limiter::add_request(const Arrival& arrival, Time now) {
    auto& request = requests_[arrival.id];
    request = std::make_unique<Request>();
    Group& target = group(arrival.group);
    request->group = &target;
    request->flow = &target.queue.flow(arrival.tenant);
    request->is_privileged = arrival.privileged;
    request->arrival = arrival;
    request->arrival.tenant = request->flow->name;  // the caller's string is valid only during the call
    request->started = now;
    return *request;
}

// Admits one probe of a quarantined shape at a time in each group, when the next probe is due.
bool Limiter::may_probe(const Request& request, const ShapeCost& cost, Time now) const {
    return now >= cost.next_probe_at &&
           shapes_in_flight_.count(request.group->number, request.arrival.shape) == 0;
}

void Limiter::set_charge(Request& request, const ShapeCost& cost, Time now) {
    Duration half_of_time_left = std::max(Duration::zero(), (request.arrival.deadline - now) / 2);
    request.expires = now + std::min(settings_.wait, half_of_time_left);
    // A larger charge might never fit into the capacity.
    auto max_charge = Duration(std::int64_t(double(settings_.work.count()) * (1 - settings_.reserve) / 2));
    request.charge = std::clamp(cost.mean, Duration(1), std::max(Duration(1), max_charge));
}

// Adds the request to the queue, from where it may be admitted at once. Returns whether it was admitted.
// Other queued requests may be admitted too: release() returns their decisions and is then due at once.
bool Limiter::dispatch_arrival(Request& request, Time now) {
    Group& group = *request.group;
    group.queue.enqueue(request);
    request.is_queued = true;
    ++queued_;
    std::vector<AdmissionDecision> admitted;
    dispatch_queued(group, now, admitted);
    for (const AdmissionDecision& decision : admitted) {
        if (decision.id == request.arrival.id) continue;
        pending_decisions_.push_back(decision);
        group.needs_release = true;
    }
    return !request.is_queued;
}

AdmissionDecision Limiter::queue_or_reject(Request& request, Time now) {
    Group& group = *request.group;
    if (group.queue.queued() > settings_.queue) displace(group, *request.flow, now);
    RejectionCause cause = queue_rejection(request, now);
    if (cause != RejectionCause::none) return reject_queued(request, cause, now);
    expiry_.emplace(std::pair(request.expires, request.arrival.id), &request);
    ++counts_.queued;
    if (is_capped(request, now)) ++counts_.capped;
    return {request.arrival.id, Admission::queue, RejectionCause::none, std::nullopt};
}

RejectionCause Limiter::queue_rejection(const Request& request, Time now) const {
    const FairQueue& queue = request.group->queue;
    const Flow& flow = *request.flow;
    if (queue.queued() > settings_.queue) return RejectionCause::queue_full;
    if (flow.queued > queue.max_queued(flow)) return RejectionCause::share_full;
    Duration queueing_time =
        std::min(queue.drain_time(flow, request.group->mean_duration_us), settings_.wait);
    if (request.expires <= now || now + queueing_time + request.charge > request.arrival.deadline)
        return RejectionCause::deadline_unreachable;
    return RejectionCause::none;
}

// Makes room for a tenant that becomes active when other tenants have filled the queue beyond their shares.
void Limiter::displace(Group& group, const Flow& newcomer, Time now) {
    QueuedRequest* displaced = group.queue.find_displaceable(newcomer);
    if (!displaced) return;
    pending_decisions_.push_back(
        reject_queued(static_cast<Request&>(*displaced), RejectionCause::share_full, now));
}

// ---- the queue -----------------------------------------------------------------------------------

void Limiter::dispatch_queued(Group& group, Time now, std::vector<AdmissionDecision>& decisions) {
    FairQueue::ExhaustedCapacity exhausted;
    FairQueue::Eligible eligible = [this, now](const QueuedRequest& queued) {
        const auto& request = static_cast<const Request&>(queued);
        return request.is_probe || !is_capped(request, now);
    };
    while (QueuedRequest* next = group.queue.next(exhausted, eligible)) {
        auto& request = static_cast<Request&>(*next);
        admit(request, now);
        decisions.push_back({request.arrival.id, Admission::admit, RejectionCause::none, std::nullopt});
    }
}

void Limiter::admit(Request& request, Time now) {
    Group& group = *request.group;
    expiry_.erase({request.expires, request.arrival.id});
    group.queue.admit(request);
    request.is_queued = false;
    --queued_;
    request.started = now;
    shapes_in_flight_.add(group.number, request.arrival.shape);
    ++counts_.admitted;
}

void Limiter::dequeue(Request& request) {
    expiry_.erase({request.expires, request.arrival.id});
    request.group->queue.remove(request);
    request.is_queued = false;
    --queued_;
}

void Limiter::release(Time now, std::vector<AdmissionDecision>& decisions) {
    decisions.insert(decisions.end(), pending_decisions_.begin(), pending_decisions_.end());
    pending_decisions_.clear();
    reject_expired(now, decisions);
    for (auto& [number, group] : groups_) {
        bool needs_release = std::exchange(group->needs_release, false);
        if (!needs_release || group->queue.queued() == 0) continue;
        reject_quarantined(*group, now, decisions);
        dispatch_queued(*group, now, decisions);
    }
}

std::optional<Time> Limiter::next() const {
    if (!pending_decisions_.empty()) return Time::min();
    for (const auto& [number, group] : groups_)
        if (group->needs_release && group->queue.queued() > 0) return Time::min();
    if (expiry_.empty()) return std::nullopt;
    auto [expires, id] = expiry_.begin()->first;
    return expires;
}

// ---- rejections ----------------------------------------------------------------------------------

void Limiter::reject_expired(Time now, std::vector<AdmissionDecision>& decisions) {
    while (!expiry_.empty() && expiry_.begin()->first.first <= now) {
        Request& request = *expiry_.begin()->second;
        request.group->needs_release = true;
        decisions.push_back(reject_queued(request, RejectionCause::queue_timeout, now));
    }
}

// Rejects queued requests whose shape was quarantined while they were queued, except probes.
void Limiter::reject_quarantined(Group& group, Time now, std::vector<AdmissionDecision>& decisions) {
    std::vector<Request*> quarantined;
    group.queue.visit_queued([&](QueuedRequest& queued) {
        auto& request = static_cast<Request&>(queued);
        if (!request.is_probe && cost(request, now).state == ShapeState::quarantined)
            quarantined.push_back(&request);
    });
    for (Request* request : quarantined)
        decisions.push_back(reject_queued(*request, RejectionCause::quarantined, now));
}

AdmissionDecision Limiter::reject_queued(Request& request, RejectionCause cause, Time now) {
    dequeue(request);
    return reject(request, cause, now);
}

AdmissionDecision Limiter::reject(Request& request, RejectionCause cause, Time now) {
    AdmissionDecision decision{request.arrival.id, Admission::reject, cause, std::nullopt};
    if (settings_.retry_after) decision.retry_after = retry_after(request, cause, now);
    ++counts_.rejected;
    requests_.erase(decision.id);
    return decision;
}

Duration Limiter::retry_after(const Request& request, RejectionCause cause, Time now) const {
    const Group& group = *request.group;
    Duration delay = cause == RejectionCause::quarantined
                         ? cost(request, now).next_probe_at - now
                         : group.queue.drain_time(*request.flow, group.mean_duration_us) +
                               Duration(std::int64_t(group.mean_duration_us));
    return std::clamp(delay, kMinRetryAfter, std::max(kMinRetryAfter, settings_.max_retry_after));
}

// ---- ended requests ------------------------------------------------------------------------------

void Limiter::finish(std::uint64_t id, Outcome outcome, std::uint64_t bytes, Time now) {
    auto it = requests_.find(id);
    if (it == requests_.end()) return;
    Request& request = *it->second;
    Group& group = *request.group;
    group.needs_release = true;
    if (request.is_queued)
        dequeue(request);
    else
        finish_in_flight(request, outcome, bytes, now);
    requests_.erase(it);
    group.queue.forget_idle_flows();
}

void Limiter::finish_in_flight(Request& request, Outcome outcome, std::uint64_t bytes, Time now) {
    Group& group = *request.group;
    Duration duration = std::max(Duration(1), now - request.started);
    shapes_in_flight_.remove(group.number, request.arrival.shape);
    bool has_run = outcome != Outcome::never_ran;
    group.queue.finish(request, has_run ? duration : Duration::zero());
    if (has_run) {
        group.mean_duration_us += (double(duration.count()) - group.mean_duration_us) * kMeanWeight;
        record_usage(request, duration, now);
    }
    costs_.record(request.arrival.shape, outcome, duration, bytes, group.outcomes, now);
}

void Limiter::record_usage(const Request& request, Duration duration, Time now) {
    heavy_hitters_.add({request.arrival.shape, request.flow->name}, double(duration.count()));
    if (now - heavy_hitters_halved_ <= kHeavyHittersHalfLife) return;
    heavy_hitters_halved_ = now;
    heavy_hitters_.halve();
}

// ---- settings and usage --------------------------------------------------------------------------

void Limiter::set(const Settings& settings) {
    settings_ = settings;
    costs_.set(settings);
    for (auto& [number, group] : groups_) {
        group->needs_release = true;
        group->queue.update_weights();
    }
}

std::vector<Limiter::ShapeUsage> Limiter::top(std::size_t limit, Time now) const {
    std::vector<ShapeUsage> usages;
    for (const auto& counter : heavy_hitters_.top(limit)) {
        ShapeUsage usage;
        usage.shape = counter.key.shape;
        usage.tenant = counter.key.tenant;
        usage.work = Duration(std::int64_t(counter.weight));
        usage.cost = costs_.cost(counter.key.shape, Duration(1), GroupOutcomes{}, now);
        usage.cap = shape_cap(usage.cost, settings_).value_or(0);
        usage.in_flight = shapes_in_flight_.count(counter.key.shape);
        usages.push_back(std::move(usage));
    }
    return usages;
}

}  // namespace indigovane::limits
