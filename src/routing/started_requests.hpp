// The ids of requests that have been sent to a host and must not run a second time.
//
// Each request has an id of its own, also a client's retry. An id that comes again is the same request: its
// client has lost the connection, or left it, and sends the request once more. If its class does not allow it
// to run twice, and it may have run, it is not sent again, whatever became of the first answer, and whichever
// process of the pooler sent it.
//
// Ids are kept as 64-bit hashes for kRetention, the newest kMaxRequests of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "routing/types.hpp"

namespace indigovane::routing {

class StartedRequests {
  public:
    // A request as two processes tell each other of it: the hash of its id, and when it was sent first.
    using Entry = std::pair<std::uint64_t, Time>;

    // Well above the time in which a client gives up and comes again.
    static constexpr Duration kRetention = std::chrono::seconds(30);
    static constexpr std::size_t kMaxRequests = 16384;

    static std::uint64_t hash(std::string_view client_id);

    // Adds an entry, and drops those that are too old or too many. False: it was known already.
    bool add(const Entry& entry, Time now);
    // The request is known never to have run.
    void remove(std::uint64_t hash) { started_.erase(hash); }
    bool contains(std::string_view client_id, Time now) const;
    // All entries, the oldest first.
    std::vector<Entry> entries() const;

  private:
    std::unordered_map<std::uint64_t, Time> started_;
    std::deque<Entry> by_arrival_;  // also entries that were removed since
};

}  // namespace indigovane::routing
