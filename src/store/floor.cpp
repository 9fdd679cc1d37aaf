#include "store/floor.hpp"

#include <algorithm>

namespace indigovane::store {

Floor decide(const Found& f, std::uint64_t now, std::uint64_t slack, std::uint64_t retention) {
    Floor out;
    // A clock that has stepped back across the start would make "now" earlier than commits that were
    // acknowledged.
    std::uint64_t present = std::max({now, f.store ? f.latest_us : 0, f.store ? f.lease_us : 0}) + slack;
    // What is older has been forgotten: no session that wrote before then can be told from one that never
    // did.
    std::uint64_t forgotten = now > retention ? now - retention : 0;
    out.open_us = present;
    auto say = [&](Floor::Level level, std::uint64_t floor, const char* why) {
        out.level = level;
        out.floor_us = std::max({floor, forgotten, f.floor_us});
        out.why = why;
        return out;
    };
    if (!f.store) return say(Floor::Level::present, present, "there is no store yet");
    if (f.salvaged)
        return say(Floor::Level::present, present, "it was salvaged: commits may be among what was dropped");
    // Also of one that was closed: a process may have served since that could write nothing down, and its
    // witness is gone.
    if (!f.same_boot)
        return say(Floor::Level::present, present,
                   "the machine has started anew: what was not synced is unknown");
    switch (f.witness) {
        case Witness::none:
            if (f.clean) return say(Floor::Level::none, 0, "it was closed");
            return say(Floor::Level::open_writes, 0, "each write in hand at the end is known");
        case Witness::uncovered:
            return say(Floor::Level::lease, f.lease_us + slack, "the disk was late; the lease covers it");
        case Witness::lapsed:
            break;
    }
    return say(Floor::Level::present, present, "the disk failed before the end");
}

std::optional<std::uint64_t> Lease::due(std::uint64_t now) {
    if (asked_ > now + length_ / 2) return std::nullopt;
    asked_ = now + length_;
    return asked_;
}

}  // namespace indigovane::store
