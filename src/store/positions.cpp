#include "store/positions.hpp"

#include <algorithm>

namespace indigovane::store {

Positions::Start Positions::start(bool recovered, bool salvaged, Witness witness, const std::string& boot,
                                  std::uint64_t now) {
    Found found;
    found.store = recovered;
    found.salvaged = salvaged;
    found.witness = witness;
    found.clean = store_.get(Space::system, "closed").has_value();
    found.same_boot = !boot.empty() && store_.get(Space::system, "boot") == boot;
    found.lease_us = decode_u64(store_.get(Space::system, "lease").value_or("")).value_or(0);
    found.floor_us = decode_u64(store_.get(Space::system, "floor").value_or("")).value_or(0);
    Start out;
    std::vector<std::uint64_t> open;
    store_.sessions().each([&](const Store::Position& p) {
        std::uint64_t commit = Positions::commit(p.value);
        found.latest_us = std::max(found.latest_us, commit);
        out.commits.emplace_back(p.key, commit);
        if (Positions::open(p.value)) open.push_back(p.key);
    });
    out.floor = decide(found, now, options_.slack_us, options_.retention_us);
    // A clean end leaves none in hand; one that has some all the same was in hand when it was cut off.
    std::sort(open.begin(), open.end());
    for (auto& [session, commit] : out.commits)
        if (std::binary_search(open.begin(), open.end(), session)) {
            commit = std::max(commit, out.floor.open_us);
            ++out.open;
        }
    std::erase_if(out.commits, [&](const auto& c) { return c.second <= out.floor.floor_us; });
    std::sort(out.commits.begin(), out.commits.end(), [](auto& a, auto& b) { return a.second < b.second; });
    // From here on the store speaks of this process. What the last one left in hand is settled: as a commit
    // at the present.
    for (std::uint64_t session : open) keep(session, out.floor.open_us, false, now);
    std::vector<Record> records;
    records.push_back({Record::Type::remove, Space::system, "closed", "", 0});
    records.push_back({Record::Type::put, Space::system, "boot", boot, 0});
    // If this process ends before its first lease is written, the next start must know no less than this one.
    std::uint64_t lease = std::max({now, found.lease_us, found.latest_us}) + options_.lease_us;
    records.push_back({Record::Type::put, Space::system, "lease", encode_u64(lease), 0});
    records.push_back({Record::Type::put, Space::system, "floor", encode_u64(out.floor.floor_us), 0});
    // Only when that is on disk is the last process's witness done with.
    witness_ = witness;
    started_ = store_.write(std::move(records), Durability::strict);
    asked_.emplace_back(started_, lease);
    lease_.due(now);
    return out;
}

void Positions::keep(std::uint64_t session, std::uint64_t commit, bool open, std::uint64_t now) {
    store_.put_position(session, value(commit, open), (now + options_.retention_us) / 1000);
}

void Positions::begun(std::uint64_t session, std::uint64_t now) {
    InHand& hand = in_hand_[session];
    if (hand.count++ > 0) return;
    auto old = store_.position(session);
    keep(session, old ? commit(*old) : 0, true, now);
    hand.ticket = store_.ticket();
}

bool Positions::committed(std::uint64_t session, std::uint64_t commit_us, std::uint64_t now) {
    auto hand = in_hand_.find(session);
    bool known = hand != in_hand_.end() && hand->second.ticket <= store_.written() && !store_.failing();
    auto old = store_.position(session);
    keep(session, std::max(commit_us, old ? commit(*old) : 0), hand != in_hand_.end(), now);
    if (known) return true;
    Witness needed = lease_.covers(commit_us + options_.slack_us) ? Witness::uncovered : Witness::lapsed;
    since_start_ = std::max(since_start_, needed);
    uncovered_ = store_.ticket();
    if (needed > witness_ && keep_witness_(needed)) witness_ = needed;
    return false;
}

void Positions::ended(std::uint64_t session, std::uint64_t now) {
    auto hand = in_hand_.find(session);
    if (hand == in_hand_.end() || --hand->second.count > 0) return;
    in_hand_.erase(hand);
    if (auto old = store_.position(session)) keep(session, commit(*old), false, now);
}

void Positions::tick(std::uint64_t now) {
    if (started_ != 0 && started_ <= store_.durable()) {
        started_ = 0;
    }
    // What was uncovered is on disk by now, and with it all before.
    if (uncovered_ <= store_.durable() && !store_.failing()) since_start_ = Witness::none;
    if (started_ == 0 && since_start_ < witness_ && keep_witness_(since_start_)) witness_ = since_start_;
    while (!asked_.empty() && asked_.front().first <= store_.durable()) {
        lease_.written(asked_.front().second);
        asked_.erase(asked_.begin());
    }
    if (store_.failing()) {
        asked_.clear();
        lease_.refused();
        return;
    }
    if (auto until = lease_.due(now))
        asked_.emplace_back(store_.put(Space::system, "lease", encode_u64(*until), Durability::strict),
                            *until);
}

void Positions::closed() {
    if (store_.failing()) return;
    store_.put(Space::system, "closed", "1", Durability::strict);
}

}  // namespace indigovane::store
