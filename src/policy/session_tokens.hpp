// Session tokens: the commit that the reads of each session must see (read-your-writes).
//
// Where clients do not send a token, the routing policy remembers the last commit of each session for a
// minute. When a token is forgotten, its commit becomes the floor: all session reads must see at least that
// commit, so that no read misses the write.
//
// Source: docs/design.md, "What is forgotten". Settings read: Settings::token_source, by the engine.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "policy/events.hpp"
#include "policy/types.hpp"

namespace indigovane::policy {

/// The remembered session tokens. Times and commits are on the caller's clock.
class SessionTokenStore {
  public:
    /// Records a commit; the session's newest one is its token. Forgets the oldest tokens beyond 50,000
    /// tokens or one minute.
    void remember(SessionKey session, Time commit, Time now);
    /// Session reads must see at least this commit from now on.
    void raise_floor(Time floor);

    /// The commit that a read of the session must see. `nullopt`: the read belongs to no session.
    Time token(std::optional<SessionKey> session) const;
    /// All remembered tokens, the oldest first, and the floor.
    SessionTokens snapshot() const;

  private:
    bool must_forget_oldest(Time now) const;

    std::unordered_map<SessionKey, Time> tokens_;
    std::deque<std::pair<SessionKey, Time>> commits_by_arrival_;  // a session may have several entries
    Time floor_{};
};

}  // namespace indigovane::policy
