// A request from its arrival until the routing policy has been told that it is finished.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "routing/attempt.hpp"
#include "routing/retry_rule.hpp"

namespace indigovane::routing {

struct PendingRequest {
    ClientRequest request;
    // Null once the final answer has been given or the client has left.
    Responder* responder = nullptr;
    Time arrived{};
    Time deadline{};
    std::size_t bytes = 0;  // counted against the memory budget
    std::vector<Attempt> attempts;
    bool finished = false;          // no answer is owed and no attempt is in flight
    bool response_started = false;  // the client has received part of a long value
    bool awaits_client = false;     // the client has to read before it can be sent more of it
    // Bytes of a long value that were passed on, and how many they were at the last look at its progress.
    std::uint64_t response_bytes = 0;
    std::uint64_t response_bytes_at_look = 0;
    RetryRule retry_rule;
    // The latest commit of the request's session that was answered after the request arrived.
    std::optional<std::int64_t> newer_commit_unix_ms;

    bool in_flight() const { return std::ranges::any_of(attempts, &Attempt::in_flight); }
    bool may_have_run() const { return std::ranges::any_of(attempts, &Attempt::may_have_run); }
};

}  // namespace indigovane::routing
