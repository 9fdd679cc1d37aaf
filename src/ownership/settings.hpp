// Settings of leases: the same at all nodes. Source: docs/ownership.md.
#pragma once

#include <vector>

#include "ownership/types.hpp"

namespace indigovane::ownership {

struct Settings {
    std::vector<NodeId> voters;                  // 1, 3 or 5 of the configured poolers
    Duration lease_duration = seconds(3);        // by the voters' clocks
    double max_clock_drift = 0.01;               // share by which the rate of any steady clock is off at most
    Duration safety_margin = milliseconds(0);    // an owner stops so much sooner still
    Duration reply_timeout = milliseconds(400);  // of a request to the voters
    Duration standby_delay = milliseconds(150);  // by standby rank: rank r waits r times this
    Duration max_backoff = seconds(5);           // after split votes

    // Safeguards; each can be switched off, to show in tests that it is needed.
    bool allow_for_drift = true;
    bool wait_after_start = true;  // a voter grants nothing for a lease's duration after its start
    bool persist_grants = true;
    bool fencing = true;
    bool check_expiry = true;  // before each act

    // Voters whose grants make an owner: any two quorums share a voter.
    std::size_t quorum() const { return voters.size() / 2 + 1; }

    // For so long after its request an owner may act, by its own clock. Its clock may be the slowest and the
    // voters' the fastest: own / (1 - drift) <= lease / (1 + drift) in real time.
    Duration ownership_duration() const;
};

}  // namespace indigovane::ownership
