// indigovane's decisions. Interface: include/indigovane/brain.hpp
//
// Reading order: constants, tables, settings, events, learning, health, cold members, choice, a request's
// life, upkeep. The ordinary path follows docs/design.md; "Exception:" marks each departure from it.
#include "policy/routing_policy.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

namespace indigovane::policy {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Millis = std::chrono::duration<double, std::milli>;

// ---- constants ---------------------------------------------------------------------------------

// The design's own figures.
constexpr int kPingSamples = 5;                     // moving average of probe latency
constexpr Duration kPingWindow = milliseconds(15);  // members this much farther than the nearest share reads
constexpr int kProbesPerBound = 3;                  // probe at a third of the tightest bound...
constexpr Duration kProbeAtLeast = seconds(1);      // ...and at least this often

// Probing in trouble.
constexpr Duration kSeekPrimary = milliseconds(100);  // probe a group with no usable primary: reports are
constexpr double kSeekProbes = 2.5;                   // hardly newer sooner; no more than so many a read,
constexpr Duration kSeekMost = seconds(1);            // but each second at least
constexpr Duration kFirstHold = milliseconds(300);    // longest wait for a fresh router's first probes
constexpr int kProbeFailures = 2;               // time-outs in a row before a probe counts against a member
constexpr double kProbeShare = 0.015;           // of what requests earn may go into probes at their price...
constexpr double kProbeCredit = 10;             // ...and so many may be saved up
constexpr Duration kUpkeep = milliseconds(20);  // probes due, silence and give-ups are looked at this often
constexpr Duration kUseMemory = seconds(1);     // over which a group's use is averaged
constexpr double kAskPings = 3;  // an asked member that takes so many pings longer is passed over
constexpr Duration kAskLeast = milliseconds(5);
constexpr Duration kMemberWait = milliseconds(50);  // members that wait for the log do so about this long
constexpr int kSessionAsks = 2;  // replicas asked for a session read before it goes to the primary
constexpr int kCatchUp = 2;      // a member that is behind applies the log about so much faster than time
constexpr Duration kCommitUnheard = milliseconds(200);  // a member that checks hears of a commit this late
constexpr Duration kMissRest = seconds(1);  // longer is waited, since misses keep it from catching up
constexpr Duration kCopyAge = seconds(6);   // and a new one begins with a copy that may be so old

// Windows: how many requests this proxy has out at a member.
constexpr double kWindowStart = 6;        // a few a core on small machines: neither starves nor floods
constexpr double kWindowReturn = 2;       // after trouble: the way back is gradual
constexpr double kWindowMost = 64;        // beyond this a window is no protection
constexpr double kStrainGrow = 0.5;       // mean answer time as a share of the aim below which a window grows
constexpr double kStrainShrink = 0.75;    // and above which it shrinks: half the answers would soon be late
constexpr double kStrainGain = 0.12;      // weight of an answer in that mean
constexpr double kShrink = 0.8;           // one cut
constexpr double kLagGrow = 0.5;          // a replica's told lag, as a share of the tightest bound, below
constexpr double kLagShrink = 0.6;        // which its window grows, and above which it shrinks, if its
constexpr double kLagBusy = 0.7;          // cores are this busy; so busy that it will fall behind, it does
constexpr double kBusyShrink = 0.85;      // in any case
constexpr double kHeldBusy = 6;           // where only these are told, requests held by busy cores
constexpr double kShrinkFull = 0.7;       // one cut when a member turns work away...
constexpr double kReadsOfPrimary = 0.75;  // part of a primary's window open to reads that fell back to it
constexpr Duration kRest = milliseconds(50);  // ...which then gets nothing for this long, and for twice as
constexpr Duration kRestMost = seconds(2);    // long each time, up to this
constexpr Duration kReportAge = milliseconds(400);  // a report may be this old: less is no proof of lag

// Circuit breaker.
constexpr Duration kSilence = milliseconds(350);  // no answer at all with work out: longer than a usual pause
constexpr double kSilentAnswers = 12;             // and this many answers were to be expected meanwhile
constexpr int kSilentOut = 2;                     // one long request alone proves nothing
constexpr double kErrorGain = 0.15;               // weight of an answer in the error share
constexpr double kErrorTrip = 0.5;                // error share that opens the breaker
constexpr Duration kTrialFirst = milliseconds(200);  // first trial after the breaker opened, then doubling
constexpr Duration kTrialMost = seconds(2);
constexpr Duration kUnsafeTrial = seconds(2);  // a request that can't be repeated is a trial only this late

// Requests.
constexpr double kLatencyGain = 0.05;              // least weight of an answer in a class's usual time
constexpr Duration kLeastHold = milliseconds(50);  // enough to ask a replica or two
constexpr double kHoldShare = 0.45;  // of a request's time: one refused later leaves its client no time to
                                     // come again, and has cost it more than it could still earn
constexpr int kStartsPerAim = 4;  // a read is to be on a connection after this part of its aim at the latest
constexpr Duration kLeastStart = milliseconds(25);
constexpr double kTail = 4;              // answer times that a held read keeps in hand: the rest comes again
constexpr double kFirstGuess = 0.25;     // usual answer time before any answer, as a share of the aim
constexpr std::size_t kFirstProbes = 3;  // of a group at first use, where probes have a price
constexpr int kRepeats = 2;  // further attempts after ones that may have run: failures multiply no load
constexpr std::size_t kPatiencesKept = 16;  // a patience that came this often among the last so many
constexpr Duration kPatienceJitter = milliseconds(15);  // the way from client to proxy takes a part of it
constexpr int kUsualPatience = 6;                       // requests of a class is the usual one
constexpr Duration kAnswerMargin = milliseconds(10);    // a final answer is due this long before the deadline
constexpr Duration kRetryAfter = milliseconds(250);     // advice with a refusal: a lag or a gap lasts longer

// Cold members.
constexpr double kColdCare = 0.56;  // of what would push it over: draws come in runs, and hosts differ

// Lists and sessions.
constexpr Duration kListBackoff = milliseconds(400);  // after a failed call, doubling, with jitter
constexpr Duration kListBackoffMost = seconds(4);
constexpr Duration kListSpread = milliseconds(60);  // first calls of a fleet that starts at once, a proxy
constexpr double kListLeast = 10;                   // and for so many at least
constexpr std::size_t kSessionsKept = 50000;        // remembered tokens; older ones raise the floor for all
constexpr Duration kTokenKept = seconds(60);        // likewise: no replica in use is so far behind
constexpr Duration kMemberKept = seconds(60);       // after it left the list
constexpr Duration kLogEvery = seconds(1);          // one log line in this time

constexpr TimerId kUpkeepTimer{0};
constexpr TimerId kListTimer{1};
constexpr std::uint64_t kFirstRequestTimer = 2;

double ms(Duration d) {
    return Millis(d).count();
}
Duration from_ms(double v) {
    return std::chrono::duration_cast<Duration>(Millis(v));
}

// ---- tables ------------------------------------------------------------------------------------

enum class Trouble { none, unreachable, silent, erring };

struct Endpoint {
    EndpointId id{};
    GroupId group{};
    ZoneId zone{};
    bool listed = false;       // the list allows new work
    bool drained = false;      // the list has named it as draining since it was last ready
    std::optional<Time> left;  // not listed since
    std::optional<Time> started;

    // learned
    std::optional<Time> position;  // newest position told by an answer or a report
    Time told_at{};                // when an answer or report last told one, new or not
    std::optional<Time> primary_as_of, replica_as_of;
    std::deque<Duration> pings;

    // load and health
    int out = 0;            // attempts out
    double awaited_ms = 0;  // usual answer time of the slowest class sent since nothing was out
    Time silent_since{};    // last answer, or when work first went out after none was
    double window = kWindowStart;
    bool slow_start = true;
    double load_ratio = 0;  // answer time as a share of the aim, averaged
    double behind = 0;      // lag as last told, as a share of the tightest bound
    double usual_ms = 0;    // answer time, averaged
    double error_share = 0;
    Time cut_at{}, rest_until{};
    Duration rest{};
    Trouble trouble = Trouble::none;
    Time trouble_since{}, trial_at{};
    Duration backoff = kTrialFirst;

    // probes
    bool probing = false;
    Time probe_sent{};
    int probe_failures = 0;
};

struct Group {
    std::vector<Endpoint*> members;  // in the order in which the list named them
    std::vector<RequestId> held;
    std::optional<Time> first_use;
    bool active = false;  // upkeep looks after it
    double reads = 0;     // that needed a position: a decaying count
    Time reads_at{};
    std::optional<EndpointId> logged_primary;
};

struct Class {
    Consistency consistency;
    Idempotency idempotency;
    DeduplicationScope scope;
    Duration window, latency_objective, deadline, bound;
    double priority_weight, late_share;
    double usual_ms;                   // answer time of this class, averaged over all members
    std::deque<Duration> patiences{};  // of the last requests
    std::optional<Duration> usual_patience{};
    double answers = 1;  // that usual_ms goes by, the guess among them
};

struct Attempt {
    Endpoint* endpoint;
    Time sent;
    bool out = true;
    Execution execution = Execution::may_have_run;  // while it is out
};

struct Live {  // a request that is owed an answer, or has attempts out
    RequestId id{};
    std::shared_ptr<Class> request_class;  // as it was when the request came
    std::size_t most_attempts = 0;
    GroupId group{};
    std::optional<SessionKey> session{};
    Time token{};     // a session read must see this, where its client says so
    double draw = 0;  // uniform in [0, 1): its place in whatever lets only a share of requests pass
    Time arrived{}, deadline{}, latency_objective{};
    bool finished = false, held = false, begun = false;
    std::vector<Attempt> attempts{};
    Endpoint* asked = nullptr;  // probed for this read's sake, its answer awaited since
    Time asked_at{};
    int asks = 0;
    std::optional<Time> timer{};

    int out() const { return int(std::ranges::count(attempts, true, &Attempt::out)); }
    int may_have_run() const {
        return int(attempts.size()) -
               int(std::ranges::count(attempts, Execution::never_ran, &Attempt::execution));
    }
    bool tried(const Endpoint* m) const { return std::ranges::count(attempts, m, &Attempt::endpoint) > 0; }
    bool writes_of(SessionKey s) const {
        return session == s && request_class->consistency == Consistency::write;
    }
    bool for_primary() const {
        return request_class->consistency == Consistency::write ||
               request_class->consistency == Consistency::fresh;
    }
};

enum class Verdict { endpoint, wait, hopeless };
struct Choice {
    Verdict verdict;
    Endpoint* endpoint = nullptr;
};

}  // namespace

class RoutingPolicy::Engine {
  public:
    Settings set;
    std::vector<std::shared_ptr<Class>> classes;
    std::mt19937_64 random;
    Time now;
    Actions* acts = nullptr;

    std::map<EndpointId, Endpoint> members;
    std::map<GroupId, Group> groups;
    std::unordered_map<RequestId, Live> live;  // looked up, never walked
    std::unordered_map<SessionKey, Time> tokens;
    std::deque<std::pair<SessionKey, Time>> token_order;
    Time token_floor{};  // session reads without a remembered token must see this
    Duration probe_every = kProbeAtLeast;
    double probe_credit = kProbeCredit;  // probes that requests have paid for...
    double ask_credit = kProbeCredit;    // ...and as many again for those that reads in hand ask for
    std::vector<Group*> active;          // by the time since which upkeep looks after them
    bool begun = false, list_asked = false, marked = false;  // marked: clients tell further tries from first
    Duration list_backoff = kListBackoff;
    std::optional<Time> logged;

    // ---- settings ------------------------------------------------------------------------------

    // Missing settings take the meaning that can break no rule: unsafe, no second copies, no cancels, no
    // advice, one attempt more than none, a list that need not be asked for.
    Engine(const Settings& s, std::uint64_t seed, Time t) : random(seed), now(t) { apply(s); }

    void apply(const Settings& s) {
        set = s;
        classes.clear();
        probe_every = kProbeAtLeast;
        for (const ClassSettings& c : s.classes) {
            Class k{c.consistency.value_or(Consistency::write),
                    c.idempotency.value_or(Idempotency::not_idempotent),
                    c.deduplication_scope.value_or(DeduplicationScope::group),
                    c.deduplication_window.value_or(Duration::zero()),
                    c.latency_objective.value_or(c.deadline.value_or(seconds(1))),
                    c.deadline.value_or(seconds(1)),
                    c.bound.value_or(Duration::zero()),
                    c.priority_weight.value_or(1),
                    c.late_share.value_or(0),
                    0};
            k.usual_ms = ms(k.latency_objective) * kFirstGuess;
            if (k.consistency == Consistency::bounded && k.bound > Duration::zero())
                probe_every = std::min(probe_every, k.bound / kProbesPerBound);
            classes.push_back(std::make_shared<Class>(std::move(k)));
        }
    }

    // Of one probe, in requests that pay for it.
    double probes_cost() const { return std::max(0.0, set.health_check_price.value_or(0)) / kProbeShare; }
    bool may_probe() const { return set.probes.value_or(false); }
    bool checked() const {
        return set.staleness_check.value_or(StalenessCheck::none) != StalenessCheck::none;
    }
    double fleet() const { return std::max<double>(1, set.fleet_size.value_or(1)); }

    void act(Action a) { acts->push_back(std::move(a)); }
    double chance() { return double(random() >> 11) * 0x1.0p-53; }
    void log(std::string text) {
        if (logged && now - *logged < kLogEvery) return;
        act(LogMessage{std::move(text)});
        logged = now;
    }
    static std::string name(EndpointId id) { return std::to_string(std::uint32_t(id)); }

    // ---- events --------------------------------------------------------------------------------

    // Timers begin with the first event, which is the list.
    void begin() {
        if (begun) return;
        begun = true;
        if (set.endpoint_list_mode.value_or(EndpointListMode::pushed) == EndpointListMode::polled)
            act(SetTimer{kListTimer, from_ms(ms(kListSpread) * (kListLeast + fleet()) * chance())});
    }

    void on(const EndpointList& list) {
        if (list.kind == EndpointListKind::failed) {
            // A call failed, or the subscription broke: ask again, ever more slowly, never in step.
            act(SetTimer{kListTimer, from_ms(ms(list_backoff) * (0.5 + chance()))});
            list_backoff = std::min(list_backoff * 2, kListBackoffMost);
            log("list call failed; keeping the last list");
            return;
        }
        if (list_asked && list.kind != EndpointListKind::cached) list_backoff = kListBackoff;
        if (list.kind != EndpointListKind::changes)
            for (auto& [id, m] : members) m.listed = !set.removal_binds.value_or(true) && !m.drained;
        for (const EndpointEntry& e : list.entries) learn_entry(e);
        for (auto& [id, g] : groups) pump(g);
        forget();
    }

    // What left the list is forgotten after a while, so that a fleet that is replaced all the time costs no
    // memory. Never while a request refers to it; one that comes back later is new.
    void forget() {
        for (auto it = members.begin(); it != members.end();) {
            Endpoint& m = it->second;
            if (m.listed) m.left.reset();
            if (!m.listed && !m.left) m.left = now;
            bool over = m.left && now - *m.left > kMemberKept && m.out == 0 && !m.probing &&
                        std::none_of(live.begin(), live.end(), [&](const auto& r) {
                            return r.second.asked == &m || r.second.tried(&m);
                        });
            if (over) std::erase(groups[m.group].members, &m);
            it = over ? members.erase(it) : std::next(it);
        }
        auto over = [](const Group& g) { return g.members.empty() && g.held.empty(); };
        std::erase_if(active, [&](Group* g) { return over(*g); });
        std::erase_if(groups, [&](const auto& g) { return over(g.second); });
    }

    void learn_entry(const EndpointEntry& e) {
        auto [it, fresh] = members.try_emplace(e.endpoint);
        Endpoint& m = it->second;
        if (fresh) {
            m.id = e.endpoint;
            m.group = e.group;
            m.zone = e.zone;
            groups[e.group].members.push_back(&m);
            if (e.primary) m.primary_as_of = Time::min();  // a hint; anything learned later outweighs it
        }
        if (e.started && m.started != e.started) {
            m.started = e.started;
            m.window = std::min(m.window, kWindowReturn);
            m.slow_start = true;
        }
        m.drained = e.state == EndpointState::draining || (m.drained && e.state == EndpointState::gone);
        m.listed = e.state == EndpointState::ready ||
                   (e.state == EndpointState::gone && !set.removal_binds.value_or(true) && !m.drained);
    }

    void on(const RequestArrival& q) {
        std::size_t index = std::size_t(q.request_class);
        if (index >= classes.size() || !groups.count(q.group)) {  // an unknown class, or no list has named
            bool known = index < classes.size();                  // a member of the group: it never ran
            act(RejectRequest{q.id, known ? advice() : std::nullopt, false});
            return;
        }
        Class& c = *classes[index];
        Live& r = live[q.id] = Live{q.id, classes[index], set.attempts.value_or(2), q.group, q.session};
        r.arrived = now;
        r.draw = chance();
        r.deadline = now + q.client_timeout;
        r.latency_objective =
            std::min(now + c.latency_objective - passed(c, q.client_timeout, q.repeat), r.deadline);
        Group& g = groups[q.group];
        if (q.since_last_write) r.token = now - *q.since_last_write;
        for (double* credit : {&probe_credit, &ask_credit})
            *credit = std::min(*credit + 1 / std::max(probes_cost(), 0.1), kProbeCredit);
        use(g, r);
        // No answer could earn anything any more, or the client leaves before one usually comes: it may come
        // again with the time that it would lose. Guards members against work and closed connections.
        Duration usual =
            c.answers > 1 ? std::min(from_ms(c.usual_ms), c.latency_objective / 2) : Duration::zero();
        if (r.deadline <= now + kAnswerMargin + usual || (c.late_share <= 0 && r.latency_objective <= now))
            return conclude(r);
        hold(g, r);
        pump(g);
    }

    // A group's first use probes it. From then on upkeep looks after it until it is idle.
    void use(Group& g, const Live& r) {
        if (!g.first_use) {
            g.first_use = now;
            // Exception: where probes have a price, the listed primary and a few others by chance at first.
            std::vector<Endpoint*> some = g.members;
            std::shuffle(some.begin(), some.end(), random);
            std::partition(some.begin(), some.end(), [](Endpoint* m) { return !!m->primary_as_of; });
            if (probes_cost() > 0) some.resize(std::min(some.size(), kFirstProbes));
            for (Endpoint* m : some) probe(*m);
        }
        if (needed(r)) {
            g.reads = reads(g) + 1;
            g.reads_at = now;
        }
        if (std::exchange(g.active, true)) return;
        active.push_back(&g);
        if (active.size() == 1) act(SetTimer{kUpkeepTimer, kUpkeep});
    }

    double reads(const Group& g) const { return g.reads * std::exp(-ms(now - g.reads_at) / ms(kUseMemory)); }

    // Exception: probing at the bound's pace is for groups in steady use, whose reads come at least as fast
    // as such probes would. Any other has lapsed to first use: a read that needs a position asks one replica.
    bool steady(const Group& g) const {
        return reads(g) * ms(probe_every) >=
               ms(kUseMemory) * double(g.members.size() - 1) * std::max(1.0, probes_cost());
    }

    // Time that a client's earlier tries have used up. Most tries come with one usual patience; any other is
    // what is left of the deadline. Guards against work on tries whose aim has passed. Where patience varies
    // from client to client no value is usual, and nothing is held to have passed; nor of a first try, where
    // clients mark the others: the short patience of some may become the usual one.
    Duration passed(Class& c, Duration client_timeout, bool repeat) {
        marked = marked || repeat;
        c.patiences.push_back(client_timeout);
        if (c.patiences.size() > kPatiencesKept) c.patiences.pop_front();
        auto alike = [&](Duration p) {
            return p < client_timeout + kPatienceJitter && client_timeout < p + kPatienceJitter;
        };
        if (std::count_if(c.patiences.begin(), c.patiences.end(), alike) >= kUsualPatience)
            c.usual_patience = client_timeout;
        if (!c.usual_patience || alike(*c.usual_patience) || (marked && !repeat)) return Duration::zero();
        return std::max(Duration::zero(), c.deadline - client_timeout);
    }

    // As the client carries it, or as it is remembered now: a session may write while a read of it waits.
    // Where hosts don't check, a write that is out may have been answered already.
    Time token(const Live& r) const {
        if (set.tokens.value_or(TokenSource::carried) == TokenSource::carried) return r.token;
        auto out = [&](auto& l) { return l.second.writes_of(*r.session) && l.second.may_have_run() > 0; };
        if (!checked() && r.session && std::ranges::any_of(live, out)) return now;
        auto it = r.session ? tokens.find(*r.session) : tokens.end();
        return it == tokens.end() ? token_floor : std::max(it->second, token_floor);
    }

    // The member has done its work; what is left is to carry the answer over, at the client's pace.
    void on(const ResponseStarted& b) {
        auto mit = members.find(b.endpoint);
        auto it = live.find(b.id);
        if (mit == members.end() || it == live.end() || std::exchange(it->second.begun, true)) return;
        mit->second.out = std::max(0, mit->second.out - 1);
        AttemptOutcome answered{b.id, 0, b.endpoint, AttemptStatus::ok, b.latency, {}, {}, {}, {}, {}};
        judge(mit->second, answered, it->second.request_class.get());
        pump(groups[mit->second.group]);
    }

    void on(const AttemptOutcome& o) {
        auto mit = members.find(o.endpoint);
        if (mit == members.end()) return;
        Endpoint& m = mit->second;
        auto it = live.find(o.id);
        bool begun = it != live.end() && it->second.begun;
        if (!begun) m.out = std::max(0, m.out - 1);
        Class* c = it == live.end() ? nullptr : it->second.request_class.get();
        learn_answer(m, o, c);
        if (!begun || o.status == AttemptStatus::error || o.status == AttemptStatus::reset) judge(m, o, c);
        Group& g = groups[m.group];
        if (it != live.end()) settle(g, it->second, o);
        pump(g);
    }

    void on(const RequestCancelled& w) {
        auto it = live.find(w.id);
        if (it == live.end()) return;
        cancel(it->second);  // nobody waits for its answer any more
        finish(it->second);
    }

    void on(const HealthCheckResult& p) {
        auto it = members.find(p.endpoint);
        if (it == members.end()) return;
        Endpoint& m = it->second;
        m.probing = false;
        if (p.status == AttemptStatus::ok) {
            m.probe_failures = 0;
            m.pings.push_back(p.latency);
            if (m.pings.size() > kPingSamples) m.pings.pop_front();
            learn_report(m, p.report);
            // A probe shows that the process runs, which is all that an unreachable member lacked. It says
            // nothing of one that takes work and answers none.
            if (m.trouble == Trouble::unreachable) recover(m);
        } else if (p.status != AttemptStatus::rejected && p.status != AttemptStatus::not_started) {
            ++m.probe_failures;
            bool sure = p.status == AttemptStatus::unreachable || p.status == AttemptStatus::reset;
            if (sure || m.probe_failures >= kProbeFailures) trip(m, Trouble::unreachable);
        }
        pump(groups[m.group]);
    }

    void on(const PrimaryGossip& h) {  // hearsay proves nothing: it is worth a look of one's own
        auto it = members.find(h.endpoint);
        if (it != members.end() && primary(groups[it->second.group]) != &it->second) probe(it->second);
    }

    void on(const SessionTokens& t) {
        for (auto [key, commit] : t.commits) remember(key, commit);
        token_floor = std::max(token_floor, t.floor);
    }

    void on(const SettingsChanged& t) {
        auto before = std::exchange(classes, {});
        apply(t.settings);
        for (std::size_t i = 0; i < std::min(classes.size(), t.continues.size()); ++i)
            if (t.continues[i] && std::size_t(*t.continues[i]) < before.size())
                classes[i]->usual_ms = before[std::size_t(*t.continues[i])]->usual_ms;
        for (auto& [id, g] : groups) pump(g);
    }

    void on(const TimerExpired& t) {
        if (t.id == kUpkeepTimer) {
            upkeep();
        } else if (t.id == kListTimer) {
            list_asked = true;
            act(WatchEndpoints{});
        } else {
            auto it = live.find(RequestId(std::uint64_t(t.id) - kFirstRequestTimer));
            if (it == live.end() || (it->second.timer && *it->second.timer > now)) return;
            it->second.timer.reset();
            if (!it->second.finished) review(it->second);
        }
    }

    // ---- learning ------------------------------------------------------------------------------

    void learn_position(Endpoint& m, Time position) {
        m.told_at = now;
        m.position = std::max(m.position.value_or(position), position);  // positions never go back
    }

    void learn_primary(Endpoint& m, Time as_of) {
        if (m.replica_as_of && *m.replica_as_of >= as_of) return;  // an old report of a role since lost
        m.primary_as_of = std::max(m.primary_as_of.value_or(as_of), as_of);
    }

    void learn_answer(Endpoint& m, const AttemptOutcome& o, const Class* c) {
        learn_report(m, o.report);
        bool commit = c && c->consistency == Consistency::write && o.status == AttemptStatus::ok;
        if (o.position && !commit) learn_position(m, *o.position);
        if (o.role == Role::primary) learn_primary(m, now);
        if (o.role == Role::replica) learn_replica(m, now);
    }

    static void learn_replica(Endpoint& m, Time as_of) {
        m.replica_as_of = std::max(m.replica_as_of.value_or(as_of), as_of);
        m.primary_as_of.reset();
    }

    void learn_report(Endpoint& m, const LoadReport& report) {
        if (report.position) learn_position(m, *report.position);
        weigh_lag(m, report);
        if (!report.primary) return;
        // A primary's position is the time of its report, which orders reports of several members.
        Time as_of = report.position.value_or(now);
        if (*report.primary) return learn_primary(m, as_of);
        if (m.primary_as_of && as_of > *m.primary_as_of) learn_replica(m, as_of);
    }

    static Duration ping(const Endpoint& m) {
        Duration sum{};
        for (Duration p : m.pings) sum += p;
        return sum / std::max(1, int(m.pings.size()));
    }

    // ---- health --------------------------------------------------------------------------------

    // What an attempt's end says of the member: whether it answers, whether it errs, how strained it is.
    void judge(Endpoint& m, const AttemptOutcome& o, Class* c) {
        AttemptStatus s = o.status;
        bool answered = s == AttemptStatus::ok || s == AttemptStatus::error || s == AttemptStatus::rejected ||
                        s == AttemptStatus::miss || s == AttemptStatus::stale;
        if (s == AttemptStatus::ok) m.rest /= 2;
        if (answered) {
            m.silent_since = now;
            if (m.trouble != Trouble::none && (m.trouble != Trouble::erring || s == AttemptStatus::ok))
                recover(m);
        }
        if (answered || s == AttemptStatus::reset) {
            m.error_share +=
                kErrorGain * ((s == AttemptStatus::error || s == AttemptStatus::reset) - m.error_share);
            if (m.error_share > kErrorTrip) trip(m, Trouble::erring);
        }
        if (s == AttemptStatus::unreachable) trip(m, Trouble::unreachable);
        if (s == AttemptStatus::unreachable || s == AttemptStatus::reset) probe(m);
        if (s == AttemptStatus::not_started)
            m.rest_until = std::max(m.rest_until, now + kRest);  // no connection was free
        if (o.status == AttemptStatus::rejected) {
            m.rest = std::clamp(m.rest * 2, kRest, kRestMost);
            m.rest_until = now + from_ms(ms(m.rest) * (0.5 + chance()));
            cut(m, kShrinkFull);
        }
        if (c && (o.status == AttemptStatus::ok || o.status == AttemptStatus::timeout ||
                  o.status == AttemptStatus::cancelled))
            weigh(m, *c, o);
    }

    // A member's window follows how its answers compare with what the clients want, whatever slows it: a
    // neighbour, a pause, an old machine, a crowd. It guards against a queue whose every answer is late. It
    // could do harm where answers are slow for a reason that less work doesn't mend.
    void weigh(Endpoint& m, Class& c, const AttemptOutcome& o) {
        double took = ms(o.latency);
        if (o.status == AttemptStatus::ok) {
            c.usual_ms += std::max(kLatencyGain, 1 / ++c.answers) * (took - c.usual_ms);
            m.usual_ms += (m.usual_ms > 0 ? kStrainGain : 1) * (took - m.usual_ms);
        }
        double latency_objective = std::max(1.0, ms(c.latency_objective));
        m.load_ratio += kStrainGain * (std::min(took / latency_objective, 2.0) - m.load_ratio);
        if (m.load_ratio > kStrainShrink) {
            cut(m, kShrink);
        } else if (m.load_ratio < kStrainGrow && m.behind < kLagGrow && o.status == AttemptStatus::ok &&
                   m.out + 1 >= m.window - 1) {
            m.window = std::min(kWindowMost, m.window + (m.slow_start ? 1 : 1 / m.window));
        }
    }

    // A replica applies the log with what its reads leave of its cores, and answers as fast as ever while it
    // falls behind. Guards against reads that crowd out the log until no bounded read may go there at all.
    // Idle cores say that the log stands still for another reason: its primary is gone, or a link is cut.
    void weigh_lag(Endpoint& m, const LoadReport& report) {
        if (!report.position || !(report.cpu_utilization || report.in_flight) ||
            &m == primary(groups[m.group]))
            return;
        m.behind = ms(now - *report.position) / ms(probe_every * kProbesPerBound);
        double busy = report.cpu_utilization.value_or(report.in_flight.value_or(0) / kHeldBusy);
        if (busy > (m.behind > kLagShrink ? kLagBusy : kBusyShrink)) cut(m, kShrink);
    }

    void cut(Endpoint& m, double by) {
        m.slow_start = false;
        if (now - m.cut_at < from_ms(m.usual_ms)) return;  // one cut for what went out together
        m.cut_at = now;
        m.window = std::max(1.0, std::min(m.window, m.out + 1.0) * by);
    }

    void trip(Endpoint& m, Trouble t) {
        if (m.trouble == Trouble::none) {
            m.trouble_since = now;
            m.backoff = kTrialFirst;
            log("member " + name(m.id) +
                (t == Trouble::silent   ? " takes work and answers nothing"
                 : t == Trouble::erring ? " answers with errors"
                                        : " can't be reached"));
        }
        m.trouble = t;
        m.trial_at = now + m.backoff;
    }

    void recover(Endpoint& m) {
        log("member " + name(m.id) + " is back");
        m.trouble = Trouble::none;
        m.error_share = 0;
        m.load_ratio = 0;
        m.window = std::min(m.window, kWindowReturn);
        m.slow_start = true;
        m.silent_since = now;
    }

    // May the request be sent there as far as list and health go? In trouble only as a trial.
    bool usable(const Endpoint& m, const Live& r) const {
        if (!m.listed || now < m.rest_until) return false;
        if (m.trouble == Trouble::none) return true;
        if (m.trouble == Trouble::unreachable && may_probe()) return false;  // a probe tries it at no risk
        if (now < m.trial_at) return false;
        return r.request_class->idempotency == Idempotency::idempotent ||
               now - m.trouble_since >= kUnsafeTrial;
    }

    // ---- cold members --------------------------------------------------------------------------

    bool cold(const Endpoint& m) const {
        return m.started && now < *m.started + set.ramp.value_or(Duration::zero());
    }

    // The part of its full work that a member can surely do now.
    double ready_share(const Endpoint& m) const {
        double from = set.slow_start_share.value_or(0), multiple = set.overload_multiple.value_or(0);
        double care = kColdCare * (multiple > 0 ? multiple : 1);  // zero is no figure: nothing would be sent
        return care * (from + (1 - from) * std::max(0.0, ms(now - *m.started) / ms(*set.ramp)));
    }

    // A cold member gets the share it can surely do of the requests that would be its own: those whose draw
    // lies under that share. Each proxy thins its own traffic, so all together stay within the rule without
    // talking, however little each of them sees, and a held request passes once the share has grown to it.
    // Guards against a whole group that comes back cold, too. Could do harm where a member is warm long
    // before the stated time.
    bool room(const Endpoint& m, const Group& g, const Live& r, std::size_t rivals) const {
        double part = r.for_primary() || &m != primary(g) ? 1 : kReadsOfPrimary;
        if (m.trouble == Trouble::none && m.out >= std::max(1.0, m.window * part)) return false;
        if (!cold(m)) return true;
        double replicas =
            std::count_if(g.members.begin(), g.members.end(), [](auto* o) { return o->listed; }) - 1.0;
        return r.draw < ready_share(m) * (r.for_primary() ? 1 : std::min(1.0, double(rivals) / replicas));
    }

    // ---- choice --------------------------------------------------------------------------------

    // The member that was last known to be primary: the newest of all claims, told by answers or reports.
    static Endpoint* primary(const Group& g) {
        Endpoint* best = nullptr;
        for (Endpoint* m : g.members)
            if (m->primary_as_of && (!best || *m->primary_as_of > *best->primary_as_of)) best = m;
        return best;
    }

    // Writes, fresh reads, and session reads that no replica can serve. Without a usable primary they wait.
    Choice choose_primary(const Group& g, Live& r) {
        Endpoint* p = primary(g);
        if (!p || !usable(*p, r) || !room(*p, g, r, 1)) return {Verdict::wait};
        return {Verdict::endpoint, p};
    }

    std::optional<Time> needed(const Live& r) const {
        if (r.request_class->consistency == Consistency::bounded) return now - r.request_class->bound;
        if (r.request_class->consistency == Consistency::session && token(r) > Time{}) return token(r);
        return std::nullopt;
    }

    bool surely_behind(const Endpoint& m, Duration bound) const {
        return m.position && now - m.told_at < kReportAge && m.told_at - *m.position > bound + kReportAge;
    }

    // Where the member is if it still lags as last told; behind all others if nothing was told.
    Time stands(const Endpoint& m) const { return m.position ? *m.position + (now - m.told_at) : Time{}; }
    // Just told to lag so far that it won't reach the position in time, even if it waits for the rest.
    bool falls_short(const Endpoint& m, Time need) const {
        return need > Time{} && m.position && now - m.told_at < kReportAge && stands(m) + kMemberWait < need;
    }

    Choice choose(const Group& g, Live& r) {
        if (r.for_primary()) return choose_primary(g, r);
        // Mode: replicas. Health drops members in trouble, but when it would drop all of them, what looks
        // like their trouble is everyone's (a slow network, a shared disk), and those that can be reached
        // stay in.
        std::vector<Endpoint*> up, doubtful;
        const Endpoint* p = primary(g);
        for (Endpoint* m : g.members) {
            if (m == p || r.tried(m)) continue;
            if (usable(*m, r))
                up.push_back(m);
            else if (m->listed && m->trouble != Trouble::unreachable)
                doubtful.push_back(m);
        }
        if (up.empty()) up = doubtful;
        // Tags: none by default. Position:
        std::optional<Time> need = needed(r);
        std::vector<Endpoint*> fit;
        for (Endpoint* m : up)
            if (!need || m->position >= need ||
                (checked() && !must_be_proven(r) && expected(*m, *need, r.request_class->bound)))
                fit.push_back(m);
        if (fit.empty()) return choose_unfit(g, r, up);
        // Ping, then room, then chance.
        Duration nearest = ping(*fit.front());
        for (Endpoint* m : fit) nearest = std::min(nearest, ping(*m));
        std::erase_if(fit, [&](Endpoint* m) { return ping(*m) > nearest + kPingWindow; });
        std::erase_if(fit, [&, rivals = fit.size()](Endpoint* m) { return !room(*m, g, r, rivals); });
        // Exception: where no replica that has reached the token has room, the primary may.
        if (fit.empty() && r.request_class->consistency == Consistency::session) return choose_primary(g, r);
        if (fit.empty()) return {Verdict::wait};
        // Exception: while some replicas are too far behind for bounded reads, they serve the any reads.
        // Guards against long reads that hold up the log on one replica after another until none is fit for
        // the rest.
        if (r.request_class->consistency == Consistency::any) {
            auto behind = [&](Endpoint* m) { return surely_behind(*m, probe_every * kProbesPerBound); };
            if (std::any_of(fit.begin(), fit.end(), behind)) std::erase_if(fit, std::not_fn(behind));
        }
        return {Verdict::endpoint, fit[random() % fit.size()]};
    }

    // Exception: where members check, what one was last known to lag by lasts, and a bounded read tries it
    // again when it may do. Guards the one that a proxy has heard of last against all its reads, and gives
    // new ones a part of them.
    bool expected(const Endpoint& m, Time need, Duration bound) const {
        if (!m.position) return m.started && *m.started - kCopyAge + kCatchUp * (now - *m.started) >= need;
        if (stands(m) >= need) return true;
        return bound != Duration::zero() && *m.position + kCatchUp * (now - m.told_at) >= need + kMissRest;
    }
    // A member that checks may not have heard yet of a commit that the session has been told of, and then
    // answers with older data. A read that may not run again after that is sent only where its data is known
    // to be new enough.
    bool must_be_proven(const Live& r) const {
        return r.request_class->idempotency == Idempotency::not_idempotent &&
               r.request_class->consistency == Consistency::session && now < token(r) + kCommitUnheard;
    }
    // No replica is known to pass.
    Choice choose_unfit(const Group& g, Live& r, const std::vector<Endpoint*>& up) {
        bool bounded = r.request_class->consistency == Consistency::bounded;
        std::vector<Endpoint*> hopeful;  // what is known of them is merely old
        for (Endpoint* m : up)
            if (!bounded || !(surely_behind(*m, r.request_class->bound) || (checked() && m->position)))
                hopeful.push_back(m);
        bool early = now < *g.first_use + kFirstHold, hope = g.members.empty() || !hopeful.empty();
        std::erase_if(hopeful, [&](Endpoint* m) { return !room(*m, g, r, 1); });
        if (checked() && r.attempts.empty() && !must_be_proven(r)) {
            std::shuffle(hopeful.begin(), hopeful.end(), random);
            Endpoint* least = nullptr;
            for (Endpoint* m : hopeful)
                if (!falls_short(*m, token(r)) && (!least || stands(*m) > stands(*least))) least = m;
            if (least) return {Verdict::endpoint, least};
        } else if (!checked() && may_probe() && (bounded || r.asks < kSessionAsks)) {
            if (r.asked && r.asked->probing &&
                now < r.asked_at + std::max(kAskLeast, from_ms(ms(ping(*r.asked)) * kAskPings)))
                return {Verdict::wait};
            std::erase_if(hopeful, [&](Endpoint* m) { return m->probing || now < m->told_at + probe_every; });
            if (!hopeful.empty()) {
                r.asked = hopeful[random() % hopeful.size()];
                r.asked_at = now;
                ++r.asks;
                probe(*r.asked, true);
                return {Verdict::wait};
            }
        }
        if (r.request_class->consistency == Consistency::session && now >= *g.first_use)
            return choose_primary(g, r);
        return {early || (hope && bounded) ? Verdict::wait : Verdict::hopeless};
    }

    // ---- a request's life ----------------------------------------------------------------------

    void hold(Group& g, Live& r) {
        r.held = true;
        g.held.push_back(r.id);
    }

    // A held read is worth holding while it can still be served within its aim, and long enough to ask a
    // replica: else a class whose answers take long would be refused on arrival, every request of it. What
    // only a primary can take waits until its deadline: the gap of a primary change ends in time, and nobody
    // else can serve it.
    static Time worth_holding_until(const Live& r) {
        return r.arrived + from_ms(ms(r.deadline - r.arrived) * kHoldShare);
    }
    Time give_up(const Live& r) const {
        if (r.for_primary())
            return std::min(r.deadline - kAnswerMargin - from_ms(r.request_class->usual_ms),
                            worth_holding_until(r));
        return std::max(r.arrived + kLeastHold,
                        r.latency_objective - from_ms(r.request_class->usual_ms * kTail));
    }

    // Serves what is held, as far as members have room: what can still meet its aim first, then by worth for
    // the time that it takes.
    void pump(Group& g) {
        if (g.held.empty()) return;
        std::vector<Live*> queue;
        for (RequestId id : g.held) queue.push_back(&live.at(id));
        g.held.clear();
        auto late = [&](const Live* r) {
            return now > r->latency_objective - from_ms(r->request_class->usual_ms);
        };
        std::stable_sort(queue.begin(), queue.end(), [&](const Live* a, const Live* b) {
            if (late(a) != late(b)) return late(b);
            double wa = a->request_class->priority_weight / a->request_class->usual_ms,
                   wb = b->request_class->priority_weight / b->request_class->usual_ms;
            return wa != wb ? wa > wb : a->arrived > b->arrived;
        });
        for (Live* r : queue) {
            // The window of a keyed request may have closed while it was held.
            Choice c = may_go_again(*r) ? choose(g, *r) : Choice{Verdict::hopeless};
            if (c.verdict == Verdict::endpoint) {
                send(*r, *c.endpoint);
            } else if (c.verdict == Verdict::hopeless || now >= give_up(*r)) {
                conclude(*r);
            } else {
                g.held.push_back(r->id);
                schedule(*r, give_up(*r));
            }
        }
    }

    void send(Live& r, Endpoint& m) {
        r.held = false;
        Time start_by = std::min(worth_holding_until(r), repeat_until(r));
        r.attempts.push_back({&m, now});
        m.awaited_ms =
            m.out == 0 ? r.request_class->usual_ms : std::max(m.awaited_ms, r.request_class->usual_ms);
        if (m.out++ == 0) m.silent_since = now;
        if (m.trouble != Trouble::none) {
            m.backoff = std::min(m.backoff * 2, kTrialMost);
            m.trial_at = now + m.backoff;
        }
        // Without a connection by then it ends, with time left to go elsewhere or to come again. Others can
        // serve a read within its aim: it does not wait out a connection that does not come up.
        if (!r.for_primary())
            start_by =
                std::min(start_by, now + std::max(kLeastStart, (r.latency_objective - now) / kStartsPerAim));
        act(SendAttempt{r.id, m.id, std::nullopt, needed(r), start_by - now});
        schedule(r, r.deadline - kAnswerMargin);
    }

    void settle(Group& g, Live& r, const AttemptOutcome& o) {
        if (o.attempt < r.attempts.size()) {
            r.attempts[o.attempt].out = false;
            r.attempts[o.attempt].execution = o.execution();
        }
        bool ok = o.status == AttemptStatus::ok;
        bool lost = !checked() && !ok && o.execution() != Execution::never_ran;
        if (r.session && r.writes_of(*r.session) && (lost || (o.finished && ok && o.position)))
            remember(*r.session, lost ? now : *o.position);
        if (o.finished || r.finished) return finish(r);
        if (r.out() > 0) return;
        may_go_again(r) ? hold(g, r) : conclude(r);
    }

    // Rule 2. Whatever the health or the hurry, this is what a class allows.
    bool may_go_again(const Live& r) const {
        if (r.attempts.size() >= r.most_attempts || now >= r.deadline - kAnswerMargin) return false;
        if (r.may_have_run() > kRepeats) return false;
        if (r.request_class->idempotency == Idempotency::idempotent || !r.may_have_run()) return true;
        if (r.request_class->idempotency == Idempotency::not_idempotent) return false;
        // A group may span zones: no repeat is sure to be dropped there.
        return r.request_class->scope != DeduplicationScope::zone && now < repeat_until(r);
    }
    // From the first send that may have run. What waits for a connection then may not begin any more.
    static Time repeat_until(const Live& r) {
        auto may_have_run = [](const Attempt& a) { return a.execution != Execution::never_ran; };
        auto first = std::ranges::find_if(r.attempts, may_have_run);
        if (first == r.attempts.end() || r.request_class->idempotency == Idempotency::idempotent)
            return Time::max();
        return first->sent + r.request_class->window - kUpkeep;
    }

    // A request in hand is looked at again: its time is up, or it may be.
    void review(Live& r) {
        if (r.begun) return;
        Group& g = groups[r.group];
        if (r.held) {
            if (now >= give_up(r) || now >= r.deadline - kAnswerMargin) {
                std::erase(g.held, r.id);
                conclude(r);
            } else {
                schedule(r, give_up(r));
            }
        } else if (now >= r.deadline - kAnswerMargin) {
            conclude(r);
        } else {
            schedule(r, r.deadline - kAnswerMargin);
        }
    }

    // The final answer, at once. A refusal promises that trying again is harmless.
    void conclude(Live& r) {
        bool harmless = r.request_class->idempotency == Idempotency::idempotent || !r.may_have_run() ||
                        (r.request_class->idempotency == Idempotency::idempotency_key &&
                         r.request_class->scope == DeduplicationScope::all);
        cancel(r);
        bool late = now >= r.deadline - kAnswerMargin;
        act(harmless ? Action{RejectRequest{r.id, advice(), late}} : Action{FailRequest{r.id, late}});
        finish(r);
    }

    std::optional<Duration> advice() const {
        if (!set.retry_after.value_or(false)) return std::nullopt;
        return std::min(kRetryAfter, set.max_retry_after.value_or(kRetryAfter));
    }

    void cancel(const Live& r) {
        if (!set.cancels.value_or(false)) return;
        for (std::size_t i = 0; i < r.attempts.size(); ++i)
            if (r.attempts[i].out) act(CancelAttempt{r.id, std::uint32_t(i)});
    }

    void finish(Live& r) {
        r.finished = true;
        if (r.held) {
            r.held = false;
            std::erase(groups[r.group].held, r.id);
        }
        if (r.out() == 0) live.erase(r.id);
    }

    void schedule(Live& r, Time at) {
        at = std::max(std::min(at, r.deadline - kAnswerMargin), now);
        if (r.timer && *r.timer <= at && *r.timer > now) return;
        r.timer = at;
        act(SetTimer{TimerId(std::uint64_t(r.id) + kFirstRequestTimer), at - now});
    }

    void remember(SessionKey key, Time commit) {
        Time& token = tokens[key];
        token = std::max(token, commit);
        token_order.push_back({key, commit});
        auto over = [&] {
            return token_order.size() > kSessionsKept || now - token_order.front().second > kTokenKept;
        };
        while (!token_order.empty() && over()) {
            auto [old, when] = token_order.front();
            token_order.pop_front();
            auto it = tokens.find(old);
            if (it == tokens.end() || it->second != when) continue;
            // Forgetting may not let a stale read through: from here on all session reads must see it.
            token_floor = std::max(token_floor, when);
            tokens.erase(it);
        }
    }

    // ---- upkeep --------------------------------------------------------------------------------

    void upkeep() {
        std::vector<Group*> busy;
        for (Group* g : std::exchange(active, {})) {
            look_after(*g);
            bool out =
                std::any_of(g->members.begin(), g->members.end(), [](Endpoint* m) { return m->out > 0; });
            g->active = out || !g->held.empty() || steady(*g);
            if (g->active) busy.push_back(g);
        }
        active.insert(active.begin(), busy.begin(), busy.end());
        if (!active.empty()) act(SetTimer{kUpkeepTimer, kUpkeep});
    }

    void look_after(Group& g) {
        for (Endpoint* m : g.members) watch_silence(*m);
        Endpoint* p = primary(g);
        if (p && g.logged_primary != p->id) {
            log("primary is member " + name(p->id));
            g.logged_primary = p->id;
        }
        bool paced = steady(g);
        bool seeking = !g.held.empty() && (!p || !p->listed || p->trouble != Trouble::none);
        Duration seek = std::clamp(kUseMemory * int(g.members.size()) / int(kSeekProbes * reads(g) + 1),
                                   kSeekPrimary, kSeekMost);
        for (Endpoint* m : g.members) {
            if (!m->listed) continue;
            Duration every = m == p ? kProbeAtLeast : probe_every;
            bool due = paced && (now >= m->told_at + every || now >= m->probe_sent + kProbeAtLeast);
            bool trial = m->trouble == Trouble::unreachable && now >= m->trial_at;
            if (due || trial || (seeking && now >= m->probe_sent + seek)) {
                if (trial) m->backoff = std::min(m->backoff * 2, kTrialMost);
                if (trial) m->trial_at = now + m->backoff;
                probe(*m);
            }
        }
        pump(g);
    }

    // A member that has work and answers nothing at all: hung, cut off, or its answers are lost. Guards
    // writes against piling up where nobody serves them. Could do harm on a long pause: its first answer
    // undoes it.
    void watch_silence(Endpoint& m) {
        if (m.trouble != Trouble::none || m.out < kSilentOut) return;
        if (now - m.silent_since >
            std::max(kSilence, from_ms(std::max(m.usual_ms, m.awaited_ms) * kSilentAnswers / m.out)))
            trip(m, Trouble::silent);
    }

    // Guards against probes that grow with proxies times members, or with the time that reads wait: what
    // they cost the fleet is paid for by the requests of the proxy that sends them.
    void probe(Endpoint& m, bool asked = false) {
        double& credit = asked ? ask_credit : probe_credit;
        if (!may_probe() || m.probing || !m.listed || (probes_cost() > 0 && credit < 1)) return;
        credit -= probes_cost() > 0;
        m.probing = true;
        m.probe_sent = now;
        act(CheckHealth{m.id});
    }
};

RoutingPolicy::RoutingPolicy(const Settings& settings, std::uint64_t seed, Time now)
    : engine_(std::make_unique<Engine>(settings, seed, now)) {}
RoutingPolicy::~RoutingPolicy() = default;
RoutingPolicy::RoutingPolicy(RoutingPolicy&&) noexcept = default;
RoutingPolicy& RoutingPolicy::operator=(RoutingPolicy&&) noexcept = default;

SessionTokens RoutingPolicy::tokens() const {
    SessionTokens all{{}, engine_->token_floor};
    for (auto& [key, commit] : engine_->token_order)
        if (auto it = engine_->tokens.find(key); it != engine_->tokens.end() && it->second == commit)
            all.commits.push_back({key, commit});
    return all;
}

void RoutingPolicy::handle(Time now, const Event& event, Actions& out) {
    engine_->now = now;
    engine_->acts = &out;
    engine_->begin();
    std::visit([this](const auto& e) { engine_->on(e); }, event);
}

}  // namespace indigovane::policy
