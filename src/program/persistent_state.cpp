#include "program/persistent_state.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>

namespace indigovane::program {

using namespace routing;
using policy::SessionTokens;
using store::Durability;
using store::Space;
using store::Witness;

namespace {
constexpr auto kTick = std::chrono::milliseconds(100);
constexpr std::uint64_t kShapesKept = 3600'000;  // ms
constexpr auto kOpenAgain = std::chrono::milliseconds(20);

std::string boot_id() {
    std::ifstream in("/proc/sys/kernel/random/boot_id");
    std::string id;
    std::getline(in, id);
    return id;  // empty where the machine does not tell: every start then counts as another boot's
}
}  // namespace

PersistentState::PersistentState(boost::asio::io_context& io, const Clock& clock, StoreConfig config,
                                 std::string scratch, const std::string& name, Core& core, Logger& logger)
    : io_(io),
      clock_(clock),
      config_(std::move(config)),
      witness_path_(scratch.empty() ? "" : scratch + "/" + name + ".witness"),
      core_(core),
      logger_(logger),
      timer_(io) {}

PersistentState::~PersistentState() = default;

Witness PersistentState::read_witness() const {
    if (witness_path_.empty())
        return Witness::lapsed;  // nowhere to keep one: nothing proves that there was none
    std::ifstream in(witness_path_);
    if (!in) return Witness::none;
    int value = -1;
    in >> value;
    return value >= 0 && value <= 2 ? Witness(value) : Witness::lapsed;
}

// In place, with one small write: a memory-backed file, so this is no disk's time.
bool PersistentState::keep_witness(Witness witness) {
    if (witness_path_.empty()) return false;
    if (witness == Witness::none) return ::unlink(witness_path_.c_str()) == 0 || errno == ENOENT;
    int fd = ::open(witness_path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0) return false;
    char digit = char('0' + int(witness));
    bool well = ::write(fd, &digit, 1) == 1;
    ::close(fd);
    return well;
}

void PersistentState::open(bool wait) {
    if (config_.in_memory)
        logger_.log(Level::warning, "store", "the folder is in memory: nothing there outlasts the machine",
                    {});
    try_open(!wait);
}

void PersistentState::try_open(bool must) {
    std::unique_ptr<store::Environment> environment;
    store::Recovered found;
    std::string why;
    if (store::IoStatus s = store::open_folder(config_.folder, environment); !s.ok())
        throw ConfigError(config_.folder, s.text());
    store::OpenOptions options;
    options.log_worker.writer.segment = config_.segment;
    options.log_worker.budget = config_.budget;
    options.log_worker.compact_per_second = config_.compact_per_second;
    options.sync_interval_us = std::uint64_t(config_.sync_interval.count());
    options.salvage = config_.salvage;
    std::random_device random;
    options.new_store_number = std::uint64_t(random()) << 32 | random();
    auto wake = [this, alive = std::weak_ptr<bool>(alive_)] {
        boost::asio::post(io_, [this, alive] {
            if (!alive.expired()) carry();
        });
    };
    thread_ = store::StoreThread::open(std::move(environment), options, now_us() / 1000, wake, found, why);
    for (const store::Finding& f : found.findings)
        logger_.log(Level::warning, "store", f.what,
                    {{"file", config_.folder + "/" + f.file}, {"offset", std::to_string(f.offset)}});
    if (thread_) return begin(found);
    if (must || found.outcome != store::Recovered::Outcome::fresh || why != "another process has it open")
        throw ConfigError(config_.folder, why);
    // Until it is ours, what is acknowledged here is in no store: the next start must know.
    keep_witness(Witness::lapsed);
    timer_.expires_after(kOpenAgain);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (ec || closed_) return;
        try {
            try_open(false);
        } catch (const std::exception& error) {
            logger_.log(Level::error, "store", error.what(), {{"served", "from memory"}});
        }
    });
}

void PersistentState::begin(store::Recovered& found) {
    store::Positions::Options options;
    options.retention_us = std::uint64_t(config_.retention.count());
    options.lease_us = std::uint64_t(config_.lease.count());
    positions_ = std::make_unique<store::Positions>(thread_->store(), options,
                                                    [this](Witness w) { return keep_witness(w); });
    bool salvaged = found.salvaged;
    bool recovered = found.outcome != store::Recovered::Outcome::fresh;
    auto start = positions_->start(recovered, salvaged, read_witness(), boot_id(), now_us());
    SessionTokens tokens;
    tokens.floor = clock_.from_unix(std::int64_t(start.floor.floor_us));
    for (auto [session, commit] : start.commits)
        tokens.commits.emplace_back(policy::SessionKey{session}, clock_.from_unix(std::int64_t(commit)));
    core_.take_over(std::move(tokens));
    logger_.log(Level::notice, "store", start.floor.why,
                {{"records", std::to_string(found.records)},
                 {"sessions", std::to_string(start.commits.size())},
                 {"in_hand", std::to_string(start.open)},
                 {"floor_ms_ago",
                  std::to_string((std::int64_t(now_us()) - std::int64_t(start.floor.floor_us)) / 1000)}});
    // What this process has heard while another had the store.
    SessionTokens before = std::exchange(inherited_, {});
    inherit(before);
    carry();
    watch();
}

void PersistentState::watch() {
    timer_.expires_after(kTick);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        if (ec || !thread_) return;
        positions_->tick(now_us());
        thread_->store().expire(now_us() / 1000);
        carry();
        watch();
    });
}

void PersistentState::carry() {
    if (!thread_) return;
    for (const std::string& line : thread_->poll()) logger_.log(Level::warning, "store", line, {});
    thread_->flush();
    tell();
}

void PersistentState::tell() {
    auto due = std::exchange(waiting_, {});
    for (auto& [ticket, then] : due)
        if (thread_ && thread_->store().durable() >= ticket)
            then(true);
        else if (!thread_ || thread_->store().failing())
            then(false);
        else
            waiting_.emplace_back(ticket, std::move(then));
}

void PersistentState::close() {
    closed_ = true;
    timer_.cancel();
    if (!thread_) return;
    carry();
    positions_->tick(now_us());
    positions_->closed();
    thread_->close();
    bool well = thread_->store().durable() >= thread_->store().ticket() - 1;
    positions_->tick(now_us());
    logger_.log(well ? Level::notice : Level::warning, "store",
                well ? "closed" : "closed without all being on disk", {});
    thread_.reset();
    tell();
}

void PersistentState::commit(std::uint64_t session, Time at) {
    auto us = std::uint64_t(std::max<std::int64_t>(0, clock_.to_unix(at)));
    if (positions_ && thread_) {
        positions_->committed(session, us, now_us());
    } else if (closed_) {
        keep_witness(Witness::lapsed);  // the heir is told, writes it down, and lowers the witness then
    } else {
        inherited_.commits.emplace_back(policy::SessionKey{session}, at);
    }
}
void PersistentState::begun(std::uint64_t session) {
    if (thread_) positions_->begun(session, now_us());
}
void PersistentState::ended(std::uint64_t session) {
    if (thread_) positions_->ended(session, now_us());
}

void PersistentState::inherit(const SessionTokens& tokens) {
    if (!thread_) {
        inherited_.commits.insert(inherited_.commits.end(), tokens.commits.begin(), tokens.commits.end());
        inherited_.floor = std::max(inherited_.floor, tokens.floor);
        return;
    }
    if (!tokens.commits.empty()) positions_->also(read_witness());
    for (auto [session, at] : tokens.commits)
        positions_->committed(std::uint64_t(session),
                              std::uint64_t(std::max<std::int64_t>(0, clock_.to_unix(at))), now_us());
}

void PersistentState::hosts(const std::set<std::string>& excluded_endpoints,
                            const std::map<std::string, Time>& put_back, std::function<void(bool)> then) {
    if (!thread_) {
        if (then) then(false);
        return;
    }
    store::Store& s = thread_->store();
    std::map<std::string, std::string> wanted, have;
    for (const std::string& uid : excluded_endpoints) wanted[uid] = "out";
    for (auto& [uid, at] : put_back)
        if (!wanted.count(uid)) wanted[uid] = "back " + std::to_string(clock_.to_unix(at));
    s.each(Space::hosts, [&](const std::string& uid, const std::string& value) { have[uid] = value; });
    std::vector<store::Record> records;
    for (auto& [uid, value] : wanted)
        if (uid.size() <= store::kKeyMost && (!have.count(uid) || have[uid] != value))
            records.push_back({store::Record::Type::put, Space::hosts, uid, value, 0});
    for (auto& [uid, value] : have)
        if (!wanted.count(uid)) records.push_back({store::Record::Type::remove, Space::hosts, uid, "", 0});
    std::uint64_t ticket = records.empty() ? 0 : s.write(std::move(records), Durability::strict);
    if (then) waiting_.emplace_back(ticket, std::move(then));
    carry();
}

// As text, so that a dump can be read: mean, baseline, outcomes, when. Old knowledge misleads more than none:
// an hour.
void PersistentState::shapes(const std::vector<limits::CostModel::Prior>& priors) {
    if (!thread_) return;
    std::uint64_t now = now_us() / 1000;
    for (const auto& p : priors) {
        char key[33];
        std::snprintf(key, sizeof key, "%016llx%016llx", static_cast<unsigned long long>(p.shape.high),
                      static_cast<unsigned long long>(p.shape.low));
        thread_->store().put(Space::shapes, key,
                             std::to_string(p.mean_us) + " " + std::to_string(p.baseline_us) + " " +
                                 std::to_string(p.outcomes) + " " + std::to_string(now),
                             Durability::relaxed, now + kShapesKept);
    }
    thread_->flush();
}

std::vector<limits::CostModel::Prior> PersistentState::shapes() const {
    std::vector<limits::CostModel::Prior> out;
    if (!thread_) return out;
    std::uint64_t now = now_us() / 1000;
    thread_->store().each(Space::shapes, [&](const std::string& key, const std::string& value) {
        unsigned long long high = 0, low = 0, mean = 0, baseline = 0, at = 0;
        unsigned outcomes = 0;
        if (key.size() != 32 || std::sscanf(key.c_str(), "%16llx%16llx", &high, &low) != 2 ||
            std::sscanf(value.c_str(), "%llu %llu %u %llu", &mean, &baseline, &outcomes, &at) != 4)
            return;
        if (at > now || now - at > kShapesKept) return;
        out.push_back({{high, low}, mean, baseline, outcomes});
    });
    return out;
}

std::set<std::string> PersistentState::excluded_endpoints() const {
    std::set<std::string> out;
    if (thread_)
        thread_->store().each(Space::hosts, [&](const std::string& uid, const std::string& value) {
            if (value == "out") out.insert(uid);
        });
    return out;
}

void PersistentState::list(const std::string& members, std::int64_t revision) {
    if (!thread_ || members.size() > store::kValueMost - 64) return;
    nlohmann::json o{{"revision", revision}, {"told_ms", now_us() / 1000}, {"members", members}};
    thread_->store().put(Space::list, "members", o.dump());
    thread_->flush();
}

std::optional<std::string> PersistentState::last_list(std::int64_t revision) const {
    if (!thread_) return std::nullopt;
    auto text = thread_->store().get(Space::list, "members");
    if (!text) return std::nullopt;
    auto o = nlohmann::json::parse(*text, nullptr, false);
    if (!o.is_object() || !o.contains("revision") || !o["revision"].is_number_integer() ||
        o["revision"].get<std::int64_t>() <= revision || !o.contains("members") || !o["members"].is_string())
        return std::nullopt;
    return o["members"].get<std::string>();
}

}  // namespace indigovane::program
