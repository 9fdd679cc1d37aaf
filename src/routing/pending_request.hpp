// A request between its arrival and the moment at which the routing policy knows that it is finished.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "routing/attempt.hpp"
#include "routing/retry_rule.hpp"

namespace indigovane::routing {

struct PendingRequest {
    ClientRequest request;
    Responder* responder = nullptr;  // none: its final answer is given, or its client is gone
    Time arrived{};
    Time deadline{};
    std::size_t bytes = 0;  // counted against the memory budget
    std::vector<Attempt> attempts;
    bool finished = false;          // nothing is owed and nothing in flight any more
    bool response_started = false;  // part of a long value is with the client
    RetryRule retry_rule;
    std::optional<std::int64_t> newer_commit_unix_ms;  // of its session, while it waited for a connection

    bool in_flight() const { return std::ranges::any_of(attempts, &Attempt::in_flight); }
    bool may_have_run() const { return std::ranges::any_of(attempts, &Attempt::may_have_run); }
};

}  // namespace indigovane::routing
