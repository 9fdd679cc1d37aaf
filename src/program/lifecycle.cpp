#include "program/lifecycle.hpp"

#include <csignal>
#include <nlohmann/json.hpp>

#include "adapters/pg_backend.hpp"
#include "adapters/pg_front.hpp"
#include "adapters/rest_backend.hpp"
#include "adapters/rest_front.hpp"
#include "program/settings_log.hpp"
#include "program/site_text.hpp"

namespace indigovane::program {

using namespace routing;
using std::chrono::milliseconds;

namespace {
// Clients may still come by for so long after the signal: whoever sends them here hears of it late.
constexpr auto kLinger = milliseconds(500);
// Whoever sends clients here asks every 100 ms, and sends some for 200 ms after a no.
constexpr auto kRefusing = milliseconds(400);
// What another process has stored is looked at this often; a drain leaves 2 s.
constexpr auto kExcludedEndpointsEvery = milliseconds(200);
// An heir waits so long for discovery's list before it serves with the one in its configuration.
constexpr auto kListWait = std::chrono::seconds(3);
// Costs of shapes are written down this often, of so many.
constexpr auto kKeepShapesEvery = std::chrono::seconds(10);
constexpr std::size_t kShapesKept = 512;
// After the longest deadline, before a kill that comes 700 ms after it at the soonest (500 of them are
// kLinger).
constexpr auto kDrainSlack = milliseconds(100);
constexpr auto kLastWords = milliseconds(50);  // for the answers of what is ended then
constexpr auto kDrainCheck = milliseconds(5);
// Descriptors for standard streams, the event loop, listeners, discovery, and sessions that are just coming;
// beside them those that linger at each front.
constexpr std::size_t kSpareSockets = 24;
constexpr std::size_t kLeastSockets = 24;  // for clients and members; with fewer nobody would be served
constexpr adapters::ControlLimits kControlLimits;  // its descriptors are set aside as well
constexpr double kMemberShare = 0.3;               // of the descriptors
constexpr double kItemShare = 0.25;  // of the memory, for items in hand; the rest is for what they are read
                                     // from and answered with
// Of the descriptors, for clients that have been served and may ask again. The platform's clients hold a
// third of them at most: at half of that those that wait for a connection still get one.
constexpr double kServedShare = 1.0 / 6;
constexpr double kLongShare = 0.4;    // of the memory, for long statements on their way
constexpr double kUnreadShare = 0.2;  // of it, for what clients have not ended or not read

adapters::StatementOptions options_of(const StatementConfig& s) {
    return {s.open, s.group, s.read_class, s.primary_class, s.write_class};
}

std::string scratch_folder() {
    const char* folder = std::getenv("TMPDIR");
    return folder ? folder : "";
}

}  // namespace

const char* name(Phase phase) {
    switch (phase) {
        case Phase::starting:
            return "starting";
        case Phase::inheriting:
            return "inheriting";
        case Phase::serving:
            return "serving";
        case Phase::reloading:
            return "reloading";
        case Phase::refusing:
            return "refusing";
        case Phase::away:
            return "away";
        case Phase::lingering:
            return "lingering";
        case Phase::handing_over:
            return "handing over";
        case Phase::draining:
            return "draining";
        case Phase::stopped:
            return "stopped";
    }
    return "";
}

Lifecycle::Lifecycle(const Config& config, std::function<Config()> reread, Log& log)
    : config_(config),
      reread_(std::move(reread)),
      log_(log),
      excluded_endpoints_(scratch_folder(), config.name),
      process_handover_(io_, scratch_folder(), config.name,
                        static_cast<ProcessHandover::HandoverOwner&>(*this)),
      stop_signals_(io_, SIGTERM, SIGINT),
      reload_signals_(io_, SIGHUP),
      timer_(io_),
      excluded_endpoints_timer_(io_) {}

Lifecycle::~Lifecycle() {
    log_.also({});
}

void Lifecycle::enter(Phase phase) {
    phase_ = phase;
    log_.log(Level::notice, "phase", name(phase), {});
}

void Lifecycle::start() {
    await_stop();
    await_reload();
    std::size_t aside = kSpareSockets +
                        adapters::ClientListener::kLingering * (config_.rest.enabled ? 2 : 1) +
                        (config_.control ? kControlLimits.sockets() : 0);
    if (config_.sockets < aside + kLeastSockets)
        throw ConfigError("limits.sockets: at least " + std::to_string(aside + kLeastSockets) +
                          " are needed with the fronts that are on");
    std::size_t usable = config_.sockets - aside;
    limits_.connect_timeout = limits_.probe_timeout = config_.connect_timeout;
    limits_.idle_limit = config_.idle_limit;
    limits_.links = std::size_t(double(usable) * kMemberShare);
    limits_.bytes = std::size_t(double(config_.memory_mb) * kItemShare * 1048576);
    rest_clients_ =
        config_.rest.enabled ? std::min(config_.rest.connections, (usable - limits_.links) / 2) : 0;
    clients_ = usable - limits_.links - rest_clients_;
    if (config_.members == Wire::rest)
        backend_ = std::make_unique<adapters::RestBackend>(io_);
    else
        backend_ = std::make_unique<adapters::PgBackend>(io_);
    core_ = std::make_unique<LoopCore>(io_, clock_, config_.settings, config_.seed, limits_, *backend_, log_);
    log_classes(config_, log_);
    if (config_.sites) core_->watch_sites(config_.sites->settings, site_classes(config_), config_.seed);
    if (config_.statements) {
        statements_ = std::make_unique<adapters::Statements>(
            config_.statements->rules, config_.statements->judge, options_of(*config_.statements));
        if (config_.statements->limits.enabled)
            limited_ =
                std::make_unique<adapters::LimitedAdmission>(io_, clock_, config_.statements->limits, *core_);
    }
    bool asked = config_.settings.endpoint_list_mode == policy::EndpointListMode::polled;
    discovery_client_ = std::make_unique<DiscoveryClient>(
        io_, config_.discovery, config_.zones, *core_, log_,
        asked ? WatchSchedule::shared(config_.settings.fleet_size.value_or(1)) : WatchSchedule::Timing{},
        config_.seed);
    if (config_.store) open_store();
    if (persistent_state_ && limited_)
        for (const auto& prior : persistent_state_->shapes()) limited_->learn(prior);
    core_->set_excluded(excluded_endpoints_.uids());
    discovery_client_->seed(config_.known);
    if (auto last = persistent_state_ ? persistent_state_->last_list(config_.known.revision) : std::nullopt) {
        // Newer than what the configuration knows; it may be old, as that may.
        EndpointListing list = read_endpoint_listing(nlohmann::json::parse(*last), config_.zones);
        discovery_client_->seed(list);
        log_.log(
            Level::notice, "store", "discovery's list of the last process",
            {{"revision", std::to_string(list.revision)}, {"members", std::to_string(list.members.size())}});
    }
    if (persistent_state_) discovery_client_->on_list([this](std::int64_t revision) { keep_list(revision); });
    watch_excluded_endpoints();
    if (config_.peering) open_peers();
    if (asked)
        core_->on_follow_list([this] { discovery_client_->follow(); });
    else
        discovery_client_->follow();
    if (config_.control) {
        control_ = std::make_unique<adapters::ControlFront>(io_, *config_.control, kControlLimits,
                                                            static_cast<Operations&>(*this), log_);
        control_->start();
        log_.log(Level::notice, "listening", "",
                 {{"front", "control"},
                  {"at", control_->local().address().to_string() + ":" +
                             std::to_string(control_->local().port())}});
    }
    if (config_.rest.syslog) {
        syslog_ = std::make_unique<adapters::SyslogSink>(io_, *config_.rest.syslog);
        log_.also([this](const std::string& line) { syslog_->send(line); });
    }
    core_->on_commit([this](std::uint64_t session, Time commit) {
        if (persistent_state_) persistent_state_->commit(session, commit);
        process_handover_.send_commit(session, commit);
    });
    started_ = clock_.now();
    if (process_handover_.request_state())
        enter(Phase::inheriting);
    else
        open_fronts();
}

// An heir shows itself only with all that it needs: the listener, the sessions' positions, the list.
bool Lifecycle::may_open_fronts() const {
    return !process_handover_.inheriting() &&
           (discovery_client_->told() || clock_.now() >= started_ + kListWait);
}

void Lifecycle::open_fronts() {
    auto unread =
        std::size_t(double(config_.memory_mb) * kUnreadShare * 1048576) / (rest_clients_ > 0 ? 2 : 1);
    auto where = [&](const transport::SocketAddress& at, const char* front) {
        return transport::ListenAt(at, true, inherited_[front].release());
    };
    auto pg_front =
        std::make_unique<adapters::PgFront>(io_, where(config_.listen, "pg"), clients_, config_.classes,
                                            adapters::PgOptions{}, admission(), log_, statements_.get());
    pg_front->limit_bytes(unread);
    pg_front->limit_long(std::size_t(double(config_.memory_mb) * kLongShare * 1048576));
    pg_front->limit_served(std::size_t(double(config_.sockets) * kServedShare));
    fronts_.push_back(std::move(pg_front));
    if (config_.rest.enabled) {
        adapters::RestOptions options;
        options.page_size = config_.rest.page_size;
        options.page_size_most = config_.rest.page_size_most;
        auto front =
            std::make_unique<adapters::RestFront>(io_, where(config_.rest.listen, "rest"), rest_clients_,
                                                  config_.classes, options, admission(), log_);
        front->limit_bytes(unread);
        fronts_.push_back(std::move(front));
    }
    inherited_.clear();
    for (auto& front : fronts_) {
        front->start();
        log_.log(Level::notice, "listening", "", {{"front", front->name()}, {"at", front->address()}});
    }
    enter(Phase::serving);
    try {
        process_handover_.announce();
    } catch (const std::exception& error) {  // serving does not depend on it
        log_.log(Level::warning, "handover", error.what(), {});
    }
}

int Lifecycle::run() {
    start();
    while (phase_ != Phase::stopped) {
        io_.run_one();
        io_.poll();
        core_->run_batch();
        if (persistent_state_) persistent_state_->carry();
        if (phase_ == Phase::inheriting && may_open_fronts()) open_fronts();
        if (phase_ == Phase::reloading && discovery_client_->told()) enter(Phase::serving);
        if (phase_ == Phase::handing_over) hand_over();
        if (phase_ == Phase::draining) check_drained();
        if (io_.stopped()) io_.restart();
    }
    return 0;
}

void Lifecycle::await_stop() {
    stop_signals_.async_wait([this](const boost::system::error_code& ec, int) {
        if (!ec) on_stop();
    });
}

void Lifecycle::await_reload() {
    reload_signals_.async_wait([this](const boost::system::error_code& ec, int) {
        if (ec) return;
        on_reload();
        await_reload();
    });
}

// SIGHUP. Nothing counts of a file that is not whole. Of one that is, `settings` hold from the next batch on,
// and discovery's new address is followed as ever, while stopping too: members still drain then. `known` is
// not taken from it: it is older than what the program has heard, and could bring back a member that is gone.
void Lifecycle::on_reload() {
    try {
        Config fresh = reread_();
        check_complete(fresh, config_);
        retune(fresh);
        discovery_client_->set_zones(fresh.zones);
        discovery_client_->move_to(fresh.discovery);
        log_.log(Level::notice, "reload", "the configuration has been read again",
                 {{"discovery",
                   fresh.discovery.address().to_string() + ":" + std::to_string(fresh.discovery.port())},
                  {"classes", std::to_string(fresh.classes.all().size())}});
        log_classes(config_, log_);
        if (fresh.fixed != config_.fixed)
            log_.log(Level::warning, "reload",
                     "other changes than those of discovery and settings take effect at the next start", {});
    } catch (const std::exception& error) {
        log_.log(Level::error, "reload", error.what(), {{"kept", "the old configuration"}});
        return;
    }
    if (phase_ == Phase::serving && !discovery_client_->told()) enter(Phase::reloading);
}

void Lifecycle::retune(const Config& fresh) {
    std::vector<std::optional<ClassId>> continues;
    for (const adapters::ClassInfo& c : fresh.classes.all()) {
        const adapters::ClassInfo* before = config_.classes.find(c.name);
        continues.push_back(before ? std::optional(before->id) : std::nullopt);
    }
    if (limited_) limited_->renumber(continues);
    core_->retune(fresh.settings, std::move(continues), fresh.connect_timeout, fresh.idle_limit);
    retune_statements(fresh);
    if (bool(fresh.sites) != bool(config_.sites))
        log_.log(Level::warning, "reload", "watching sites is switched on and off at a start only", {});
    else if (fresh.sites)
        core_->watch_sites(fresh.sites->settings, site_classes(fresh), config_.seed);
    if (fresh.sites && config_.sites) config_.sites = fresh.sites;
    config_.settings = fresh.settings;
    config_.classes = fresh.classes;  // the fronts look them up here
    config_.zones = fresh.zones;
    config_.connect_timeout = fresh.connect_timeout;
    config_.idle_limit = fresh.idle_limit;
    // Requests in hand keep the deadlines that they came with.
    config_.longest_deadline = std::max(config_.longest_deadline, fresh.longest_deadline);
}

// What waits and what is in hand goes on; rules hold from the next statement, limits from the next look at
// who may go.
void Lifecycle::retune_statements(const Config& fresh) {
    bool limits = fresh.statements && fresh.statements->limits.enabled;
    if (bool(fresh.statements) != bool(statements_) || limits != bool(limited_))
        log_.log(Level::warning, "reload", "statements and limits are switched on and off at a start only",
                 {});
    if (!fresh.statements) return;
    if (statements_) {
        if (fresh.statements->open && config_.members == Wire::rest) return;
        statements_->set(fresh.statements->rules, options_of(*fresh.statements));
    }
    config_.statements = fresh.statements;
    if (limited_) limited_->set(shared_limits());
}

// Two processes of one pooler have together what one may have in flight.
limits::Settings Lifecycle::shared_limits() const {
    limits::Settings limits = config_.statements->limits;
    if (process_handover_.another_process()) limits.work /= 2;
    return limits;
}

routing::RequestAdmission& Lifecycle::admission() {
    if (limited_) return *limited_;
    return *core_;
}

// Before anything is served: a store that can't be used ends the start, rather than have operators believe in
// it.
void Lifecycle::open_store() {
    persistent_state_ = std::make_unique<PersistentState>(io_, clock_, *config_.store, scratch_folder(),
                                                          config_.name, *core_, log_);
    persistent_state_->open(true);
    core_->on_write([this](std::uint64_t session, bool begins) {
        begins ? persistent_state_->begun(session) : persistent_state_->ended(session);
    });
    // What the machine has lost, the store still has.
    if (!excluded_endpoints_.stored())
        for (const std::string& uid : persistent_state_->excluded_endpoints())
            excluded_endpoints_.change(uid, true);
}

// Other poolers are told of a group's new primary, and what they tell is worth a probe here. Serving does not
// depend on it.
void Lifecycle::open_peers() {
    auto udp = [](const transport::SocketAddress& at) {
        return boost::asio::ip::udp::endpoint(at.address(), at.port());
    };
    auto millis = [](limits::Duration d) { return std::chrono::duration_cast<milliseconds>(d); };
    adapters::PeerOptions options;
    options.listen = udp(*config_.peer_listen);
    for (const transport::SocketAddress& at : config_.peers) options.peers.push_back(udp(at));
    options.cluster = protocol::peer::cluster_number(config_.peering->cluster);
    options.incarnation = std::uint64_t(clock_.to_unix(clock_.now()));  // no start is at another's instant
    options.again = millis(config_.peering->again), options.gather = millis(config_.peering->gather);
    try {
        peers_ = std::make_unique<adapters::PeerLink>(io_, options, [this](const protocol::peer::Primary& p) {
            bool known = core_->on_primary_gossip(p.uid, p.group, p.as_of_unix_us);
            log_.log(Level::info, "peers", known ? "heard of a primary" : "heard of nothing that counts here",
                     {{"endpoint", p.uid}, {"group", std::to_string(p.group)}});
        });
    } catch (const std::exception& error) {
        log_.log(Level::error, "peers", error.what(), {{"without", "goes on alone"}});
        return;
    }
    core_->on_primary([this](const EndpointInfo& m, Time as_of) {
        peers_->tell({m.group, clock_.to_unix(as_of), m.uid});
    });
    log_.log(Level::notice, "peers", "poolers tell each other of primaries",
             {{"at", peers_->local().address().to_string() + ":" + std::to_string(peers_->local().port())},
              {"peers", std::to_string(config_.peers.size())},
              {"cluster", config_.peering->cluster}});
}

void Lifecycle::keep_list(std::int64_t revision) {
    nlohmann::json targets = nlohmann::json::array();
    for (const EndpointInfo& m : core_->listed()) {
        nlohmann::json t{
            {"uid", m.uid}, {"endpoint", m.address}, {"pod_group", m.group}, {"boot_ms", m.boot_unix_ms}};
        t["state"] = m.state == policy::EndpointState::ready ? "ready" : "draining";
        t["recovery"] = m.primary ? "off" : "on";
        if (m.zone < config_.zones.size()) t["az"] = config_.zones[m.zone];
        targets.push_back(std::move(t));
    }
    nlohmann::json list{{"rev", revision}, {"all", true}, {"targets", std::move(targets)}};
    persistent_state_->list(list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), revision);
}

void Lifecycle::watch_excluded_endpoints() {
    excluded_endpoints_timer_.expires_after(kExcludedEndpointsEvery);
    excluded_endpoints_timer_.async_wait([this](const boost::system::error_code& ec) {
        if (ec) return;
        if (excluded_endpoints_.refresh()) core_->set_excluded(excluded_endpoints_.uids());
        if (persistent_state_ && limited_ && clock_.now() >= shapes_kept_ + kKeepShapesEvery) {
            shapes_kept_ = clock_.now();
            persistent_state_->shapes(limited_->limiter().priors(kShapesKept));
        }
        watch_excluded_endpoints();
    });
}

// ---- what operators call -----------------------------------------------------------------------

Lifecycle::Reply Lifecycle::check() {
    bool ready = phase_ == Phase::serving || phase_ == Phase::reloading;
    return {ready, name(phase_)};
}

Lifecycle::Reply Lifecycle::set_out(const std::string& uid, bool out) {
    try {
        excluded_endpoints_.refresh();
        // One that has left the list may still be put back: it was taken out under this id.
        if (!core_->knows(uid) && !excluded_endpoints_.uids().count(uid))
            return {false, "no host has this id"};
        excluded_endpoints_.change(uid, out);
    } catch (const std::exception& error) {
        return {false, error.what()};
    }
    core_->set_excluded(excluded_endpoints_.uids());
    Reply reply{true, out ? "taken out" : "in use", {}};
    if (persistent_state_ && persistent_state_->is_open())
        reply.later = [this, text = reply.text](std::function<void(std::string)> answer) {
            persistent_state_->hosts(excluded_endpoints_.uids(), core_->put_back(),
                                     [text, answer = std::move(answer)](bool on_disk) {
                                         answer(on_disk ? text : text + " (not on disk: see the log)");
                                     });
        };
    return reply;
}

Lifecycle::Reply Lifecycle::drain(bool on) {
    bool away = phase_ == Phase::refusing || phase_ == Phase::away;
    if (!away && phase_ != Phase::serving && phase_ != Phase::reloading)
        return {false, std::string("it is ") + name(phase_)};
    if (on == away) return {true, name(phase_)};
    if (!on) {
        timer_.cancel();
        for (auto& front : fronts_) front->welcome();
        enter(discovery_client_->told() ? Phase::serving : Phase::reloading);
        return {true, name(phase_)};
    }
    for (auto& front : fronts_) front->refuse_checks();
    enter(Phase::refusing);
    timer_.expires_after(kRefusing);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (ec || phase_ != Phase::refusing) return;
        for (auto& front : fronts_) front->close_idle();
        enter(Phase::away);
    });
    return {true, name(phase_)};
}

Lifecycle::Reply Lifecycle::shapes(std::size_t most) {
    if (!limited_) return {false, "limits by cost are off"};
    auto text = [](const limits::ShapeId& id) {
        std::string out = statement::Shape{id.high, id.low}.hex();
        using Verb = ClientRequest::Verb;
        for (auto [verb, name] :
             {std::pair{Verb::lookup, "lookup"}, {Verb::write, "write"}, {Verb::page, "page"}})
            if (statement::Shape known = adapters::fixed_shape(verb);
                known.high == id.high && known.low == id.low)
                return std::pair(out, std::string(name));
        return std::pair(out, std::string());
    };
    nlohmann::ordered_json lines = nlohmann::ordered_json::array();
    for (const auto& line : limited_->limiter().top(most, limits::Time(clock_.now().time_since_epoch()))) {
        auto [hex, form] = text(line.shape);
        nlohmann::ordered_json o;
        o["shape"] = hex;
        o["tenant"] = line.tenant;
        const auto* known = statements_->known({line.shape.high, line.shape.low});
        o["text"] = known ? known->text : form;
        o["kind"] = known ? statement::name(known->kind) : "";
        o["class"] = known ? known->request_class : "";
        o["work_ms"] = line.work.count() / 1000;
        o["mean_ms"] = double(line.view.mean.count()) / 1000;
        o["p95_ms"] = double(line.view.tail.count()) / 1000;
        o["standing"] = limits::name(line.view.standing);
        o["cap"] = line.cap;
        o["in_flight"] = line.in_flight;
        lines.push_back(std::move(o));
    }
    return {true, lines.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace)};
}

Lifecycle::Reply Lifecycle::site_status() {
    if (!core_->sites()) return Operations::site_status();
    return {true,
            status_json(core_->sites()->manager(), config_.zones, SiteController::time(clock_.now())).dump(),
            {}};
}

// Made of what this pooler has seen of its own traffic.
Lifecycle::Reply Lifecycle::site_plan(const std::string& name) {
    if (!core_->sites()) return Operations::site_plan(name);
    auto zone = zone_number(config_.zones, name);
    if (!zone) return {false, "no zone has this name", {}};
    const site::SiteManager& manager = core_->sites()->manager();
    site::Plan plan =
        site::make_plan(manager.plan_input({site::SiteId{*zone}}, SiteController::time(clock_.now())));
    auto uid = [&](site::HostId id) { return core_->uid(EndpointId(std::uint32_t(id))); };
    return {
        true,
        plan_json(plan, config_.zones, uid).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        {}};
}

Lifecycle::Reply Lifecycle::site_drain(const std::string& name, bool on) {
    if (!core_->sites()) return Operations::site_drain(name, on);
    auto zone = zone_number(config_.zones, name);
    if (!zone) return {false, "no zone has this name", {}};
    if (!core_->drain_site(*zone, on)) return {true, "nothing to do", {}};
    return {true, on ? "its load is sent away" : "its load comes back", {}};
}

// ---- an upgrade --------------------------------------------------------------------------------

std::vector<std::pair<std::string, int>> Lifecycle::listening_sockets() {
    std::vector<std::pair<std::string, int>> sockets;
    for (auto& front : fronts_) sockets.emplace_back(front->name(), front->listening_socket());
    return sockets;
}

void Lifecycle::inherit_socket(const std::string& front, transport::Descriptor socket) {
    inherited_[front] = std::move(socket);
}

void Lifecycle::inherit_client(const std::string& name, ClientHandover handover) {
    for (auto& front : fronts_)
        if (front->name() == name) return front->take_over(std::move(handover));
    transport::Descriptor nobody_takes_it(handover.socket);
}

// Two processes count as one pooler: each has half of what it may hold while there are two.
void Lifecycle::on_process_change() {
    std::size_t parts = process_handover_.another_process() ? 2 : 1;
    core_->limit(limits_.links / parts, limits_.bytes / parts);
    if (limited_) limited_->set(shared_limits());
    log_.log(Level::notice, "handover",
             parts == 2 ? "another process serves as well" : "this process serves alone", {});
    if (parts == 1 && phase_ == Phase::handing_over) begin_drain();  // the heir is gone
}

// Only once told to stop: until then an heir may still be given up.
void Lifecycle::on_successor_ready() {
    if (phase_ != Phase::lingering) return;
    timer_.cancel();
    bound_drain();
    for (auto& front : fronts_) front->stop_accepting();
    // The heir can open it from now on. What is still acknowledged here is told to the heir, which writes it
    // down.
    if (persistent_state_) persistent_state_->close();
    enter(Phase::handing_over);
}

void Lifecycle::hand_over() {
    for (auto& front : fronts_)
        handed_ +=
            front->hand_over([&](ClientHandover p) { process_handover_.send_client(front->name(), std::move(p)); });
    check_drained();
    if (phase_ == Phase::stopped)
        log_.log(Level::notice, "handover", "clients' connections went to the other process",
                 {{"count", std::to_string(handed_)}});
}

// ---- the end -----------------------------------------------------------------------------------

void Lifecycle::on_stop() {
    if (phase_ == Phase::lingering || phase_ == Phase::handing_over || phase_ == Phase::draining ||
        phase_ == Phase::stopped)
        return;
    if (phase_ == Phase::inheriting) return enter(Phase::stopped);
    enter(Phase::lingering);
    if (process_handover_.successor_ready()) return on_successor_ready();
    timer_.expires_after(kLinger);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && phase_ == Phase::lingering) begin_drain();
    });
}

// What comes late in it has less time than it asked for, and what is left at the end is answered all the
// same.
void Lifecycle::bound_drain() {
    drain_until_ =
        clock_.now() + std::max<Duration>(config_.longest_deadline, std::chrono::seconds(3)) + kDrainSlack;
    core_->finish_by(drain_until_);
}

void Lifecycle::begin_drain() {
    bound_drain();
    for (auto& front : fronts_) {
        front->stop_accepting();
        front->close_idle();
    }
    enter(Phase::draining);
}

void Lifecycle::check_drained() {
    bool empty = core_->idle() && (!limited_ || limited_->idle());
    for (auto& front : fronts_) empty = empty && front->connections() == 0 && front->lingering() == 0;
    if (phase_ == Phase::handing_over) empty = empty && process_handover_.all_sent();
    Time now = clock_.now();
    if (now >= drain_until_ && !core_->idle()) core_->finish_all();
    if (empty || now >= drain_until_ + kLastWords) {
        if (persistent_state_ && persistent_state_->is_open()) persistent_state_->close();
        enter(Phase::stopped);
        return;
    }
    // One wait at a time: setting it anew would end the one before, which wakes the loop, which sets it anew.
    if (std::exchange(checking_, true)) return;
    timer_.expires_after(kDrainCheck);
    timer_.async_wait([this](const boost::system::error_code&) { checking_ = false; });
}

}  // namespace indigovane::program
