// What bounds one answer of a host, whatever its protocol: how much may come that is not passed on, how long
// it may pause, and when it must have ended.
//
// A host that goes on with its answer is not cut off while its client still waits, and an answer that never
// ends is. Backend connections count bytes and report pauses; the core decides what a pause means, since that
// depends on the request.
#pragma once

#include <cstddef>

#include "routing/pending_request.hpp"

namespace indigovane::routing {

// Counts the bytes of one answer.
class AnswerSize {
  public:
    // Limit of the bytes that are not passed on: notices, parameters, interim responses.
    static constexpr std::size_t kMaxSkippedBytes = 256 * 1024;
    // Limit of the rows of a page, or of a forwarded answer.
    static constexpr std::size_t kMaxDataBytes = 4 << 20;

    // Both return false once the answer is over that limit; then it has no valid end.
    bool add_skipped(std::size_t bytes) { return (skipped_ += bytes) <= kMaxSkippedBytes; }
    bool add_data(std::size_t bytes) { return (data_ += bytes) <= kMaxDataBytes; }
    std::size_t data() const { return data_; }

  private:
    std::size_t skipped_ = 0;
    std::size_t data_ = 0;
};

// An answer in which no bytes have come for this long has paused. It is reported again each time that it has
// paused for another such time.
constexpr Duration kAnswerPause = std::chrono::milliseconds(150);

// Whether an answer that has paused for that long may be given up so that the request is retried elsewhere.
// `policy_retries`: whether the policy would send the request again now. Each pause that a request was
// retried for doubles the time: pauses in many answers are the network's, and one of them has to be waited
// out.
bool may_give_up_paused_answer(const PendingRequest& pending, Duration pause, bool policy_retries);

// When an answer of which the client has received a part is looked at again, once its task's deadline has
// passed; nullopt: it is ended now. A response that has started has no deadline for as long as its host goes
// on with it, so that it is ended only if next to nothing has come since the last look. Time in which only
// the client holds it up does not count: a client that reads slowly has a limit of its own
// (adapters/session.hpp).
std::optional<Time> next_look_at_started(PendingRequest& pending, Time now);

}  // namespace indigovane::routing
