#include "routing/core.hpp"

#include <algorithm>

namespace indigovane::routing {

using namespace indigovane::policy;

namespace {
constexpr Duration kStatisticsInterval = std::chrono::seconds(5);

template <class... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};
template <class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

const char* end_reason(bool is_deadline_passed, const char* otherwise) {
    return is_deadline_passed ? "the deadline has passed" : otherwise;
}
}  // namespace

Core::Core(Driver& driver, const Clock& clock, const Settings& settings, std::uint64_t seed,
           CoreLimits limits, Backend& backend, Logger& logger)
    : driver_(driver),
      clock_(clock),
      backend_(backend),
      logger_(logger),
      limits_(limits),
      settings_(settings),
      policy_(settings, seed, clock.now()),
      inbox_(driver),
      connections_(
          limits.max_connections, [this] { return endpoints_.close_oldest_idle(); },
          [this] { inbox_.wake(); }),
      endpoints_(clock, [this](EndpointId id) { return make_pool(id); }),
      log_(logger, [this](EndpointId id) { return endpoints_.uid(id); }),
      guard_(logger, [this](EndpointId id) { return endpoints_.uid(id); }),
      completion_(clock_, settings_, requests_, inbox_, guard_, log_, statistics_),
      outcomes_({clock_, limits_, settings_, requests_, endpoints_, inbox_, completion_, primaries_, guard_,
                 log_, statistics_}),
      dispatcher_({clock_, limits_, requests_, endpoints_, timers_, completion_, outcomes_, guard_, log_,
                   statistics_, policy_}) {}

Core::~Core() = default;

std::unique_ptr<Pool> Core::make_pool(EndpointId id) {
    return std::make_unique<Pool>(id, backend_, clock_, limits_.connect_timeout, dispatcher_, connections_);
}

RequestId Core::accept(ClientRequest request, Responder& responder) {
    Time now = clock_.now();
    request.client_timeout = std::min(request.client_timeout, std::max(Duration::zero(), finish_by_ - now));
    RequestArrival arrival;
    arrival.request_class = request.request_class;
    arrival.group = request.group;
    arrival.client_timeout = request.client_timeout;
    if (request.session) arrival.session = SessionKey{*request.session};
    if (request.after_unix_ms)
        arrival.since_last_write =
            std::max(Duration(1), now - clock_.from_unix(*request.after_unix_ms * kMicrosPerMilli));
    arrival.uses_remembered_token = request.uses_remembered_token;
    arrival.is_retry = request.is_retry;
    RetryRule rule = RetryRule::of(settings_, request.request_class);
    arrival.id = requests_.add(std::move(request), responder, rule, now);
    const PendingRequest& pending = *requests_.find(arrival.id);
    completion_.record_arrival(pending);
    inbox_.wake();
    if (sites_ && !sites_->admit(pending.request, now))
        rejected_by_site_.push_back(arrival.id);
    else
        inbox_.push(arrival);
    return arrival.id;
}

void Core::retune(const Settings& settings, std::vector<std::optional<ClassId>> continued_ids,
                  Duration connect_timeout, Duration idle_limit) {
    limits_.connect_timeout = connect_timeout;
    limits_.probe_timeout = connect_timeout;
    limits_.idle_limit = idle_limit;
    endpoints_.set_connect_timeout(connect_timeout);
    for (auto& [id, pending] : requests_)
        pending.request.request_class = renumbered(pending.request.request_class, continued_ids);
    settings_ = settings;
    inbox_.post(SettingsChanged{settings, std::move(continued_ids)});
}

void Core::limit(std::size_t max_connections, std::size_t max_request_bytes) {
    limits_.max_connections = max_connections;
    limits_.max_request_bytes = max_request_bytes;
    connections_.set_limit(max_connections);
}

void Core::take_over(SessionTokens tokens) {
    inbox_.post(std::move(tokens));
}

// ---- endpoints and sites -----------------------------------------------------------------------

void Core::apply_endpoint_list(EndpointListKind kind, const std::vector<EndpointInfo>& members) {
    ++statistics_.endpoint_lists;
    add_list(endpoints_.apply(kind, members));
}

void Core::set_excluded(const std::set<std::string>& excluded_endpoints) {
    EndpointList changes = endpoints_.set_operator_exclusions(excluded_endpoints);
    if (!changes.entries.empty()) add_list(std::move(changes));
}

void Core::add_list(EndpointList list) {
    inbox_.push(std::move(list));
    update_site_hosts();
    inbox_.wake();
}

bool Core::on_primary_gossip(const std::string& uid, std::uint32_t group, std::int64_t as_of_unix_us) {
    std::optional<EndpointId> id = endpoints_.find_uid(uid);
    if (!id || !endpoints_.is_listed(*id) || endpoints_.find(*id)->info.group != group) return false;
    if (!PrimaryTracker::is_recent(clock_.from_unix(as_of_unix_us), clock_.now())) return false;
    inbox_.post(policy::PrimaryGossip{*id});
    return true;
}

void Core::watch_sites(const site::Settings& settings, std::vector<site::Demand> classes,
                       std::uint64_t seed) {
    site::FleetContext fleet{settings_.fleet_size.value_or(1), settings_.may_check_health.value_or(false),
                             std::move(classes)};
    if (sites_) return sites_->update_settings(settings, std::move(fleet));
    sites_ = std::make_unique<SiteController>(settings, std::move(fleet), seed);
    completion_.set_sites(sites_.get());
    outcomes_.set_sites(sites_.get());
    dispatcher_.set_sites(sites_.get());
    update_site_hosts();
    inbox_.wake();
}

bool Core::drain_site(std::uint32_t zone, bool on) {
    bool has_changed = sites_ && sites_->drain(zone, on, clock_.now());
    inbox_.wake();
    return has_changed;
}

void Core::update_site_hosts() {
    if (sites_) sites_->set_hosts(endpoints_.site_hosts(), clock_.now());
}

// The policy doesn't know of sites. It sees each endpoint of a lost site drain and be readmitted, as if
// operators had excluded and readmitted it, and chooses among the other endpoints as usual.
void Core::apply_site_changes(Time now) {
    if (!sites_->next_evaluation() || now < *sites_->next_evaluation()) return;
    EndpointList list{EndpointListKind::changes, {}};
    std::set<EndpointId> unresponsive;
    for (const SiteController::EndpointChange& change : sites_->take_changes(now, logger_)) {
        if (!endpoints_.is_listed(change.endpoint)) continue;
        if (change.kind == SiteController::EndpointChange::Kind::check_health) {
            dispatcher_.check_health(change.endpoint);
            continue;
        }
        if (change.unresponsive) unresponsive.insert(change.endpoint);
        auto entry = change.kind == SiteController::EndpointChange::Kind::exclude
                         ? endpoints_.exclude_by_site(change.endpoint)
                         : endpoints_.readmit_by_site(change.endpoint, change.started);
        if (entry) list.entries.push_back(*entry);
    }
    if (!list.entries.empty()) inbox_.push(std::move(list));
    if (!unresponsive.empty()) dispatcher_.abandon_reads(unresponsive);
}

// ---- the batch ---------------------------------------------------------------------------------

void Core::run_batch() {
    inbox_.begin_batch();
    if (connections_.take_capacity_returned()) endpoints_.serve_waiting();
    Time now = clock_.now();
    expire_timers(now);
    if (now >= last_sweep_ + limits_.sweep) {
        last_sweep_ = now;
        endpoints_.sweep(now, limits_);
    }
    if (now >= last_statistics_ + kStatisticsInterval) log_statistics(now);
    if (sites_) apply_site_changes(now);
    for (RequestId id : std::exchange(rejected_by_site_, {})) completion_.end_for_lost_site(id);
    std::vector<Event> batch = inbox_.take();
    std::vector<RequestId> finished = requests_.take_finished();
    Actions actions;
    for (const Event& event : batch) policy_.handle(now, event, actions);
    for (const Action& action : actions) carry_out(action);
    forget_requests(finished);
    if (requests_.has_finished()) inbox_.wake();
    request_alarm();
}

void Core::expire_timers(Time now) {
    while (std::optional<Timer> timer = timers_.take_due(now))
        std::visit(Overloaded{
                       [&](const PolicyTimer& policy_timer) { inbox_.push(TimerExpired{policy_timer.id}); },
                       [&](const TaskDeadline& deadline) { dispatcher_.deadline_expired(deadline); },
                       [&](const StartDeadline& deadline) { dispatcher_.start_deadline_expired(deadline); },
                   },
                   *timer);
}

void Core::carry_out(const Action& action) {
    std::visit(
        Overloaded{
            [&](const SendAttempt& send) { dispatcher_.send(send); },
            [&](const CancelAttempt& cancel) { dispatcher_.cancel(cancel); },
            [&](const RejectRequest& reject) {
                completion_.end_with_error(
                    reject.id, {FinalError::Kind::rejected, reject.is_past_deadline, reject.retry_after},
                    end_reason(reject.is_past_deadline, "no endpoint could take the request in time"));
            },
            [&](const FailRequest& fail) {
                completion_.end_with_error(
                    fail.id, {FinalError::Kind::failed, fail.is_past_deadline, std::nullopt},
                    end_reason(fail.is_past_deadline,
                               "the request may have run, and its class allows no further attempt"));
            },
            [&](const CheckHealth& check) { dispatcher_.check_health(check.endpoint); },
            [&](const SetTimer& timer) { timers_.add(clock_.now() + timer.delay, PolicyTimer{timer.id}); },
            [&](const WatchEndpoints&) {
                if (follow_list_observer_) follow_list_observer_();
            },
            [&](const LogMessage& line) { logger_.log(Level::notice, "policy", line.text); },
        },
        action);
}

// The policy knows by now which requests finished before this batch. They must not be forgotten sooner: an
// action that the policy decided on before it knew must still find the request with its attempts numbered as
// in the policy.
void Core::forget_requests(const std::vector<RequestId>& finished) {
    for (RequestId id : finished) {
        const PendingRequest* pending = requests_.find(id);
        if (!pending || pending->responder || pending->in_flight()) continue;
        for (const Attempt& attempt : pending->attempts)
            if (Endpoint* endpoint = endpoints_.find(attempt.endpoint)) --endpoint->attempts;
        requests_.forget(id);
    }
}

void Core::log_statistics(Time now) {
    last_statistics_ = now;
    statistics_.connections = connections_.take_opened();
    if (!statistics_.empty()) {
        Logger::Data data = statistics_.log_fields();
        for (std::size_t i = 0; i < kInvariantCount; ++i)  // counted since the process started
            if (std::uint64_t count = guard_.violations()[i])
                data.push_back(
                    {std::string("violated_") + invariant_name(Invariant(i)), std::to_string(count)});
        logger_.log(Level::info, "statistics", "counts since the previous statistics line", data);
    }
    statistics_ = {};
}

void Core::request_alarm() {
    std::optional<Time> next = timers_.next();
    if (connections_.open() > 0) next = std::min(next.value_or(Time::max()), last_sweep_ + limits_.sweep);
    if (sites_ && sites_->next_evaluation())
        next = std::min(next.value_or(Time::max()), *sites_->next_evaluation());
    if (next == requested_alarm_) return;
    requested_alarm_ = next;
    driver_.alarm(next);
}

}  // namespace indigovane::routing
