// What bounds the memory of the answers that hosts are sending, of all connections to hosts together.
//
// A long value is passed on in pieces and needs little. Pages and forwarded answers are collected until they
// are complete. While all of them use more than the limit, a connection whose answer is longer than the
// usual gives up its attempt: the request is then sent again or ended, as its class allows.
#pragma once

#include <cstddef>

namespace indigovane::adapters {

class AnswerMemory {
  public:
    /// What one connection holds, as it was recorded last.
    struct Account {
        std::size_t bytes = 0;
    };

    /// Sets the limit of the sum, in bytes.
    void set_limit(std::size_t bytes) { limit_ = bytes; }
    void record(Account& account, std::size_t bytes) {
        sum_ += bytes - account.bytes;
        account.bytes = bytes;
    }
    bool must_give_up(const Account& account) const {
        return sum_ > limit_ && account.bytes > kUsualAnswerBytes;
    }

  private:
    /// The buffer of the longest row that is not sent in pieces.
    static constexpr std::size_t kUsualAnswerBytes = 128 * 1024;

    std::size_t limit_ = 64 << 20, sum_ = 0;
};

}  // namespace indigovane::adapters
