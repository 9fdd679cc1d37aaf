// What a pooler has done since it last said so: counts, written as one line of the log every few seconds. A
// large fleet's costs show only when the lines of all its poolers are summed, which tools/ledger does.
#pragma once

#include <array>
#include <cstdint>

#include "routing/interfaces.hpp"

namespace indigovane::routing {

struct RequestStatistics {
    std::uint32_t first = 0, repeated = 0;  // requests taken in; repeats are those that clients mark
    std::uint32_t sent = 0, refused = 0, refused_at_once = 0, failed = 0;
    std::uint32_t withdrawn = 0;  // their clients left before they were answered
    std::uint32_t probes = 0, probes_unanswered = 0, connections = 0, lists = 0;
    std::array<std::uint32_t, policy::kStatuses> ended{};  // attempts, by status

    bool empty() const { return first + repeated + sent + probes + connections + lists == 0; }
    Logger::Data data() const;  // what is zero is left out
};

}  // namespace indigovane::routing
