#include "limits/limiter.hpp"

#include <algorithm>
#include <utility>

namespace indigovane::limits {

namespace {
constexpr double kLaneWeight[2] = {1, 3};  // within a laundry, where both have something to send
// Laundries that nobody has named: each a flow of its own up to so many where no shares are configured at
// all, else all in one. Guards against a client that takes a new name for each request and so a new share.
constexpr std::size_t kNamelessFlows = 64;
constexpr const char* kOthers = "*";
constexpr Duration kLeastRetry = std::chrono::milliseconds(20);
constexpr std::size_t kGroups = 256;
constexpr Duration kHalve = std::chrono::seconds(10);
}  // namespace

const char* name(Cause cause) {
    static constexpr const char* names[] = {"",
                                            "the queue is full",
                                            "its share of the queue is full",
                                            "it could not be in time",
                                            "it has waited long enough",
                                            "its shape is quarantined"};
    return names[std::size_t(cause)];
}

Limiter::Limiter(const Settings& settings) : settings_(settings), costs_(settings) {}
Limiter::~Limiter() = default;

Limiter::Group& Limiter::group(std::uint32_t number) {
    if (auto it = groups_.find(number); it != groups_.end()) return *it->second;
    // Clients name groups: those that nobody uses are forgotten, lest they grow without end.
    if (groups_.size() > kGroups)
        std::erase_if(
            groups_, [](const auto& item) { return item.second->waiting == 0 && item.second->running == 0; });
    auto& g = groups_[number] = std::make_unique<Group>();
    g->number = number;
    return *g;
}

Limiter::Flow& Limiter::flow(Group& g, std::string_view tenant) {
    auto share = settings_.shares.find(std::string(tenant));
    bool named = share != settings_.shares.end();
    if (auto it = g.flows.find(tenant); it != g.flows.end() && (named || settings_.shares.empty()))
        return it->second;
    std::string_view key = tenant;
    if (!named && (!settings_.shares.empty() || g.flows.size() >= kNamelessFlows)) key = kOthers;
    auto [it, fresh] = g.flows.try_emplace(std::string(key));
    if (fresh) {
        it->second.name = key;
        it->second.weight = named ? share->second : settings_.other_share;
        it->second.virtual_time = g.virtual_time;
    }
    return it->second;
}

double Limiter::total_weight(const Group& g) const {
    double total = 0;
    for (const auto& [name, f] : g.flows)
        if (f.waiting > 0 || f.in_flight > 0) total += f.weight;
    return std::max(total, 1e-9);
}

Duration Limiter::work(std::uint32_t number) const {
    auto it = groups_.find(number);
    return it == groups_.end() ? Duration::zero() : it->second->in_flight;
}

// How many of a shape may be in flight in a group; 0: no cap.
unsigned Limiter::cap(const CostModel::View& view) const {
    switch (view.standing) {
        case ShapeState::known:
            return 0;
        case ShapeState::trial:
            return settings_.trial;
        case ShapeState::quarantined:
            return 1;
        case ShapeState::costly:
            break;
    }
    // By its tail: a shape that is cheap for most literals is held back by what it does with the others.
    double part = settings_.shape_share * double(settings_.work.count());
    return std::max(1u, unsigned(part / double(std::max<std::int64_t>(1, view.tail.count()))));
}

bool Limiter::capped(const Entry& e, Time now) const {
    unsigned most = cap(costs_.view(e.arrival.shape, e.arrival.estimate, e.group->pulse, now));
    if (most == 0) return false;
    auto it = running_.find({e.group->number, e.arrival.shape});
    return it != running_.end() && it->second >= most;
}

// By Little's law: what waits of this laundry, at its part of the rate at which work leaves the group.
Duration Limiter::drain_time(const Group& g, const Flow& f) const {
    double work = double(f.waiting_work.count());
    double part = f.weight / (total_weight(g) + (f.waiting + f.in_flight == 0 ? f.weight : 0));
    double rate = double(settings_.work.count()) / std::max(1.0, g.mean_us);  // of work, a unit of time
    return Duration(std::int64_t(work / std::max(1e-9, rate * part)));
}

AdmissionDecision Limiter::refusal(const Entry& e, Cause cause, Time now) const {
    AdmissionDecision v{e.arrival.id, Admission::refuse, cause, std::nullopt};
    if (!settings_.retry_after) return v;
    Duration after = drain_time(*e.group, *e.flow) + Duration(std::int64_t(e.group->mean_us));
    if (cause == Cause::quarantined) {
        auto view = costs_.view(e.arrival.shape, e.arrival.estimate, e.group->pulse, now);
        after = std::max(kLeastRetry, view.probe_at - now);
    }
    v.retry_after = std::clamp(after, kLeastRetry, std::max(kLeastRetry, settings_.max_retry_after));
    return v;
}

// One that waits is refused and forgotten.
AdmissionDecision Limiter::give_up(Entry& e, Cause cause, Time now) {
    take_out(e);
    return refuse(e, cause, now);
}

AdmissionDecision Limiter::refuse(Entry& e, Cause cause, Time now) {
    AdmissionDecision v = refusal(e, cause, now);
    ++counts_.refused;
    entries_.erase(v.id);
    return v;
}

AdmissionDecision Limiter::arrive(const Arrival& arrival, Time now) {
    auto& held = entries_[arrival.id];
    held = std::make_unique<Entry>();
    Entry& e = *held;
    Group& g = group(arrival.group);
    Flow& f = flow(g, arrival.tenant);
    e.arrival = arrival;
    e.tenant = f.name;
    e.arrival.tenant = e.tenant;
    e.group = &g;
    e.flow = &f;
    e.since = now;
    auto view = costs_.view(arrival.shape, arrival.estimate, g.pulse, now);
    if (view.standing == ShapeState::quarantined) {
        auto running = running_.find({g.number, arrival.shape});
        bool free = running == running_.end() || running->second == 0;
        if (now < view.probe_at || !free) return refuse(e, Cause::quarantined, now);
        costs_.probed(arrival.shape, now);
        e.probe = true;
        ++counts_.probes;
    }
    Duration half = std::max(Duration::zero(), (arrival.deadline - now) / 2);
    e.expires = now + std::min(settings_.wait, half);
    // No charge may be so large that there would never be room for it.
    auto largest = Duration(std::int64_t(double(settings_.work.count()) * (1 - settings_.reserve) / 2));
    e.charge = std::clamp(view.mean, Duration(1), std::max(Duration(1), largest));

    // It joins the queue, and may be the one that goes.
    if (f.waiting == 0 && f.in_flight == 0) f.virtual_time = std::max(f.virtual_time, g.virtual_time);
    Lane& lane = f.lanes[arrival.privileged];
    if (lane.waiting.empty()) lane.virtual_time = std::max(lane.virtual_time, f.lane_time);
    e.place = lane.waiting.insert(lane.waiting.end(), &e);
    f.waiting_work += e.charge;
    ++f.waiting, ++g.waiting, ++waiting_;
    std::vector<AdmissionDecision> went;
    bool alone = g.waiting == 1;
    dispatch_queued(g, now, went);
    bool goes = !e.waits;
    if (!alone && (went.size() > 1 || (went.size() == 1 && !goes)))
        g.due = true;  // the others are told by release(), which comes at once
    for (const AdmissionDecision& v : went)
        if (v.id != arrival.id) pending_decisions_.push_back(v);
    if (goes) return {arrival.id, Admission::go, Cause::none, std::nullopt};

    // Whoever is within its part of the queue gets its place: the one furthest beyond its own gives way.
    if (g.waiting > settings_.queue) displace(g, f, now);
    Cause cause = Cause::none;
    double part = f.weight / total_weight(g);
    auto own = std::max<std::size_t>(2, std::size_t(double(settings_.queue) * part));
    Duration ahead = drain_time(g, f);
    if (g.waiting > settings_.queue)
        cause = Cause::queue_full;
    else if (f.waiting > own && f.waiting > 2)
        cause = Cause::share_full;
    else if (e.expires <= now || now + std::min(ahead, settings_.wait) + e.charge > arrival.deadline)
        cause = Cause::too_late;
    if (cause != Cause::none) return give_up(e, cause, now);
    expiry_.emplace(std::pair(e.expires, arrival.id), &e);
    ++counts_.waited;
    if (capped(e, now)) ++counts_.capped;
    return {arrival.id, Admission::wait, Cause::none, std::nullopt};
}

// Guards a laundry that wakes against a queue that others have filled: theirs is more than their part.
void Limiter::displace(Group& g, const Flow& newcomer, Time now) {
    Flow* most = nullptr;
    for (auto& [name, f] : g.flows)
        if (!most || double(f.waiting) / f.weight > double(most->waiting) / most->weight) most = &f;
    if (!most || most == &newcomer || most->waiting < 2 ||
        double(most->waiting - 1) / most->weight < double(newcomer.waiting) / newcomer.weight)
        return;
    for (Lane& lane : most->lanes) {
        if (lane.waiting.empty()) continue;
        Entry& last = *lane.waiting.back();
        pending_decisions_.push_back(give_up(last, Cause::share_full, now));
        return;
    }
}

// The next of a laundry that could go: by the lanes' virtual times, the first of a lane that no cap holds.
Limiter::Entry* Limiter::choose(Group& g, Flow& f, bool plain_blocked, bool& full, bool& plain_full,
                                Time now) {
    Entry* best = nullptr;
    for (int l : {1, 0}) {
        if (l == 0 && plain_blocked) continue;
        for (Entry* e : f.lanes[l].waiting) {
            if (!e->probe && capped(*e, now)) continue;
            if (!best || f.lanes[l].virtual_time < f.lanes[best->arrival.privileged].virtual_time) best = e;
            break;
        }
    }
    if (!best) return nullptr;
    auto plain_most = Duration(std::int64_t(double(settings_.work.count()) * (1 - settings_.reserve)));
    if (!best->arrival.privileged && g.plain_in_flight + best->charge > plain_most &&
        g.plain_in_flight.count() > 0) {
        plain_full = true;
        return plain_blocked ? nullptr : choose(g, f, true, full, plain_full, now);
    }
    if (g.in_flight + best->charge > settings_.work && g.running > 0) {
        full = true;
        return nullptr;
    }
    return best;
}

// Whoever is due, in order of virtual time. One that does not fit is waited for: smaller ones behind it do
// not pass, or it would never go.
void Limiter::dispatch_queued(Group& g, Time now, std::vector<AdmissionDecision>& out) {
    bool full = false, plain_blocked = false;
    std::vector<Flow*> flows;
    while (!full && g.waiting > 0) {
        flows.clear();
        for (auto& [name, f] : g.flows)
            if (f.waiting > 0) flows.push_back(&f);
        std::sort(flows.begin(), flows.end(),
                  [](const Flow* a, const Flow* b) { return a->virtual_time < b->virtual_time; });
        Entry* next = nullptr;
        for (Flow* f : flows) {
            next = choose(g, *f, plain_blocked, full, plain_blocked, now);
            if (next || full) break;
        }
        if (!next) return;
        start(*next, now);
        out.push_back({next->arrival.id, Admission::go, Cause::none, std::nullopt});
    }
}

void Limiter::start(Entry& e, Time now) {
    Group& g = *e.group;
    Flow& f = *e.flow;
    take_out(e);
    e.waits = false;
    e.since = now;
    g.virtual_time = std::max(g.virtual_time, f.virtual_time);
    f.virtual_time += double(e.charge.count()) / f.weight;
    Lane& lane = f.lanes[e.arrival.privileged];
    f.lane_time = std::max(f.lane_time, lane.virtual_time);
    lane.virtual_time += double(e.charge.count()) / kLaneWeight[e.arrival.privileged];
    g.in_flight += e.charge;
    if (!e.arrival.privileged) g.plain_in_flight += e.charge;
    ++f.in_flight, ++g.running;
    ++running_[{g.number, e.arrival.shape}];
    ++counts_.went;
}

void Limiter::take_out(Entry& e) {
    Flow& f = *e.flow;
    f.lanes[e.arrival.privileged].waiting.erase(e.place);
    f.waiting_work -= e.charge;
    --f.waiting, --e.group->waiting, --waiting_;
    expiry_.erase({e.expires, e.arrival.id});
    e.waits = false;
}

void Limiter::finish(std::uint64_t id, End end, std::uint64_t bytes, Time now) {
    auto it = entries_.find(id);
    if (it == entries_.end()) return;
    Entry& e = *it->second;
    Group& g = *e.group;
    Flow& f = *e.flow;
    g.due = true;
    if (e.waits) {
        take_out(e);
    } else {
        Duration took = std::max(Duration(1), now - e.since);
        g.in_flight -= e.charge;
        if (!e.arrival.privileged) g.plain_in_flight -= e.charge;
        --f.in_flight, --g.running;
        auto running = running_.find({g.number, e.arrival.shape});
        if (--running->second == 0) running_.erase(running);
        // Charged by what it took, not by what was thought of it.
        Duration truly = end == End::never_ran ? Duration::zero() : took;
        f.virtual_time += double((truly - e.charge).count()) / f.weight;
        if (end != End::never_ran) {
            g.mean_us += (double(took.count()) - g.mean_us) * 0.05;
            hitters_.add({e.arrival.shape, e.tenant}, double(took.count()));
            if (now - halved_ > kHalve) {
                halved_ = now;
                hitters_.halve();
            }
        }
        costs_.record(e.arrival.shape, end, took, bytes, e.arrival.estimate, g.pulse, now);
    }
    entries_.erase(it);
    sweep(g);
}

// Flows of laundries without a name of their own are forgotten once they have nothing here.
void Limiter::sweep(Group& g) {
    if (g.flows.size() <= settings_.shares.size() + kNamelessFlows / 2) return;
    std::erase_if(g.flows, [&](const auto& item) {
        const Flow& f = item.second;
        return f.waiting == 0 && f.in_flight == 0 && f.virtual_time <= g.virtual_time;
    });
}

void Limiter::release(Time now, std::vector<AdmissionDecision>& out) {
    out.insert(out.end(), pending_decisions_.begin(), pending_decisions_.end());
    pending_decisions_.clear();
    while (!expiry_.empty() && expiry_.begin()->first.first <= now) {
        Entry& e = *expiry_.begin()->second;
        e.group->due = true;
        out.push_back(give_up(e, Cause::waited, now));
    }
    for (auto& [number, g] : groups_) {
        if (!std::exchange(g->due, false) || g->waiting == 0) continue;
        // What waits under a shape that has been quarantined since has nothing to wait for.
        std::vector<Entry*> lost;
        for (auto& [name, f] : g->flows)
            for (Lane& lane : f.lanes)
                for (Entry* e : lane.waiting)
                    if (!e->probe &&
                        costs_.view(e->arrival.shape, e->arrival.estimate, g->pulse, now).standing ==
                            ShapeState::quarantined)
                        lost.push_back(e);
        for (Entry* e : lost) out.push_back(give_up(*e, Cause::quarantined, now));
        dispatch_queued(*g, now, out);
    }
}

std::optional<Time> Limiter::next() const {
    if (!pending_decisions_.empty()) return Time::min();
    for (const auto& [number, g] : groups_)
        if (g->due && g->waiting > 0) return Time::min();
    if (expiry_.empty()) return std::nullopt;
    return expiry_.begin()->first.first;
}

void Limiter::set(const Settings& settings) {
    settings_ = settings;
    costs_.set(settings);
    for (auto& [number, g] : groups_) {
        g->due = true;
        for (auto& [name, f] : g->flows) {
            auto share = settings_.shares.find(name);
            f.weight = share != settings_.shares.end() ? share->second : settings_.other_share;
        }
    }
}

std::vector<Limiter::Line> Limiter::top(std::size_t most, Time now) const {
    std::vector<Line> out;
    for (const auto& place : hitters_.top(most)) {
        Line line;
        line.shape = place.key.shape;
        line.tenant = place.key.tenant;
        line.work = Duration(std::int64_t(place.weight));
        line.view = costs_.view(place.key.shape, Duration(1), GroupPulse{}, now);
        line.cap = cap(line.view);
        for (const auto& [key, count] : running_)
            if (key.shape == place.key.shape) line.in_flight += count;
        out.push_back(std::move(line));
    }
    return out;
}

}  // namespace indigovane::limits
