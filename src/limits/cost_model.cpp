#include "limits/cost_model.hpp"

namespace indigovane::limits {

namespace {
constexpr Duration kPulse = std::chrono::seconds(3);  // half-life of a group's pulse
constexpr double kFewOutcomes = 3, kOthersHealthy = 0.2;

}  // namespace

const char* name(ShapeState standing) {
    static constexpr const char* names[] = {"trial", "known", "costly", "quarantined"};
    return names[std::size_t(standing)];
}

GroupPulse::Sums GroupPulse::Sums::as_of(Time now) const {
    if (now <= at) return *this;
    auto f = float(std::exp2(-double((now - at).count()) / double(kPulse.count())));
    return {outcomes * f, timeouts * f, took * f, expected * f, now};
}

void GroupPulse::Sums::add(bool timed_out, Duration duration, Duration usual, Time now) {
    *this = as_of(now);
    outcomes += 1;
    timeouts += timed_out ? 1 : 0;
    if (usual.count() > 0) {
        took += float(duration.count());
        expected += float(usual.count());
    }
}

void GroupPulse::record(bool timed_out, Duration took, Duration expected, Time now) {
    all_.add(timed_out, took, expected, now);
}

double GroupPulse::others_timed_out(const Sums& own, Time now) const {
    Sums all = all_.as_of(now), mine = own.as_of(now);
    double outcomes = all.outcomes - mine.outcomes;
    return outcomes < kFewOutcomes ? 1 : std::clamp((all.timeouts - mine.timeouts) / outcomes, 0.0, 1.0);
}

double GroupPulse::others_inflation(const Sums& own, Time now) const {
    Sums all = all_.as_of(now), mine = own.as_of(now);
    if (all.outcomes - mine.outcomes < kFewOutcomes || all.expected - mine.expected < 1) return 1;
    return std::max(1.0, double(all.took - mine.took) / double(all.expected - mine.expected));
}

CostModel::State& CostModel::state(const ShapeId& shape) {
    auto [it, fresh] = shapes_.try_emplace(shape);
    if (!fresh) {
        order_.splice(order_.begin(), order_, it->second.place);
        return it->second;
    }
    order_.push_front(shape);
    it->second.place = order_.begin();
    if (shapes_.size() > settings_.shapes) {
        shapes_.erase(order_.back());
        order_.pop_back();
    }
    return it->second;
}

CostModel::View CostModel::view(const State& s, Duration estimate, const GroupPulse& pulse, Time now) const {
    View v;
    v.outcomes = s.recent.weight();
    v.timeouts = s.timeouts;
    v.bytes = std::uint64_t(s.bytes);
    v.probe_at = s.probe_at;
    bool known = s.recent.weight() > 0.01;
    v.mean = known ? std::max(Duration(1), s.recent.mean()) : estimate;
    v.median = known ? s.recent.quantile(0.5) : estimate;
    v.tail = known ? s.recent.quantile(0.95) : estimate;
    // Few outcomes say little: the estimate keeps its weight until there are more.
    if (s.seen < settings_.trial_outcomes) v.mean = std::max(v.mean, std::min(estimate, v.mean * 4));
    double inflation = pulse.others_inflation(s.own, now);
    double mean = double(v.mean.count()) / inflation;
    bool turned = s.seen >= settings_.trial_outcomes && s.baseline_us > 0 &&
                  mean > settings_.costlier * double(s.baseline_us) &&
                  mean >= double(settings_.costlier_from.count());
    if (s.level > 0)
        v.standing = ShapeState::quarantined;
    else if (s.seen < settings_.trial_outcomes)
        v.standing = ShapeState::trial;
    else if (mean >= double(settings_.costly.count()) || turned)
        v.standing = ShapeState::costly;
    else
        v.standing = ShapeState::known;
    return v;
}

CostModel::View CostModel::view(const ShapeId& shape, Duration estimate, const GroupPulse& pulse,
                                Time now) const {
    auto it = shapes_.find(shape);
    if (it != shapes_.end()) return view(it->second, estimate, pulse, now);
    View v;
    v.mean = v.median = v.tail = std::max(Duration(1), estimate);
    return v;
}

void CostModel::record(const ShapeId& shape, End end, Duration took, std::uint64_t bytes, Duration estimate,
                       GroupPulse& pulse, Time now) {
    if (end == End::never_ran) return;
    State& s = state(shape);
    bool cut = end == End::timed_out || end == End::withdrawn;
    // Who left early says only that it took longer: nothing, where it usually takes longer than that.
    if (end == End::withdrawn && took < s.recent.quantile(0.5)) return;
    // It took that long at least. How much longer is not known: the 90th percentile is the better guess.
    Duration counted = cut ? std::max(took, s.recent.quantile(0.9)) : took;
    double before = s.baseline_us;
    s.recent.record(counted, now, kHalfLife);
    Duration usual = s.seen >= settings_.trial_outcomes ? Duration(std::int64_t(before)) : Duration::zero();
    s.own.add(end == End::timed_out, counted, usual, now);
    pulse.record(end == End::timed_out, counted, usual, now);
    s.seen += s.seen < 1u << 30 ? 1 : 0;
    double weight = std::max(kBaseline, 1.0 / s.seen);
    s.baseline_us = float(s.baseline_us + (double(counted.count()) - s.baseline_us) * weight);
    if (end == End::served)
        s.bytes = float(s.bytes + (double(bytes) - s.bytes) * std::max(0.05, 1.0 / s.seen));
    (void)estimate;

    if (end == End::served || end == End::failed) {
        s.timeouts = 0;
        s.level = 0;
        return;
    }
    if (end != End::timed_out) return;
    s.timeouts = std::uint16_t(std::min(1000, s.timeouts + 1));
    bool blamed = pulse.others_timed_out(s.own, now) < kOthersHealthy;
    if (s.level == 0 && (s.timeouts < settings_.timeouts || !blamed)) return;
    s.level = std::uint8_t(std::min(16, s.level + 1));
    Duration pause = settings_.quarantine * (std::int64_t(1) << (s.level - 1));
    s.probe_at = now + std::min(pause, settings_.quarantine_most);
}

// Until its outcome is known the next probe is as far away as if it had failed.
void CostModel::probed(const ShapeId& shape, Time now) {
    auto it = shapes_.find(shape);
    if (it == shapes_.end()) return;
    Duration pause = settings_.quarantine * (std::int64_t(1) << std::min<int>(16, it->second.level));
    it->second.probe_at = now + std::min(pause, settings_.quarantine_most);
}

std::vector<CostModel::Prior> CostModel::priors(std::size_t most) const {
    std::vector<Prior> out;
    for (const ShapeId& id : order_) {
        if (out.size() >= most) break;
        const State& s = shapes_.at(id);
        if (s.seen < settings_.trial_outcomes) continue;
        out.push_back({id, std::uint64_t(s.recent.mean().count()), std::uint64_t(s.baseline_us), s.seen});
    }
    return out;
}

void CostModel::learn(const Prior& p, Time now) {
    if (shapes_.count(p.shape) || p.outcomes < settings_.trial_outcomes || p.mean_us > 600'000'000) return;
    State& s = state(p.shape);
    s.recent.record(Duration(std::int64_t(p.mean_us)), now, kHalfLife);
    s.baseline_us = float(p.baseline_us);
    s.seen = settings_.trial_outcomes;  // no trial, and a baseline that moves quickly
}

std::vector<CostModel::Line> CostModel::all(Time now) const {
    std::vector<Line> out;
    out.reserve(shapes_.size());
    for (const auto& [id, s] : shapes_) out.push_back({id, view(s, Duration(1), GroupPulse{}, now)});
    return out;
}

}  // namespace indigovane::limits
