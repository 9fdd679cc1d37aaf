// Session tokens: the commit that each session's reads must see (read-your-writes).
//
// Where the client doesn't carry its token, the module remembers each session's last commit for a minute. A
// token that is forgotten becomes a floor under all session reads, so that none may miss the write it stood
// for.
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

class SessionTokenStore {
  public:
    /// Keeps the session's newest commit; forgets what is too old or too much.
    void remember(SessionKey session, Time commit, Time now);
    /// Reads of sessions without a token must see this from now on.
    void raise_floor(Time floor);

    /// What a read of the session must see; `nullopt`: of no session.
    Time token(std::optional<SessionKey> session) const;
    /// All that is remembered, the oldest first.
    SessionTokens snapshot() const;

  private:
    bool must_forget_oldest(Time now) const;

    std::unordered_map<SessionKey, Time> tokens_;
    std::deque<std::pair<SessionKey, Time>>
        commits_by_arrival_;  // of arrival; a session may stand here several times
    Time floor_{};
};

}  // namespace indigovane::policy
