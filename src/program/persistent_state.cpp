#include "program/persistent_state.hpp"

#include <boost/asio/post.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>

#include "program/shape_cost_record.hpp"

namespace indigovane::program {

using limits::CostModel;
using nlohmann::json;
using policy::SessionTokens;
using routing::Clock;
using routing::Core;
using routing::Level;
using routing::Logger;
using routing::Time;
using store::CrashMarker;
using store::Durability;
using store::Record;
using store::Space;

namespace {

// How often leases are extended and expired records removed.
constexpr auto kTickInterval = std::chrono::milliseconds(100);
constexpr auto kOpenRetryInterval = std::chrono::milliseconds(20);
constexpr std::size_t kListRecordOverhead = 64;  // bytes of a stored list's record beside the list
constexpr const char* kEndpointListKey = "members";

// Values of host records.
constexpr const char* kExcludedValue = "out";
constexpr const char* kReadmittedPrefix = "back ";  // followed by the Unix time in us

// The id of the machine's boot. Empty if it can't be read: every start then counts as a start after another
// boot.
std::string boot_id() {
    std::ifstream in("/proc/sys/kernel/random/boot_id");
    std::string id;
    std::getline(in, id);
    return id;
}

std::uint64_t random_store_number() {
    std::random_device random;
    return std::uint64_t(random()) << 32 | random();
}

}  // namespace

PersistentState::PersistentState(boost::asio::io_context& io, const Clock& clock, StoreConfig config,
                                 const std::string& scratch, const std::string& name, Core& core,
                                 Logger& logger)
    : io_(io),
      clock_(clock),
      config_(std::move(config)),
      crash_marker_(scratch, name),
      core_(core),
      logger_(logger),
      timer_(io) {}

PersistentState::~PersistentState() = default;

std::uint64_t PersistentState::unix_us(Time at) const {
    return std::uint64_t(std::max<std::int64_t>(0, clock_.to_unix(at)));
}

// ---- open and close ----------------------------------------------------------------------------

void PersistentState::open(bool wait_until_unlocked) {
    if (config_.is_in_memory)
        logger_.log(Level::warning, "store",
                    "the store's folder is in memory: its records are lost when the machine restarts", {});
    try_open(!wait_until_unlocked);
}

store::OpenOptions PersistentState::open_options() const {
    store::OpenOptions options;
    options.log_worker.writer.segment_bytes = config_.segment_bytes;
    options.log_worker.max_log_bytes = config_.max_log_bytes;
    options.log_worker.compact_bytes_per_second = config_.compact_bytes_per_second;
    options.sync_interval_us = std::uint64_t(config_.sync_interval.count());
    options.salvage = config_.salvage;
    options.new_store_number = random_store_number();
    return options;
}

// A function that the store's thread calls to make the event loop flush.
std::function<void()> PersistentState::wake_loop() {
    return [this, alive = std::weak_ptr<bool>(alive_)] {
        boost::asio::post(io_, [this, alive] {
            if (!alive.expired()) flush();
        });
    };
}

void PersistentState::try_open(bool final_attempt) {
    std::unique_ptr<store::Environment> environment;
    if (store::IoStatus status = store::open_folder(config_.folder, environment); !status.ok())
        throw ConfigError(config_.folder, status.text());
    store::RecoveryResult found;
    store::OpenError error;
    thread_ =
        store::StoreThread::open(std::move(environment), open_options(), now_ms(), wake_loop(), found, error);
    for (const store::Finding& finding : found.findings)
        logger_.log(
            Level::warning, "store", finding.description,
            {{"file", config_.folder + "/" + finding.file}, {"offset", std::to_string(finding.offset)}});
    if (thread_) return start(found);
    bool locked = found.outcome == store::RecoveryResult::Outcome::no_store &&
                  error.reason == store::OpenError::Reason::locked;
    if (final_attempt || !locked) throw ConfigError(config_.folder, error.text);
    // Until this process has opened the store, commits acknowledged here are stored nowhere. The crash marker
    // tells the next start.
    crash_marker_.write(CrashMarker::beyond_lease);
    retry_open_later();
}

void PersistentState::retry_open_later() {
    timer_.expires_after(kOpenRetryInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error || is_closed_) return;
        try {
            try_open(false);
        } catch (const std::exception& open_error) {
            logger_.log(Level::error, "store", open_error.what(), {{"served", "from memory"}});
        }
    });
}

void PersistentState::start(const store::RecoveryResult& found) {
    store::Positions::Options options;
    options.retention_us = std::uint64_t(config_.retention.count());
    options.lease_us = std::uint64_t(config_.lease.count());
    positions_ = std::make_unique<store::Positions>(
        thread_->store(), options, [this](CrashMarker marker) { return crash_marker_.write(marker); });
    bool recovered = found.outcome != store::RecoveryResult::Outcome::no_store;
    auto start = positions_->start(recovered, found.salvaged, crash_marker_.read(), boot_id(), now_us());
    SessionTokens tokens;
    tokens.floor = clock_.from_unix(std::int64_t(start.floor.floor_us));
    for (auto [session, commit] : start.commits)
        tokens.commits.emplace_back(policy::SessionKey{session}, clock_.from_unix(std::int64_t(commit)));
    core_.take_over(std::move(tokens));
    log_start(found, start);
    // Commits received while another process had the store open.
    SessionTokens received = std::exchange(inherited_, {});
    inherit(received);
    flush();
    start_ticking();
}

void PersistentState::log_start(const store::RecoveryResult& found, const store::Positions::Start& start) {
    std::int64_t floor_age_ms = (std::int64_t(now_us()) - std::int64_t(start.floor.floor_us)) / 1000;
    logger_.log(Level::notice, "store", start.floor.reason,
                {{"records", std::to_string(found.records)},
                 {"sessions", std::to_string(start.commits.size())},
                 {"in_hand", std::to_string(start.open_writes)},
                 {"floor_ms_ago", std::to_string(floor_age_ms)}});
}

void PersistentState::start_ticking() {
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error || !thread_) return;
        positions_->tick(now_us());
        thread_->store().expire(now_ms());
        flush();
        start_ticking();
    });
}

void PersistentState::flush() {
    if (!thread_) return;
    for (const std::string& line : thread_->poll()) logger_.log(Level::warning, "store", line, {});
    thread_->flush();
    notify_durable();
}

// Callbacks may add further waits to `durable_waits_`, so its entries are moved out first.
void PersistentState::notify_durable() {
    auto waits = std::exchange(durable_waits_, {});
    for (DurableWait& wait : waits)
        if (thread_ && thread_->store().durable() >= wait.ticket)
            wait.on_durable(true);
        else if (!thread_ || thread_->store().failing())
            wait.on_durable(false);
        else
            durable_waits_.push_back(std::move(wait));
}

void PersistentState::close() {
    is_closed_ = true;
    timer_.cancel();
    if (!thread_) return;
    flush();
    positions_->tick(now_us());
    positions_->mark_closed();
    thread_->close();
    bool complete = thread_->store().durable() >= thread_->store().ticket() - 1;
    positions_->tick(now_us());
    logger_.log(complete ? Level::notice : Level::warning, "store",
                complete ? "closed" : "closed, but not all records are on disk", {});
    thread_.reset();
    notify_durable();
}

// ---- sessions' commits -------------------------------------------------------------------------

void PersistentState::commit(std::uint64_t session, Time commit) {
    if (positions_ && thread_)
        positions_->write_committed(session, unix_us(commit), now_us());
    else if (is_closed_)
        // The successor receives this commit, stores it, and then lowers the marker.
        crash_marker_.write(CrashMarker::beyond_lease);
    else
        inherited_.commits.emplace_back(policy::SessionKey{session}, commit);
}

void PersistentState::begin_write(std::uint64_t session) {
    if (thread_) positions_->write_started(session, now_us());
}

void PersistentState::end_write(std::uint64_t session) {
    if (thread_) positions_->write_ended(session, now_us());
}

void PersistentState::inherit(const SessionTokens& tokens) {
    if (!thread_) {
        inherited_.commits.insert(inherited_.commits.end(), tokens.commits.begin(), tokens.commits.end());
        inherited_.floor = std::max(inherited_.floor, tokens.floor);
        return;
    }
    if (!tokens.commits.empty()) positions_->raise_marker(crash_marker_.read());
    for (auto [session, commit] : tokens.commits)
        positions_->write_committed(std::uint64_t(session), unix_us(commit), now_us());
}

// ---- excluded endpoints ------------------------------------------------------------------------

std::map<std::string, std::string> PersistentState::host_records(
    const std::set<std::string>& excluded, const std::map<std::string, Time>& readmissions) const {
    std::map<std::string, std::string> records;
    for (const std::string& uid : excluded) records[uid] = kExcludedValue;
    for (const auto& [uid, at] : readmissions)
        if (!excluded.count(uid)) records[uid] = kReadmittedPrefix + std::to_string(clock_.to_unix(at));
    return records;
}

void PersistentState::store_excluded_endpoints(const std::set<std::string>& excluded,
                                               const std::map<std::string, Time>& readmissions,
                                               OnDurable on_durable) {
    if (!thread_) {
        if (on_durable) on_durable(false);
        return;
    }
    std::map<std::string, std::string> required_records = host_records(excluded, readmissions);
    std::map<std::string, std::string> stored;
    thread_->store().each(Space::hosts,
                          [&](const std::string& uid, const std::string& value) { stored[uid] = value; });
    std::vector<Record> changes;
    for (const auto& [uid, value] : required_records)
        if (uid.size() <= store::kMaxKeyBytes && (!stored.count(uid) || stored[uid] != value))
            changes.push_back({Record::Type::put, Space::hosts, uid, value, 0});
    for (const auto& [uid, value] : stored)
        if (!required_records.count(uid)) changes.push_back({Record::Type::remove, Space::hosts, uid, "", 0});
    std::uint64_t ticket = 0;  // of a change that is on disk already
    if (!changes.empty()) ticket = thread_->store().write(std::move(changes), Durability::strict);
    if (on_durable) durable_waits_.push_back({ticket, std::move(on_durable)});
    flush();
}

std::set<std::string> PersistentState::excluded_endpoints() const {
    std::set<std::string> excluded;
    if (!thread_) return excluded;
    thread_->store().each(Space::hosts, [&](const std::string& uid, const std::string& value) {
        if (value == kExcludedValue) excluded.insert(uid);
    });
    return excluded;
}

// ---- costs of statement shapes -----------------------------------------------------------------

void PersistentState::store_shape_costs(const std::vector<limits::ShapePrior>& priors) {
    if (!thread_) return;
    std::uint64_t now = now_ms();
    for (const limits::ShapePrior& prior : priors)
        thread_->store().put(Space::shapes, shape_cost_key(prior), shape_cost_value(prior, now),
                             Durability::relaxed, now + kShapeCostLifetimeMs);
    thread_->flush();
}

std::vector<limits::ShapePrior> PersistentState::shape_costs() const {
    std::vector<limits::ShapePrior> priors;
    if (!thread_) return priors;
    std::uint64_t now = now_ms();
    thread_->store().each(Space::shapes, [&](const std::string& key, const std::string& value) {
        if (auto prior = read_shape_cost(key, value, now)) priors.push_back(*prior);
    });
    return priors;
}

// ---- the endpoint list -------------------------------------------------------------------------

void PersistentState::store_endpoint_list(const std::string& list, std::int64_t revision) {
    if (!thread_ || list.size() > store::kMaxValueBytes - kListRecordOverhead) return;
    json record{{"revision", revision}, {"told_ms", now_ms()}, {"members", list}};
    thread_->store().put(Space::list, kEndpointListKey, record.dump());
    thread_->flush();
}

std::optional<std::string> PersistentState::newer_endpoint_list(std::int64_t revision) const {
    if (!thread_) return std::nullopt;
    auto text = thread_->store().get(Space::list, kEndpointListKey);
    if (!text) return std::nullopt;
    json record = json::parse(*text, nullptr, false);
    if (!record.is_object() || !record.contains("revision") || !record["revision"].is_number_integer() ||
        record["revision"].get<std::int64_t>() <= revision)
        return std::nullopt;
    if (!record.contains("members") || !record["members"].is_string()) return std::nullopt;
    return record["members"].get<std::string>();
}

}  // namespace indigovane::program
