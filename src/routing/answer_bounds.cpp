#include "routing/answer_bounds.hpp"

#include <algorithm>

namespace indigovane::routing {

namespace {
// A request counts as lost if its answer ends over 0.5 s after its deadline. This leaves 0.1 s to end it.
constexpr Duration kStartedResponseGrace = std::chrono::milliseconds(400);
}  // namespace

bool may_give_up_paused_answer(const PendingRequest& pending, Duration pause, bool policy_retries) {
    if (!policy_retries || pending.response_started) return false;
    auto earlier_pauses = std::ranges::count_if(pending.attempts, &Attempt::paused);
    return pause >= kAnswerPause * (1 << earlier_pauses);
}

Time answer_due(const BackendTask& task, bool response_started) {
    return response_started ? task.deadline + kStartedResponseGrace : task.deadline;
}

}  // namespace indigovane::routing
