// Estimates how much of its deadline a client had used up before the request that has just arrived.
//
// A client that retries by itself only states how long it will wait for this attempt. Most requests of a
// class come with one usual timeout; a different timeout is taken as the rest of the client's deadline.
// Where timeouts vary from client to client, none is usual and no time counts as elapsed. The same holds
// for an unmarked request where clients mark their retries. Without this estimate, endpoints would work on
// retries whose latency objective has passed.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "policy/types.hpp"

namespace indigovane::policy {

/// The client timeouts that were recently observed for one request class.
class ClientTimeouts {
  public:
    struct Arrival {
        Duration client_timeout;
        Duration deadline;          ///< of the class, for all attempts of the client together
        bool is_marked_as_retry;    ///< RequestArrival::is_retry
        bool clients_mark_retries;  ///< a client has marked a retry before, or marks this one
    };

    /// Records the arrival and returns the estimated time that the client's earlier attempts took.
    Duration elapsed_before(const Arrival& arrival);

  private:
    static constexpr std::size_t kRetainedTimeouts = 16;

    std::array<Duration, kRetainedTimeouts> recent_{};
    std::size_t recorded_ = 0;
    std::optional<Duration> usual_;
};

}  // namespace indigovane::policy
