#include "lab/fleet.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <unordered_map>

namespace indigovane::lab {

using namespace std::chrono_literals;
using policy::AttemptStatus;
using policy::Consistency;
using policy::EndpointListKind;
using policy::EndpointState;
using policy::Role;
using routing::Answer;
using routing::AttemptResult;
using routing::BackendConnection;
using routing::BackendTask;
using routing::ClientRequest;
using routing::FinalError;
using Defect = FleetOptions::Defect;

namespace {

enum Part : std::uint32_t { kTraffic = 1, kWork, kTroubles, kPoolers };

Duration seconds(double s) {
    return Duration(std::int64_t(s * 1e6));
}

struct Silent final : routing::Logger {
    void log(routing::Level, const char*, const std::string&, const Data&) override {}
};

class World;

// A database host: cores that work, a queue before them, a log that it has or applies.
struct Host {
    std::uint32_t number = 0, group = 0, zone = 0;
    bool primary = false, up = true, draining = false;
    bool refuses = false;  // while it is not up: the machine is there and says so
    double slow = 1;       // gray: times as long
    // Of a replica. Behind: it stands still until it is so far behind. Catching up: four times as fast as
    // time.
    enum class Log { current, behind, catching_up } log = Log::current;
    Time stood{}, since{};         // at that position, since then
    Time applied{}, applied_at{};  // where options.apply_use counts: the position, and when it was reckoned
    Duration behind{};
    std::optional<Time> started;  // none: long ago
    std::size_t busy = 0, links = 0;
    std::uint64_t life = 1;  // ends with each kill: what belongs to an earlier one is over
    struct Waiting {
        std::uint64_t id;
        Duration work;
        std::function<void()> done;
    };
    std::deque<Waiting> queue;
};

// One connection between a pooler and a host. Bytes take their way's time; closing is seen at once here and
// later there.
class FleetLink : public BackendConnection, public std::enable_shared_from_this<FleetLink> {
  public:
    FleetLink(World& world, std::uint64_t number, std::uint32_t pooler, Host& host, Owner& owner)
        : number(number), world_(world), pooler_(pooler), host_(host), owner_(&owner) {}
    const std::uint64_t number;  // by opening: an order that hangs on no address
    void open(Duration timeout);
    void submit(const ClientRequest& item, Duration remaining, std::optional<std::int64_t> needs) override;
    void probe() override;
    bool quiet() override { return owner_ && up_ && (life_ == host_.life || !host_.up); }
    void close() override;
    void broken();  // by the host's end

  private:
    void answer(AttemptResult result);
    void work(const ClientRequest& item, std::optional<std::int64_t> needs);
    World& world_;
    std::uint32_t pooler_;
    Host& host_;
    Owner* owner_;
    std::uint64_t life_ = 0, job_ = 0;
    std::string request_;  // out on it
    bool up_ = false, counted_ = false;
};

struct ByNumber {
    bool operator()(const FleetLink* a, const FleetLink* b) const { return a->number < b->number; }
};

// One pooler: the real core, driven by the timeline.
class Pooler : private routing::Driver, private routing::Backend {
  public:
    Pooler(World& world, std::uint32_t number, std::uint64_t seed);
    routing::Core core;
    const std::uint32_t number;
    bool no_link = false;              // to any host
    std::optional<Time> asleep_until;  // stands still
    bool follows = false;              // the list's changes

  private:
    void wake() override;
    void alarm(std::optional<Time> at) override;
    std::shared_ptr<BackendConnection> open(const std::string& address, Duration timeout,
                                            BackendConnection::Owner& owner) override;
    void batch();
    World& world_;
    std::uint64_t alarms_ = 0;
    bool woken_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    friend class World;
};

class World {
  public:
    explicit World(const FleetOptions& o)
        : options(o),
          timeline(o.permutation),
          clock(timeline),
          auditor({.drain = o.drain_grace + 50ms,
                   .bound = o.bound + 50ms,
                   .slow_start_share = o.slow_start_share,
                   .overload_multiple = o.overload_multiple,
                   .ramp = o.ramp,
                   .overload_window = o.overload_window}),
          traffic(o.seed, kTraffic),
          work(o.seed, kWork),
          troubles(o.seed, kTroubles) {}

    Summary run();
    policy::Settings settings() const;

    const FleetOptions& options;
    Timeline timeline;
    VirtualClock clock;
    Auditor auditor;
    Silent silent;
    Stream traffic, work, troubles;
    std::vector<std::unique_ptr<Host>> hosts;
    Summary summary;
    std::map<std::uint32_t, std::set<FleetLink*, ByNumber>> links;  // by host; poolers close theirs at their end
    std::vector<std::unique_ptr<Pooler>> poolers;
    std::uint64_t works = 0, opened = 0;

    // It never goes back.
    Time position(const Host& h) const {
        if (h.primary) return timeline.now();
        Time current = timeline.now() - options.ship;
        switch (h.log) {
            case Host::Log::current:
                break;
            case Host::Log::behind:
                return std::max(h.stood, current - h.behind);
            case Host::Log::catching_up:
                return std::min(current, h.stood + (timeline.now() - h.since) * 4);
        }
        return options.apply_use > 0 ? std::min(current, applied(h)) : current;
    }
    // The log's one thread shares the cores with all that is in hand, and catches up no faster than it can.
    Time applied(const Host& h) const {
        auto others = double(h.busy + h.queue.size());
        auto cores = double(options.cores);
        double pace = std::min(1.0, cores / (others + 1)) / options.apply_use;
        Time at = h.applied + Duration(std::int64_t(double((timeline.now() - h.applied_at).count()) * pace));
        return std::min(at, timeline.now());
    }
    // Before what is in hand changes.
    void reckon(Host& h) const {
        if (options.apply_use <= 0) return;
        h.applied = applied(h);
        h.applied_at = timeline.now();
    }
    Duration time_of(const Host& h, Duration work) const {
        double warm = 1;
        if (h.started) {
            double age = double((timeline.now() - *h.started).count()) / double(options.ramp.count());
            warm = std::min(1.0, options.slow_start_share + (1 - options.slow_start_share) * age);
        }
        return Duration(std::int64_t(double(work.count()) * h.slow / warm));
    }
    std::uint64_t take(Host& h, Duration amount, std::function<void()> done);
    void drop(Host& h, std::uint64_t id);
    void begin(Host& h, Duration amount, std::function<void()> done);
    routing::EndpointInfo info(const Host& h) const;
    void tell(const Host& h);
    // Whether bytes pass from a pooler to a host, and back.
    bool reaches(std::uint32_t pooler, const Host& h) const;
    bool hears(std::uint32_t pooler, const Host& h) const;
    std::uint32_t zone_of(std::uint32_t pooler) const { return pooler % std::max(1u, options.zones); }
    void follow(Pooler& p);  // asks for the list's changes

  private:
    // One try of a client. Ends with one call; what is refused may be tried again.
    struct Try final : routing::Responder {
        World* world = nullptr;
        std::uint32_t pooler = 0;
        routing::RequestId core_id{};
        std::string id;
        std::size_t request_class = 0;
        std::uint64_t session = 0;
        std::uint32_t group = 0;
        Time first{}, deadline{};
        unsigned left = 0;
        bool over = false;
        void served(const Answer& answer) override { world->served(*this, answer); }
        void ended(const FinalError& ending) override { world->ended(*this, ending); }
    };
    void arrive();
    void ask(std::size_t request_class, std::uint64_t session, std::uint32_t group, Time first,
             unsigned left);
    void served(Try& t, const Answer& answer);
    void ended(Try& t, const FinalError& ending);
    void start(const Trouble& trouble);
    std::vector<Host*> some(double part, bool replicas);
    void break_links(const Host& h);
    void kill(Host& h, bool silently = false);
    void elect(std::uint32_t group);
    void flap(std::uint32_t zone, Time until);
    void revive(Host& h);
    double rate_now() const { return options.rate * jump_; }
    std::vector<routing::EndpointInfo> all() const;
    void add(Pooler& p);
    void whole_list(Pooler& p);

    std::unordered_map<std::uint64_t, std::unique_ptr<Try>> tries_;
    std::vector<std::unique_ptr<Pooler>> ended_poolers_;
    std::uint64_t ids_ = 0;
    double jump_ = 1, caller_ = 0;
    bool blind_ = false;
    std::set<std::uint32_t> cut_, deaf_;  // zones
    Time service_free_{};                 // discovery, where it is asked
    bool silenced_ = false;               // the defect has been planted
    friend class FleetLink;
};

// ---- hosts ---------------------------------------------------------------------------------------

void World::begin(Host& h, Duration amount, std::function<void()> done) {
    reckon(h);
    ++h.busy;
    timeline.after(time_of(h, amount), Rank::world, [this, &h, life = h.life, done = std::move(done)] {
        if (h.life != life) return;
        reckon(h);
        --h.busy;
        done();
        while (h.busy < options.cores && !h.queue.empty()) {
            auto next = std::move(h.queue.front());
            h.queue.pop_front();
            begin(h, next.work, std::move(next.done));
        }
    });
}

// 0: turned away.
std::uint64_t World::take(Host& h, Duration amount, std::function<void()> done) {
    std::uint64_t id = ++works;
    if (h.busy < options.cores)
        begin(h, amount, std::move(done));
    else if (h.queue.size() < options.queue) {
        reckon(h);
        h.queue.push_back({id, amount, std::move(done)});
    } else
        return 0;
    return id;
}

void World::drop(Host& h, std::uint64_t id) {
    reckon(h);
    if (options.cancels) std::erase_if(h.queue, [&](auto& w) { return w.id == id; });
}

// ---- links ---------------------------------------------------------------------------------------

void FleetLink::open(Duration timeout) {
    ++world_.summary.connects;
    auto weak = weak_from_this();
    // A machine that is gone, or out of reach, says nothing.
    if (!host_.up || !world_.reaches(pooler_, host_) || !world_.hears(pooler_, host_)) {
        Duration wait = !host_.up && host_.refuses ? world_.options.one_way * 2 : timeout;
        world_.timeline.after(wait, Rank::arrival, [weak] {
            auto self = weak.lock();
            if (self && self->owner_) std::exchange(self->owner_, nullptr)->on_end(*self, End::unreachable);
        });
        return;
    }
    life_ = host_.life;
    world_.links[host_.number].insert(this);
    counted_ = true;
    bool room = ++host_.links <= world_.options.connections;
    // A handshake and the startup: two ways and back.
    world_.timeline.after(world_.options.one_way * 4, Rank::arrival, [weak, room] {
        auto self = weak.lock();
        if (!self || !self->owner_ || self->up_) return;
        if (!room) return std::exchange(self->owner_, nullptr)->on_end(*self, End::rejected);
        self->up_ = true;
        self->owner_->on_ready(*self);
    });
}

void FleetLink::close() {
    owner_ = nullptr;
    if (!request_.empty()) {
        world_.auditor.back(request_, world_.timeline.now());
        request_.clear();
        // The host hears of it a way's time later, and drops what it has not begun.
        world_.timeline.after(world_.options.one_way, Rank::world,
                              [w = &world_, h = &host_, task = job_, life = life_] {
                                  if (h->life == life) w->drop(*h, task);
                              });
    }
    if (std::exchange(counted_, false)) {
        world_.links[host_.number].erase(this);
        if (life_ == host_.life && host_.links > 0) --host_.links;
    }
}

void FleetLink::broken() {
    counted_ = false;
    if (!request_.empty()) {
        world_.auditor.back(request_, world_.timeline.now());
        request_.clear();
    }
    Owner* owner = std::exchange(owner_, nullptr);
    if (!owner) return;
    auto self = shared_from_this();
    world_.timeline.after(world_.options.one_way, Rank::arrival, [self, owner] {
        owner->on_end(*self, self->up_ ? End::written : End::unreachable);
    });
}

void FleetLink::answer(AttemptResult result) {
    auto weak = weak_from_this();
    if (!world_.hears(pooler_, host_)) return;
    world_.timeline.after(world_.options.one_way, Rank::arrival,
                          [weak, result = std::move(result)]() mutable {
                              auto self = weak.lock();
                              if (!self || !self->owner_) return;
                              if (!self->request_.empty()) {
                                  self->world_.auditor.back(self->request_, self->world_.timeline.now());
                                  self->request_.clear();
                              }
                              self->owner_->on_result(*self, std::move(result));
                          });
}

void FleetLink::submit(const ClientRequest& item, Duration, std::optional<std::int64_t> needs) {
    ++world_.summary.attempts;
    request_ = item.id;
    Time sent = world_.timeline.now();
    world_.auditor.sent(item.id, pooler_, host_.number, sent);
    world_.auditor.work(host_.number, world_.options.classes[std::size_t(item.request_class)].work, sent);
    if (world_.options.defect == Defect::second_copy && world_.summary.attempts % 500 == 7)
        world_.auditor.sent(item.id, pooler_, host_.number + 1, sent);
    if (world_.options.defect == Defect::cold_flooded && world_.summary.attempts % 500 == 7) {
        world_.auditor.started(host_.number, sent, double(world_.options.cores));
        for (int i = 0; i < 2000; ++i) world_.auditor.work(host_.number, 50ms, sent);
    }
    if (!world_.reaches(pooler_, host_)) return;  // lost on the way
    world_.timeline.after(world_.options.one_way, Rank::world, [weak = weak_from_this(), item, needs] {
        if (auto self = weak.lock()) self->work(item, needs);
    });
}

void FleetLink::work(const ClientRequest& item, std::optional<std::int64_t> needs) {
    if (!owner_ || life_ != host_.life) return;
    const ClassOptions& c = world_.options.classes[std::size_t(item.request_class)];
    AttemptResult r;
    r.role = host_.primary ? Role::primary : Role::replica;
    if (world_.options.notes) r.position_unix_us = world_.clock.to_unix(world_.position(host_));
    auto now = [this](AttemptResult result) { answer(std::move(result)); };
    if (host_.draining) {
        r.status = AttemptStatus::rejected;
        return now(r);
    }
    bool behind = world_.options.checked && needs && *r.position_unix_us / 1000 < *needs;
    if (!host_.primary && (c.read == Consistency::write || behind)) {
        r.status = AttemptStatus::miss;
        return now(r);
    }
    Duration amount(std::int64_t(double(c.work.count()) * world_.work.between(0.5, 1.5)));
    job_ = world_.take(host_, amount, [weak = weak_from_this(), write = c.read == Consistency::write] {
        auto self = weak.lock();
        if (!self || !self->owner_ || self->life_ != self->host_.life) return;
        AttemptResult done;
        done.status = AttemptStatus::ok;
        done.role = self->host_.primary ? Role::primary : Role::replica;
        std::int64_t at = self->world_.clock.to_unix(self->world_.position(self->host_)) + (write ? 999 : 0);
        if (write || self->world_.options.notes) done.position_unix_us = at;
        done.answer.position_unix_ms = at / 1000;
        done.answer.tag = self->host_.primary ? "primary" : "replica";
        self->answer(std::move(done));
    });
    if (job_ == 0) {
        r.status = AttemptStatus::rejected;
        now(r);
    }
}

void FleetLink::probe() {
    ++world_.summary.probes;
    if (!world_.reaches(pooler_, host_)) return;
    world_.timeline.after(world_.options.one_way, Rank::world, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (!self || !self->owner_ || self->life_ != self->host_.life) return;
        AttemptResult r;
        r.status = AttemptStatus::ok;
        r.report.primary = self->host_.primary;
        if (self->world_.options.tells_busy)
            r.report.cpu_utilization = double(self->host_.busy) / double(self->world_.options.cores);
        else
            r.report.in_flight = double(self->host_.busy + self->host_.queue.size());
        r.report_position_unix_us = self->world_.clock.to_unix(self->world_.position(self->host_));
        self->answer(std::move(r));
    });
}

// ---- poolers -------------------------------------------------------------------------------------

Pooler::Pooler(World& world, std::uint32_t n, std::uint64_t seed)
    : core(static_cast<routing::Driver&>(*this), world.clock, world.settings(), seed, {},
           static_cast<routing::Backend&>(*this), world.silent),
      number(n),
      world_(world) {}

void Pooler::wake() {
    if (std::exchange(woken_, true)) return;
    world_.timeline.at(world_.timeline.now(), Rank::batch, [this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) return;
        woken_ = false;
        batch();
    });
}

// One that is stopped does nothing until it is woken; what has come by then it finds all at once.
void Pooler::batch() {
    if (asleep_until && world_.timeline.now() < *asleep_until) {
        woken_ = true;
        world_.timeline.at(*asleep_until, Rank::batch, [this, alive = std::weak_ptr<bool>(alive_)] {
            if (alive.expired()) return;
            woken_ = false;
            batch();
        });
        return;
    }
    core.run_batch();
}

void Pooler::alarm(std::optional<Time> at) {
    std::uint64_t number = ++alarms_;
    if (!at) return;
    world_.timeline.at(*at, Rank::timer, [this, number, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired() || number != alarms_) return;
        core.timer_expired();
        wake();
    });
}

std::shared_ptr<BackendConnection> Pooler::open(const std::string& address, Duration timeout,
                                                BackendConnection::Owner& owner) {
    auto link =
        std::make_shared<FleetLink>(world_, ++world_.opened, number, *world_.hosts[std::size_t(std::stoul(address))], owner);
    link->open(timeout);
    return link;
}

// ---- the world -----------------------------------------------------------------------------------

policy::Settings World::settings() const {
    policy::Settings s;
    s.fleet_size = options.poolers;
    s.endpoint_list_mode =
        options.list_calls > 0 ? policy::EndpointListMode::polled : policy::EndpointListMode::pushed;
    s.probes = s.cancels = s.retry_after = true;
    s.hedging = options.hedging;
    s.max_retry_after = 2s;
    s.attempts = 10;
    s.tokens = options.carried ? policy::TokenSource::carried : policy::TokenSource::remembered;
    s.staleness_check = options.checked ? policy::StalenessCheck::refuse : policy::StalenessCheck::none;
    s.health_check_price = options.health_check_price;
    s.slow_start_share = options.slow_start_share;
    s.ramp = options.ramp;
    s.overload_multiple = options.overload_multiple;
    s.overload_window = options.overload_window;
    for (const ClassOptions& c : options.classes) {
        policy::ClassSettings k;
        k.consistency = c.read;
        k.idempotency = c.read == Consistency::write ? policy::Idempotency::not_idempotent
                                                     : policy::Idempotency::idempotent;
        k.latency_objective = c.latency_objective;
        k.deadline = c.deadline;
        k.bound = options.bound;
        k.priority_weight = c.priority_weight;
        k.late_share = c.late_share;
        s.classes.push_back(k);
    }
    return s;
}

routing::EndpointInfo World::info(const Host& h) const {
    routing::EndpointInfo m;
    m.uid = "h" + std::to_string(h.number);
    m.address = std::to_string(h.number);
    m.group = h.group;
    m.zone = h.zone;
    m.primary = h.primary;
    m.state = h.draining ? EndpointState::draining : EndpointState::ready;
    if (h.started) m.boot_unix_ms = clock.to_unix(*h.started) / 1000;
    return m;
}

// Discovery pushes a change to every pooler, some time later, each at a moment of its own.
void World::tell(const Host& h) {
    for (auto& p : poolers) {
        Duration late(std::int64_t(double(options.told_late.count()) * troubles.between(0.5, 1)));
        routing::EndpointInfo m = info(h);
        std::uint32_t number = p->number;
        timeline.after(late, Rank::arrival, [this, m, number, host = h.number] {
            if (options.list_calls > 0 && (blind_ || !poolers[number]->follows)) return;
            if (m.state == EndpointState::draining)
                auditor.told_draining(number, host, timeline.now());
            else
                auditor.told_ready(number, host);
            if (options.defect == Defect::send_after_drain && m.state == EndpointState::draining) return;
            poolers[number]->core.list(EndpointListKind::changes, {m});
        });
    }
}

std::vector<routing::EndpointInfo> World::all() const {
    std::vector<routing::EndpointInfo> infos;
    for (auto& h : hosts) infos.push_back(info(*h));
    return infos;
}

// What a pooler starts with, and how it comes to hear of changes.
void World::add(Pooler& p) {
    if (options.sites) {
        std::vector<std::string> names;
        for (const ClassOptions& c : options.classes) names.push_back(c.name);
        p.core.watch_sites(*options.sites, routing::site_classes(settings(), names),
                           options.seed * 7 + p.number);
    }
    p.core.list(options.list_calls > 0 ? EndpointListKind::cached : EndpointListKind::full, all());
    p.core.on_follow_list([this, &p] { follow(p); });
}

void World::whole_list(Pooler& p) {
    for (auto& h : hosts) {
        if (h->draining)
            auditor.told_draining(p.number, h->number, timeline.now());
        else
            auditor.told_ready(p.number, h->number);
    }
    p.core.list(EndpointListKind::full, all());
}

// One service for all poolers: calls wait for their turn, and fail when they have waited for too long.
void World::follow(Pooler& p) {
    constexpr Duration kListCallTimeout = 1s;
    service_free_ = std::max(service_free_, timeline.now());
    Duration takes(std::int64_t(1e6 / options.list_calls)), wait = service_free_ - timeline.now();
    bool fails = blind_ || wait > kListCallTimeout;
    if (!fails) service_free_ += takes;
    timeline.after(fails ? kListCallTimeout : wait + takes, Rank::arrival,
                   [this, number = p.number, fails, alive = std::weak_ptr<bool>(p.alive_)] {
                       if (alive.expired()) return;
                       Pooler& asker = *poolers[number];
                       asker.follows = !fails && !blind_;
                       if (asker.follows)
                           whole_list(asker);
                       else
                           asker.core.list(EndpointListKind::failed, {});
                   });
}

void World::arrive() {
    double mean = 1e6 / std::max(1e-9, rate_now());
    Time next = timeline.now() + Duration(std::int64_t(traffic.exponential(mean)) + 1);
    if (next >= Time(seconds(options.seconds))) return;
    timeline.at(next, Rank::arrival, [this] {
        double pick = traffic.uniform(), sum = 0;
        std::size_t request_class = 0;
        for (; request_class + 1 < options.classes.size(); ++request_class)
            if ((sum += options.classes[request_class].share) > pick) break;
        bool hot = caller_ > 0 && traffic.uniform() < caller_;
        std::uint64_t session = 1 + traffic.below(options.sessions) + (hot ? options.sessions : 0);
        auto group = std::uint32_t(session % options.groups);
        ++summary.requests;
        double priority_weight = options.classes[request_class].priority_weight;
        summary.weight_offered += priority_weight;
        auto window = std::size_t(timeline.now().time_since_epoch().count() / 1'000'000);
        if (summary.windows.size() <= window) summary.windows.resize(window + 1);
        summary.windows[window].asked += priority_weight;
        ask(request_class, session, group, timeline.now(), options.retries);
        arrive();
    });
}

void World::ask(std::size_t request_class, std::uint64_t session, std::uint32_t group, Time first,
                unsigned left) {
    const ClassOptions& c = options.classes[request_class];
    std::uint64_t number = ++ids_;
    auto held = std::make_unique<Try>();
    Try& t = *held;
    t.world = this;
    // A session stays with one pooler; a caller that is suddenly hot has sessions of its own.
    t.pooler = std::uint32_t(session > options.sessions ? 0 : session % poolers.size());
    t.id = "r" + std::to_string(number);
    t.request_class = request_class;
    t.session = session;
    t.group = group;
    t.first = first;
    t.deadline = timeline.now() + c.deadline;
    t.left = left;
    tries_.emplace(number, std::move(held));
    bool keeps = c.read == Consistency::session || c.read == Consistency::write;
    auditor.asked(t.id,
                  c.read == Consistency::session   ? Auditor::Need::session
                  : c.read == Consistency::bounded ? Auditor::Need::bounded
                                                   : Auditor::Need::none,
                  session, timeline.now());
    ClientRequest item;
    item.verb = c.read == Consistency::write ? ClientRequest::Verb::write : ClientRequest::Verb::lookup;
    item.id = t.id;
    item.class_name = c.name;
    item.request_class = routing::ClassId(std::uint32_t(request_class));
    item.group = routing::GroupId(group);
    item.client_timeout = c.deadline;
    item.repeat = left < options.retries;
    if (keeps) item.session = session;
    if (Time commit = auditor.commit(session); options.carried && keeps && commit > Time{})
        item.after_unix_ms = clock.to_unix(commit) / 1000 + 1;
    if (options.defect == Defect::lost_answer && !silenced_ && number == 500) {
        silenced_ = true;
        return;  // taken in, and never heard of again
    }
    t.core_id = poolers[t.pooler]->core.accept(std::move(item), t);
}

void World::served(Try& t, const Answer& answer) {
    t.over = true;
    const ClassOptions& c = options.classes[t.request_class];
    Time now = timeline.now();
    Time position = answer.position_unix_ms ? clock.from_unix(*answer.position_unix_ms * 1000) : now;
    if (options.defect == Defect::stale_read && ids_ % 100 == 0) position -= 10s;
    auditor.answered(t.id, position, answer.tag == "primary" && options.defect != Defect::stale_read, now);
    if (c.read == Consistency::write) auditor.committed(t.session, position);
    ++summary.served;
    Duration took = now - t.first;
    summary.latency_us.push_back(std::uint32_t(took.count()));
    double priority_weight =
        took <= c.latency_objective ? c.priority_weight : c.priority_weight * c.late_share;
    if (took > c.latency_objective) ++summary.late;
    summary.weight_served += priority_weight;
    auto window = std::size_t(t.first.time_since_epoch().count() / 1'000'000);
    if (window < summary.windows.size()) summary.windows[window].served += priority_weight;
}

void World::ended(Try& t, const FinalError& ending) {
    t.over = true;
    auditor.refused(t.id, timeline.now());
    if (t.left > 0 && ending.kind == FinalError::Kind::refused) {
        // It comes again at once, whatever it was told.
        timeline.after(
            options.one_way * 2, Rank::arrival,
            [this, request_class = t.request_class, session = t.session, group = t.group, first = t.first,
             left = t.left - 1] { ask(request_class, session, group, first, left); });
        return;
    }
    ++(ending.kind == FinalError::Kind::refused ? summary.refused : summary.failed);
}

std::vector<Host*> World::some(double part, bool replicas) {
    std::vector<Host*> out;
    for (auto& h : hosts)
        if (!replicas || !h->primary) out.push_back(h.get());
    for (std::size_t i = out.size(); i > 1; --i) std::swap(out[i - 1], out[troubles.below(i)]);
    out.resize(std::min(out.size(), std::size_t(std::max(1.0, part * double(out.size()) + 0.5))));
    std::sort(out.begin(), out.end(), [](Host* a, Host* b) { return a->number < b->number; });
    return out;
}

bool World::reaches(std::uint32_t pooler, const Host& h) const {
    if (poolers[pooler]->no_link) return false;
    std::uint32_t from = zone_of(pooler);
    return from == h.zone || (!cut_.count(from) && !cut_.count(h.zone));
}

bool World::hears(std::uint32_t pooler, const Host& h) const {
    return reaches(pooler, h) && (zone_of(pooler) == h.zone || !deaf_.count(h.zone));
}

// A group without its primary has another after a while: the first replica that is there.
void World::elect(std::uint32_t group) {
    if (options.elect_s <= 0) return;
    timeline.after(seconds(options.elect_s), Rank::world, [this, group] {
        Host *old = nullptr, *next = nullptr;
        for (auto& h : hosts) {
            if (h->group != group) continue;
            if (h->primary)
                old = h.get();
            else if (h->up && !next)
                next = h.get();
        }
        if (!old || old->up || !next) return;
        old->primary = false;
        next->primary = true;
        tell(*next);
    });
}

void World::flap(std::uint32_t zone, Time until) {
    if (timeline.now() >= until) {
        cut_.erase(zone);
        return;
    }
    bool open = cut_.erase(zone) > 0;
    if (!open) cut_.insert(zone);
    timeline.after(open ? 300ms : 700ms, Rank::world, [this, zone, until] { flap(zone, until); });
}

void World::break_links(const Host& h) {
    auto open = std::exchange(links[h.number], {});
    std::vector<std::shared_ptr<FleetLink>> alive;
    alive.reserve(open.size());
    for (FleetLink* link : open) alive.push_back(link->shared_from_this());
    for (auto& link : alive) link->broken();
}

void World::kill(Host& h, bool silently) {
    reckon(h);
    ++h.life;
    h.up = false;
    h.refuses = false;
    if (h.primary) elect(h.group);
    h.busy = h.links = 0;
    h.queue.clear();
    if (!silently) break_links(h);
}

void World::revive(Host& h) {
    break_links(h);  // of before: the machine knows nothing of them
    h.up = true;
    h.started = h.applied_at = timeline.now();  // it goes on from where its log stood
    auditor.started(h.number, timeline.now(), double(options.cores));
    tell(h);
}

void World::start(const Trouble& trouble) {
    auto until = [&](std::function<void()> then) {
        timeline.after(seconds(trouble.lasts_s), Rank::world, std::move(then));
    };
    switch (trouble.kind) {
        case Trouble::Kind::jump:
            jump_ *= trouble.size;
            until([this, size = trouble.size] { jump_ /= size; });
            break;
        case Trouble::Kind::caller:
            caller_ = trouble.size;
            until([this] { caller_ = 0; });
            break;
        case Trouble::Kind::blind:
            blind_ = true;
            for (auto& p : poolers)
                if (std::exchange(p->follows, false)) p->core.list(EndpointListKind::failed, {});
            until([this] { blind_ = false; });
            break;
        case Trouble::Kind::lag:
            for (Host* h : some(trouble.part, true)) {
                h->stood = position(*h);
                h->behind = seconds(trouble.size);
                h->log = Host::Log::behind;
                until([this, h] {
                    h->stood = position(*h);
                    h->since = timeline.now();
                    h->log = Host::Log::catching_up;
                });
            }
            break;
        case Trouble::Kind::gray:
            for (Host* h : some(trouble.part, false)) {
                h->slow *= trouble.size;
                until([h, size = trouble.size] { h->slow /= size; });
            }
            break;
        case Trouble::Kind::drain:
            for (Host* h : some(trouble.part, true)) {
                h->draining = true;
                tell(*h);
                until([this, h] {
                    h->draining = false;
                    tell(*h);
                });
            }
            break;
        case Trouble::Kind::kill:
            for (Host* h : some(trouble.part, true)) {
                kill(*h);
                until([this, h] { revive(*h); });
            }
            break;
        case Trouble::Kind::zone_silent:
        case Trouble::Kind::zone_reset:
            for (auto& h : hosts) {
                if (h->zone != std::uint32_t(trouble.size) || !h->up) continue;
                kill(*h, trouble.kind == Trouble::Kind::zone_silent);
                h->refuses = trouble.kind == Trouble::Kind::zone_reset;
                until([this, h = h.get()] { revive(*h); });
            }
            break;
        case Trouble::Kind::zone_cut:
        case Trouble::Kind::zone_deaf: {
            auto& zones = trouble.kind == Trouble::Kind::zone_cut ? cut_ : deaf_;
            zones.insert(std::uint32_t(trouble.size));
            until([&zones, zone = std::uint32_t(trouble.size)] { zones.erase(zone); });
            break;
        }
        case Trouble::Kind::zone_flap:
            flap(std::uint32_t(trouble.size), timeline.now() + seconds(trouble.lasts_s));
            break;
        case Trouble::Kind::uplink:
        case Trouble::Kind::stall: {
            auto count = std::size_t(std::llround(trouble.part * double(poolers.size())));
            for (std::size_t i = 0; i < std::min(count, poolers.size()); ++i) {
                if (trouble.kind == Trouble::Kind::stall) {
                    poolers[i]->asleep_until = timeline.now() + seconds(trouble.lasts_s);
                    continue;
                }
                poolers[i]->no_link = true;
                until([this, i] { poolers[i]->no_link = false; });
            }
            break;
        }
        case Trouble::Kind::restart: {
            auto count = std::size_t(std::llround(trouble.part * double(poolers.size())));
            for (std::size_t i = 0; i < std::min(count, poolers.size()); ++i) {
                // Its clients see their connections break; what they had asked is theirs to ask again.
                for (auto& [number, t] : tries_)
                    if (!t->over && t->pooler == i) {
                        t->over = true;
                        poolers[i]->core.withdraw(t->core_id,
                                                  routing::RequestAdmission::Departure::client_left);
                        auditor.left(t->id);
                        ++summary.failed;
                    }
                poolers[i]->core.run_batch();
                auto number = std::uint32_t(i);
                ended_poolers_.push_back(std::move(poolers[i]));
                *ended_poolers_.back()->alive_ = false;
                ended_poolers_.back()->alive_.reset();
                poolers[i] = std::make_unique<Pooler>(*this, number, options.seed * 1000 + 500 + i);
                add(*poolers[i]);
            }
            break;
        }
    }
}

Summary World::run() {
    for (unsigned g = 0; g < options.groups; ++g)
        for (unsigned m = 0; m < options.members; ++m) {
            auto h = std::make_unique<Host>();
            h->number = std::uint32_t(hosts.size());
            h->group = g;
            h->primary = m == 0;
            h->zone = (g + m) % std::max(1u, options.zones);
            hosts.push_back(std::move(h));
        }
    for (unsigned p = 0; p < options.poolers; ++p) {
        poolers.push_back(std::make_unique<Pooler>(*this, p, options.seed * 1000 + p));
        add(*poolers.back());
    }
    for (const Trouble& t : options.troubles)
        timeline.at(Time(seconds(t.begins_s)), Rank::world, [this, &t] { start(t); });
    // Those that are over are let go of, once a second.
    std::function<void()> sweep = [&] {
        std::erase_if(tries_, [&](auto& item) {
            return item.second->over && item.second->deadline + 1s < timeline.now();
        });
        timeline.after(1s, Rank::batch, sweep);
    };
    timeline.after(1s, Rank::batch, sweep);
    arrive();
    Duration longest{};
    for (const ClassOptions& c : options.classes) longest = std::max(longest, c.deadline);
    summary.cut_short = !timeline.run(Time(seconds(options.seconds) + longest * 2 + 1s), options.most_events);
    if (!summary.cut_short) auditor.ended(timeline.now());
    std::sort(summary.latency_us.begin(), summary.latency_us.end());
    summary.breaches = auditor.breaches();
    for (const auto& b : summary.breaches) summary.falls += b.rule.find("cold") != std::string::npos;
    summary.checks = auditor.checks();
    summary.events = timeline.events();
    return std::move(summary);
}

}  // namespace

FleetOptions usual_fleet() {
    FleetOptions o;
    o.classes = {{"stock-view", Consistency::bounded, 0.51, 1, 0, 60ms, 250ms, 1s},
                 {"own-order", Consistency::session, 0.34, 3, 0, 37ms, 200ms, 600ms},
                 {"scan-write", Consistency::write, 0.15, 6, 0.3, 60ms, 600ms, 2s}};
    return o;
}

FleetOptions station_fleet() {
    FleetOptions o;
    o.poolers = 4, o.groups = 3, o.members = 4, o.cores = 5;
    o.rate = 260;
    o.classes = {{"map-read", Consistency::bounded, 0.7, 1, 0, 118ms, 600ms, 2s},
                 {"own-read", Consistency::session, 0.2, 1, 0, 118ms, 500ms, 1200ms},
                 {"fresh-read", Consistency::fresh, 0.021, 1, 0, 118ms, 600ms, 2s},
                 {"booking-write", Consistency::write, 0.079, 4, 0.5, 180ms, 1500ms, 5s}};
    o.one_way = 600us, o.ship = 9ms;
    o.slow_start_share = 0.18, o.ramp = 16s, o.overload_multiple = 2, o.overload_window = 1500ms;
    o.drain_grace = 1s, o.bound = 300ms;
    o.list_calls = 3, o.carried = true, o.notes = false, o.tells_busy = true, o.hedging = true;
    o.apply_use = 0.5, o.health_check_price = 0.02;
    return o;
}

std::uint32_t Summary::latency(double quantile) const {
    if (latency_us.empty()) return 0;
    return latency_us[std::min(latency_us.size() - 1, std::size_t(quantile * double(latency_us.size())))];
}

double Summary::served_between(double from_s, double to_s) const {
    double asked = 0, served = 0;
    for (auto i = std::size_t(from_s); i < std::min(windows.size(), std::size_t(to_s)); ++i) {
        asked += windows[i].asked;
        served += windows[i].served;
    }
    return asked > 0 ? served / asked : 1;
}

double Summary::seconds_until(double at_s, double part) const {
    for (auto i = std::size_t(at_s); i + 2 < windows.size(); ++i)
        if (served_between(double(i), double(i + 1)) >= part &&
            served_between(double(i), double(i + 3)) >= part)
            return double(i) - at_s;
    return -1;
}

std::string Summary::text() const {
    char line[512];
    std::snprintf(line, sizeof line,
                  "requests %llu served %llu late %llu refused %llu failed %llu attempts %llu probes %llu "
                  "connects %llu "
                  "goodput %.6f p50 %u p99 %u p999 %u events %llu checks %llu breaches %zu cut %d\n",
                  static_cast<unsigned long long>(requests), static_cast<unsigned long long>(served),
                  static_cast<unsigned long long>(late), static_cast<unsigned long long>(refused),
                  static_cast<unsigned long long>(failed), static_cast<unsigned long long>(attempts),
                  static_cast<unsigned long long>(probes), static_cast<unsigned long long>(connects),
                  goodput(), latency(0.5), latency(0.99), latency(0.999),
                  static_cast<unsigned long long>(events), static_cast<unsigned long long>(checks),
                  breaches.size(), int(cut_short));
    std::string out = line;
    for (const Window& w : windows) {
        std::snprintf(line, sizeof line, "%.3f %.3f\n", w.asked, w.served);
        out += line;
    }
    for (const auto& b : breaches) out += b.rule + ": " + b.what + "\n";
    return out;
}

Summary run(const FleetOptions& options) {
    return World(options).run();
}

}  // namespace indigovane::lab
