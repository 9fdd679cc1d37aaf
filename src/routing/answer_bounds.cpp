#include "routing/answer_bounds.hpp"

#include <algorithm>

namespace indigovane::routing {

namespace {
// How often a started response is looked at after its deadline.
constexpr Duration kStartedResponseInterval = std::chrono::seconds(5);
// The least number of bytes between two looks with which a host counts as going on.
constexpr std::uint64_t kMinStartedResponseBytes = 1024;
// How soon it is looked at again while only its client holds it up.
constexpr Duration kSlowClientInterval = std::chrono::milliseconds(100);
}  // namespace

bool may_give_up_paused_answer(const PendingRequest& pending, Duration pause, bool policy_retries) {
    if (!policy_retries || pending.response_started) return false;
    auto earlier_pauses = std::ranges::count_if(pending.attempts, &Attempt::paused);
    return pause >= kAnswerPause * (1 << earlier_pauses);
}

std::optional<Time> next_look_at_started(PendingRequest& pending, Time now) {
    if (pending.awaits_client) return now + kSlowClientInterval;
    std::uint64_t since_last_look = pending.response_bytes - pending.response_bytes_at_look;
    if (since_last_look < kMinStartedResponseBytes) return std::nullopt;
    pending.response_bytes_at_look = pending.response_bytes;
    return now + kStartedResponseInterval;
}

}  // namespace indigovane::routing
