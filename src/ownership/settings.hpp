// Settings of leases. They must be the same on all nodes. Source: docs/ownership.md.
#pragma once

#include <vector>

#include "ownership/types.hpp"

namespace indigovane::ownership {

struct Settings {
    // 1, 3 or 5 of the configured poolers.
    std::vector<NodeId> voters;
    // How long a grant lasts, by the voters' clocks.
    Duration lease_duration = seconds(3);
    // Largest error of the rate of any steady clock, as a fraction of real time.
    double max_clock_drift = 0.01;
    // An owner stops this much earlier than the clock drift requires.
    Duration safety_margin = milliseconds(0);
    // How long a candidate or an owner waits for the voters' replies.
    Duration reply_timeout = milliseconds(400);
    // Delay per standby rank: rank r waits r times this.
    Duration standby_delay = milliseconds(150);
    // Upper bound of the random backoff after split votes.
    Duration max_backoff = seconds(5);

    // Safeguards. Tests switch each of them off to show that it is needed.
    bool allow_for_drift = true;   // shorten ownership by the clock drift
    bool wait_after_start = true;  // a voter grants nothing for a lease's duration after its start
    bool persist_grants = true;    // a voter stores each grant before it replies
    bool fencing = true;           // a fence rejects acts with an older token
    bool check_expiry = true;      // an owner checks before each act that its lease has not expired

    // Number of voters that must grant a lease. Any two quorums share a voter.
    std::size_t quorum() const { return voters.size() / 2 + 1; }

    // How long an owner may act after it sent its request, by its own clock. Its clock may be the slowest and
    // the voters' clocks the fastest: in real time, own / (1 - drift) <= lease / (1 + drift).
    Duration ownership_duration() const;
};

}  // namespace indigovane::ownership
