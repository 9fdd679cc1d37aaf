#include "store/positions.hpp"

#include <algorithm>

namespace indigovane::store {

namespace {
// Keys of Space::system.
constexpr const char* kClosedKey = "closed";
constexpr const char* kBootKey = "boot";
constexpr const char* kLeaseKey = "lease";
constexpr const char* kFloorKey = "floor";
constexpr std::uint64_t kMicrosecondsPerMillisecond = 1000;
}  // namespace

PreviousRun Positions::previous_run(bool recovered, bool salvaged, CrashMarker marker,
                                    const std::string& boot) const {
    auto stored_number = [&](const char* key) {
        return decode_u64(store_.get(Space::system, key).value_or("")).value_or(0);
    };
    PreviousRun previous;
    previous.recovered = recovered;
    previous.salvaged = salvaged;
    previous.marker = marker;
    previous.closed = store_.get(Space::system, kClosedKey).has_value();
    previous.same_boot = !boot.empty() && store_.get(Space::system, kBootKey) == boot;
    previous.lease_until_us = stored_number(kLeaseKey);
    previous.floor_us = stored_number(kFloorKey);
    store_.sessions().each([&](const Store::Position& position) {
        previous.latest_commit_us = std::max(previous.latest_commit_us, commit_us(position.value));
    });
    return previous;
}

Positions::Start Positions::start(bool recovered, bool salvaged, CrashMarker marker, const std::string& boot,
                                  std::uint64_t now_us) {
    PreviousRun previous = previous_run(recovered, salvaged, marker, boot);
    Start start;
    start.floor = decide_floor(previous, now_us, options_.slack_us, options_.retention_us);
    // A clean end leaves no open write. If a session has one, the last process ended during that write.
    std::vector<std::uint64_t> open_sessions;
    store_.sessions().each([&](const Store::Position& position) {
        std::uint64_t commit = commit_us(position.value);
        if (has_open_write(position.value)) {
            open_sessions.push_back(position.key);
            commit = std::max(commit, start.floor.open_write_us);
        }
        start.commits.push_back({position.key, commit});
    });
    start.open_writes = open_sessions.size();
    std::erase_if(start.commits,
                  [&](const SessionCommit& commit) { return commit.commit_us <= start.floor.floor_us; });
    std::sort(start.commits.begin(), start.commits.end(),
              [](const SessionCommit& a, const SessionCommit& b) { return a.commit_us < b.commit_us; });
    // From here on the store describes this process. Open writes of the last process count as commits at the
    // present time.
    std::sort(open_sessions.begin(), open_sessions.end());
    for (std::uint64_t session : open_sessions)
        put_position(session, start.floor.open_write_us, false, now_us);
    // If this process ends before it writes its first lease, the next start must still cover everything that
    // this start covers.
    std::uint64_t lease_until_us =
        std::max({now_us, previous.lease_until_us, previous.latest_commit_us}) + options_.lease_us;
    std::vector<Record> records;
    records.push_back({Record::Type::remove, Space::system, kClosedKey, "", 0});
    records.push_back({Record::Type::put, Space::system, kBootKey, boot, 0});
    records.push_back({Record::Type::put, Space::system, kLeaseKey, encode_u64(lease_until_us), 0});
    records.push_back({Record::Type::put, Space::system, kFloorKey, encode_u64(start.floor.floor_us), 0});
    // The last process's marker may be lowered only once these records are on disk.
    marker_ = marker;
    start_ticket_ = store_.write(std::move(records), Durability::strict);
    requested_leases_.push_back({start_ticket_, lease_until_us});
    lease_.renew(now_us);
    return start;
}

void Positions::put_position(std::uint64_t session, std::uint64_t commit_us, bool open_write,
                             std::uint64_t now_us) {
    store_.put_position(session, encode(commit_us, open_write),
                        (now_us + options_.retention_us) / kMicrosecondsPerMillisecond);
}

std::uint64_t Positions::last_commit_us(std::uint64_t session) const {
    auto value = store_.position(session);
    return value ? commit_us(*value) : 0;
}

void Positions::write_started(std::uint64_t session, std::uint64_t now_us) {
    OpenWrites& open = open_writes_[session];
    ++open.count;
    if (open.count > 1) return;
    put_position(session, last_commit_us(session), true, now_us);
    open.ticket = store_.ticket();
}

bool Positions::write_committed(std::uint64_t session, std::uint64_t commit_us, std::uint64_t now_us) {
    auto open = open_writes_.find(session);
    bool is_open = open != open_writes_.end();
    bool is_open_write_durable = is_open && open->second.ticket <= store_.durable() && !store_.failing();
    put_position(session, std::max(commit_us, last_commit_us(session)), is_open, now_us);
    if (is_open_write_durable) return true;
    CrashMarker needed =
        lease_.covers(commit_us + options_.slack_us) ? CrashMarker::within_lease : CrashMarker::beyond_lease;
    needed_marker_ = std::max(needed_marker_, needed);
    uncovered_ticket_ = store_.ticket();
    if (needed > marker_ && write_marker_(needed)) marker_ = needed;
    return false;
}

void Positions::write_ended(std::uint64_t session, std::uint64_t now_us) {
    auto open = open_writes_.find(session);
    if (open == open_writes_.end()) return;
    --open->second.count;
    if (open->second.count > 0) return;
    open_writes_.erase(open);
    if (store_.position(session)) put_position(session, last_commit_us(session), false, now_us);
}

void Positions::tick(std::uint64_t now_us) {
    lower_marker();
    renew_lease(now_us);
}

void Positions::lower_marker() {
    if (start_ticket_ <= store_.durable()) start_ticket_ = 0;
    // The last uncovered commit is on disk, and so are all earlier ones.
    if (uncovered_ticket_ <= store_.durable() && !store_.failing()) needed_marker_ = CrashMarker::none;
    if (start_ticket_ == 0 && needed_marker_ < marker_ && write_marker_(needed_marker_))
        marker_ = needed_marker_;
}

void Positions::renew_lease(std::uint64_t now_us) {
    while (!requested_leases_.empty() && requested_leases_.front().ticket <= store_.durable()) {
        lease_.on_durable(requested_leases_.front().until_us);
        requested_leases_.erase(requested_leases_.begin());
    }
    if (store_.failing()) {
        requested_leases_.clear();
        lease_.on_write_failed();
        return;
    }
    auto until_us = lease_.renew(now_us);
    if (!until_us) return;
    std::uint64_t ticket = store_.put(Space::system, kLeaseKey, encode_u64(*until_us), Durability::strict);
    requested_leases_.push_back({ticket, *until_us});
}

void Positions::mark_closed() {
    if (store_.failing()) return;
    store_.put(Space::system, kClosedKey, "1", Durability::strict);
}

}  // namespace indigovane::store
