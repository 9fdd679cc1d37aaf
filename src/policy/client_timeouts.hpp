// Estimates how much of its deadline a client has used up before the attempt that has just arrived.
//
// A client that retries by itself tells only how long it will wait this time. Most of a class's requests
// come with one usual timeout; any other timeout is taken for what is left of the client's deadline. Where
// timeouts vary from client to client none is usual, and nothing counts as elapsed; nor for a first request
// where clients mark their retries. Without this, work would go into retries whose latency objective has
// passed.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "policy/types.hpp"

namespace indigovane::policy {

/// What one request class's clients have shown.
class ClientTimeouts {
  public:
    struct Arrival {
        Duration client_timeout;
        Duration deadline;          ///< of the class, over all the client's attempts
        bool is_marked_as_retry;    ///< RequestArrival::repeat
        bool clients_mark_retries;  ///< some client has marked a retry before, or this one
    };

    /// Records the arrival; returns the time already used up by the client's earlier attempts.
    Duration elapsed_before(const Arrival& arrival);

  private:
    static constexpr std::size_t kRetainedTimeouts = 16;

    std::array<Duration, kRetainedTimeouts> recent_{};
    std::size_t recorded_ = 0;
    std::optional<Duration> usual_;
};

}  // namespace indigovane::policy
