// What bounds the memory of a listener's sessions: of one session, and of all of them together.
//
// Each session records what it holds: unread bytes, unwritten bytes, and the spare capacity of both buffers.
// While the sum is below its limit, a session is bounded only by its own limits (Session::Limits). Beyond it
// - a session reads no further while it holds more than its share, whether a request of it is served or not,
// - a session between two requests that holds more than its share is closed,
// - no answer is queued for a client that has yet to read the one before it.
// So the sum exceeds the limit by the shares of all sessions at most. The share is the limit divided among
// all sessions that may be open, so that memory does not depend on how many clients do the same.
//
// Bytes that are reserved for long messages are not part of the sum (ClientListener::grant_capacity).
#pragma once

#include <algorithm>
#include <cstddef>

namespace indigovane::adapters {

class ClientMemory {
  public:
    /// What one session holds, as it was recorded last.
    struct Account {
        std::size_t bytes = 0;
    };

    explicit ClientMemory(std::size_t max_sessions) : max_sessions_(std::max<std::size_t>(1, max_sessions)) {}

    /// Sets the limit of the sum, in bytes.
    void set_limit(std::size_t bytes) { limit_ = bytes; }
    void record(Account& account, std::size_t bytes) {
        sum_ += bytes - account.bytes;
        account.bytes = bytes;
    }
    void remove(Account& account) { record(account, 0); }

    std::size_t sum() const { return sum_; }
    bool is_over_limit() const { return sum_ > limit_; }
    /// Bytes that a session may hold while the sum is over its limit.
    std::size_t share() const {
        // A buffer may have twice the capacity of what it holds, and the shares together half the limit.
        return std::clamp(limit_ / max_sessions_ / 4, kMinShare, kMaxShare);
    }
    bool is_over_share(const Account& account) const { return is_over_limit() && account.bytes > share(); }
    /// Whether an answer may be queued for a client that has not read all of its answers yet.
    bool admits_answer(std::size_t bytes) const { return bytes <= share() || sum_ + bytes <= limit_; }

  private:
    static constexpr std::size_t kMinShare = 4096, kMaxShare = 16384;  // bytes

    std::size_t max_sessions_;
    std::size_t limit_ = 16 << 20, sum_ = 0;
};

}  // namespace indigovane::adapters
