#include "site/site_manager.hpp"

#include <algorithm>
#include <utility>

namespace indigovane::site {

namespace {
constexpr Duration kLook = milliseconds(50);  // while anything is silent, or a site is not as it should be
constexpr double kUsualGain = 0.02;           // weight of an answer in the usual answer time
constexpr Duration kIdle = seconds(1);        // else: evidence ages, rates decay
}  // namespace

SiteManager::SiteManager(const Settings& settings, FleetContext around, std::function<double()> draw)
    : set_(settings),
      around_(std::move(around)),
      draw_(std::move(draw)),
      verdicts_(settings),
      shedder_(settings, around_.classes),
      retry_budget_(settings) {}

void SiteManager::set(const Settings& settings, FleetContext around) {
    bool same = std::equal(around.classes.begin(), around.classes.end(), around_.classes.begin(),
                           around_.classes.end(), [](const Demand& a, const Demand& b) {
                               return a.request_class == b.request_class &&
                                      a.priority_weight == b.priority_weight && a.primary == b.primary;
                           });
    set_ = settings;
    around_ = std::move(around);
    verdicts_.set(settings);
    shedder_.set(settings);
    retry_budget_.set(settings);
    if (!same) shedder_.classes(around_.classes);
    plan_due_ = true;
}

bool SiteManager::away(SiteId site) const {
    SiteState s = verdicts_.of(site).standing;
    return s == SiteState::lost || s == SiteState::cut_off || s == SiteState::drained;
}

void SiteManager::hosts(const std::vector<Host>& hosts, Time now) {
    std::map<HostId, std::optional<Time>> before;
    for (const Host& h : evidence_.all()) before[h.id] = h.started;
    evidence_.hosts(hosts);
    std::set<HostId> listed;
    for (const Host& h : hosts) {
        listed.insert(h.id);
        auto old = before.find(h.id);
        bool anew = old != before.end() && h.started && old->second != h.started;
        if (!away(h.site)) continue;
        // A start since the loss is a sign of life from somebody who knows: discovery.
        if (anew && *h.started > verdicts_.of(h.site).since) {
            if (mostly_started(h.site)) verdicts_.restarted(h.site);
            verdicts_.answered(h.site, h.id, now);
        }
        // One that is new to a site which is away stays out until it returns; the list is told by others, and
        // they may have told of it before its site was lost.
        if (set_.exclude && old == before.end() && out_.insert(h.id).second)
            effects_.push_back(ExcludeHost{h.id});
    }
    for (auto& [site, ramp] : ramps_)
        for (const auto& [id, started] : before)
            if (!listed.count(id)) ramp.gone(id);
    std::erase_if(out_, [&](HostId id) { return !listed.count(id); });
    std::erase_if(primaries_, [&](const auto& p) { return !listed.count(p.second); });
    plan_due_ = true;
    next_ = now;
}

// Guards a site that was only cut off: on a bad day one of its hosts starts anew meanwhile, and all others
// would come back as slowly as if they were cold too. Of the one that is, the list itself tells.
bool SiteManager::mostly_started(SiteId site) const {
    Time since = verdicts_.of(site).since;
    unsigned all = 0, started = 0;
    for (const Host& h : evidence_.all()) {
        if (h.site != site || !h.ready) continue;
        ++all;
        started += h.started && *h.started > since;
    }
    return started * 2 >= all;
}

void SiteManager::primary(HostId host) {
    if (const Host* h = evidence_.host(host)) primaries_[h->group] = host;
}

void SiteManager::sign(HostId id, ContactResult sign, Time sent, Time now) {
    evidence_.sign(id, sign, sent, now);
    const Host* h = evidence_.host(id);
    if (!h) return;
    if (sign == ContactResult::answer) {
        if (away(h->site)) verdicts_.answered(h->site, id, now);
        if (auto ramp = ramps_.find(h->site); ramp != ramps_.end()) ramp->second.answered(id);
    } else if (!next_ || *next_ > now + kLook) {
        next_ = now + kLook;
    }
}

void SiteManager::sent(HostId host, Time now) {
    evidence_.sent(host, now);
    Duration soon = set_.confirm > 0 ? set_.quiet / 2 : set_.quiet;
    if (!next_ || *next_ > now + soon) next_ = now + soon;
}

void SiteManager::took(GroupId group, std::size_t request_class, Duration latency) {
    shedder_.took(group, request_class, latency);
    usual_ += kUsualGain * (double(latency.count()) - usual_);
}

Duration SiteManager::response_timeout() const {
    return std::max(set_.quiet, Duration(std::int64_t(usual_ * set_.response_timeout)));
}

bool SiteManager::admit(Shedder::Arrival arrival, Time now) {
    if (!next_) next_ = now + kIdle;
    retry_budget_.earned();
    return shedder_.admit(arrival, now) || !set_.shed;
}

bool SiteManager::may_retry() {
    if (!set_.budget || !in_trouble()) return true;
    if (retry_budget_.spend()) return true;
    ++held_back_;
    return false;
}

bool SiteManager::drain(SiteId site, bool on, Time now) {
    auto sites = evidence_.sites();
    if (std::find(sites.begin(), sites.end(), site) == sites.end()) return false;
    auto change = verdicts_.drain(site, on, now);
    if (!change) return false;
    ordered_.push_back(*change);
    next_ = now;
    return true;
}

SiteActions SiteManager::tick(Time now) {
    // Called much later than asked for: this process was stopped, or its machine. What it did not hear
    // meanwhile is no evidence, and nobody is judged before new signs have come.
    if (set_.doubt_self && next_ && now - *next_ > set_.stall) evidence_.woke(now);
    for (const Change& c : std::exchange(ordered_, {})) apply(c, now);
    for (const Change& c : verdicts_.look(evidence_, now, response_timeout())) apply(c, now);
    if (verdicts_.uplink_is_back()) evidence_.woke(now);
    if (set_.confirm > 0 && around_.probes) confirm(now);
    for (const auto& [site, v] : verdicts_.all())
        if (v.standing == SiteState::lost || v.standing == SiteState::cut_off) probe_lost(site, v, now);
    for (auto it = ramps_.begin(); it != ramps_.end();) {
        auto due = it->second.due(now, set_.probe_every);
        for (HostId id : due.probe) effects_.push_back(ProbeHost{id});
        bool cold = verdicts_.of(it->first).restarted;
        for (HostId id : due.let_in) let_in(id, cold, now);
        if (!it->second.over()) {
            ++it;
            continue;
        }
        SiteId site = it->first;
        it = ramps_.erase(it);
        if (auto change = verdicts_.home(site, now)) apply(*change, now);
    }
    if (std::exchange(plan_due_, false)) plan(now);
    bool busy = in_trouble() || !ramps_.empty();
    for (SiteId s : evidence_.sites())
        busy = busy || evidence_.of(s, now, set_.fresh, response_timeout()).mute > 0;
    next_ = now + (busy ? kLook : kIdle);
    return std::exchange(effects_, {});
}

void SiteManager::apply(const Change& change, Time now) {
    const SiteHealth& v = verdicts_.of(change.site);
    SiteTransition note{change, 0, 0, v.falls};
    if (change.now == SiteState::lost || change.now == SiteState::cut_off)
        note.hold_s = double((v.look_at - now).count()) / 1e6;
    if (change.now == SiteState::returning) note.ramp_s = double(v.ramp.count()) / 1e6;
    effects_.push_back(note);
    ramps_.erase(change.site);
    plan_due_ = true;
    switch (change.now) {
        case SiteState::doubtful:
            break;  // hosts are judged one by one, by the module; repeats go by their budget from here on
        case SiteState::lost:
        case SiteState::cut_off:
        case SiteState::drained:
            hold_site(change.site, now);
            break;
        case SiteState::returning: {
            std::vector<Host> out;
            std::map<GroupId, unsigned> all, away_now;
            for (const Host& h : evidence_.all()) {
                if (!h.ready) continue;
                ++all[h.group];
                away_now[h.group] += out_.count(h.id) > 0;
                if (h.site == change.site && out_.count(h.id)) out.push_back(h);
            }
            auto load_ratio = [&](GroupId g) {
                unsigned left = all[g] - away_now[g];
                return left == 0 ? double(all[g]) + 1 : double(all[g]) / left;
            };
            // Evidence of before would end the return at once.
            evidence_.forget(change.site, now);
            Duration length = set_.pace ? v.ramp : Duration::zero();
            ramps_[change.site].begin(out, load_ratio, length, set_.trickle,
                                      around_.probes && set_.ramp_probes, draw_, now);
            break;
        }
        case SiteState::reachable:
            for (const Host& h : evidence_.all())
                if (h.site == change.site && out_.count(h.id)) let_in(h.id, false, now);
            break;
    }
}

void SiteManager::hold_site(SiteId site, Time now) {
    if (!set_.exclude) return;
    bool ordered = verdicts_.of(site).standing == SiteState::drained;
    for (const Host& h : evidence_.all()) {
        if (h.site != site || out_.count(h.id)) continue;
        const HostEvidence* e = evidence_.of(h.id);
        bool heard = e && e->answered && !e->mute_since && now - *e->answered < set_.quiet;
        if (!ordered && heard) continue;
        out_.insert(h.id);
        effects_.push_back(ExcludeHost{h.id, !ordered && set_.abandon_unresponsive});
    }
}

void SiteManager::let_in(HostId host, bool cold, Time now) {
    if (out_.erase(host) == 0) return;
    plan_due_ = true;
    // A machine that has lost its process may be back before the list says so.
    effects_.push_back(ReadmitHost{host, cold && set_.pace ? std::optional(now) : std::nullopt});
}

// Each pooler asks as often as all of them together may ask each host.
Duration SiteManager::probe_interval(SiteId site) const {
    double hosts = std::max(1u, verdicts_.of(site).evidence.hosts);
    Duration fair(std::int64_t(1e6 * double(around_.fleet) / (hosts * set_.probes_per_host)));
    return std::max(set_.probe_every, fair);
}

std::vector<HostId> SiteManager::ready_hosts(SiteId site) const {
    std::vector<HostId> some;
    for (const Host& h : evidence_.all())
        if (h.site == site && h.ready) some.push_back(h.id);
    return some;
}

// The first step of suspicion: a host is silent, and nothing has come from its site since. A pooler with a
// few requests a second would need seconds to ask enough others by chance; it asks some at once. What answers
// clears the site. All poolers together ask no host more often than `probes_per_host`, the first time apart.
void SiteManager::confirm(Time now) {
    // Not sooner: on a calm day one answer in a hundred is slow, and a pooler with a few requests a second to
    // a site hears nothing else from it meanwhile. At half of this time, 300 poolers made half of all probes
    // so.
    Duration early = response_timeout();
    for (SiteId site : evidence_.sites()) {
        SiteState is = verdicts_.of(site).standing;
        if (is != SiteState::reachable && is != SiteState::doubtful) continue;
        SiteEvidence e = evidence_.of(site, now, set_.fresh, early);
        if (e.run == 0 || (e.answered && (*e.answered >= *e.mute_since || now - *e.answered < early)))
            continue;
        Duration every(std::int64_t(1e6 * double(around_.fleet) * set_.confirm /
                                    (std::max(1u, e.hosts) * set_.probes_per_host)));
        auto [at, first] = confirmed_.try_emplace(site, now);
        if (!first && now - at->second < std::max(set_.fresh, every)) continue;
        at->second = now;
        std::vector<HostId> others = ready_hosts(site);
        std::erase_if(others, [&](HostId id) {
            const HostEvidence* h = evidence_.of(id);
            return out_.count(id) || (h && (h->out > 0 || h->mute_since));
        });
        for (unsigned n = 0; n < set_.confirm && !others.empty(); ++n) probe_one(others);
        // And one of each other site that has not spoken lately: are they to be heard at all?
        for (SiteId other : evidence_.sites()) {
            if (other == site || away(other)) continue;
            auto answered = evidence_.of(other, now, set_.fresh, early).answered;
            if (answered && now - *answered < set_.quiet / 2) continue;
            std::vector<HostId> some = ready_hosts(other);
            std::erase_if(some, [&](HostId id) { return out_.count(id) > 0; });
            if (!some.empty()) probe_one(some);
        }
    }
}

void SiteManager::probe_one(std::vector<HostId>& of) {
    auto pick = of.begin() + std::ptrdiff_t(draw_() * double(of.size()));
    effects_.push_back(ProbeHost{*pick});
    of.erase(pick);
}

void SiteManager::probe_lost(SiteId site, const SiteHealth& v, Time now) {
    // Just before its hold is over, so that what answers is known by then.
    if (now + set_.quiet < v.look_at) return;

    Duration every = probe_interval(site);
    auto [at, first] = probed_.try_emplace(site, Asked{now - every, now});
    // One that has answered is followed up at once, whatever was drawn before: the second answer decides.
    Time due =
        verdicts_.heard(site) ? std::min(at->second.due, at->second.last + set_.probe_every) : at->second.due;
    if (now < due) return;
    std::vector<HostId> some = ready_hosts(site);
    if (some.empty()) return;
    // Jitter: the next one is due between half of the interval and one and a half from now.
    at->second = {now, now + Duration(std::int64_t(double(every.count()) * (0.5 + draw_())))};
    if (around_.probes) {
        auto [turn, fresh] = turn_.try_emplace(site, std::size_t(draw_() * double(some.size())));
        effects_.push_back(ProbeHost{some[turn->second++ % some.size()]});
    } else {
        // Without probes a request has to find out: one host is let in, and held out again if it is silent.
        hold_site(site, now);
        HostId trial = some[std::size_t(draw_() * double(some.size())) % some.size()];
        let_in(trial, false, now);
    }
}

std::vector<Host> SiteManager::with_roles() const {
    std::vector<Host> hosts = evidence_.all();
    for (Host& h : hosts)
        if (auto p = primaries_.find(h.group); p != primaries_.end()) h.primary = p->second == h.id;
    return hosts;
}

PlanInput SiteManager::plan_input(const std::set<SiteId>& lost, Time now) const {
    PlanInput in = shedder_.input(with_roles(), now);
    in.lost = lost;
    return in;
}

void SiteManager::plan(Time now) {
    std::set<HostId> out;
    // Hosts that only this pooler misses are carried by all others as before, and so are its own that are
    // left: what it knows of their load says nothing of what they can do for it.
    for (HostId id : out_)
        if (const Host* h = evidence_.host(id);
            set_.shed && h && verdicts_.of(h->site).standing != SiteState::cut_off)
            out.insert(id);
    shedder_.plan(with_roles(), out, now);
}

}  // namespace indigovane::site
