#include "policy/session_tokens.hpp"

#include <algorithm>
#include <cstddef>

namespace indigovane::policy {
namespace {

constexpr std::size_t kMaxTokens = 50000;
/// Replicas in use lag by less than this, so that an older commit is on all of them.
constexpr Duration kMaxTokenAge = std::chrono::seconds(60);

}  // namespace

void SessionTokenStore::remember(SessionKey session, Time commit, Time now) {
    Time& token = tokens_[session];
    token = std::max(token, commit);
    commits_by_arrival_.push_back({session, commit});
    while (must_forget_oldest(now)) {
        auto [oldest, oldest_commit] = commits_by_arrival_.front();
        commits_by_arrival_.pop_front();
        auto it = tokens_.find(oldest);
        if (it == tokens_.end() || it->second != oldest_commit) continue;
        raise_floor(oldest_commit);
        tokens_.erase(it);
    }
}

bool SessionTokenStore::must_forget_oldest(Time now) const {
    return !commits_by_arrival_.empty() && (commits_by_arrival_.size() > kMaxTokens ||
                                            now - commits_by_arrival_.front().second > kMaxTokenAge);
}

void SessionTokenStore::raise_floor(Time floor) {
    floor_ = std::max(floor_, floor);
}

Time SessionTokenStore::token(std::optional<SessionKey> session) const {
    auto it = session ? tokens_.find(*session) : tokens_.end();
    return it == tokens_.end() ? floor_ : std::max(it->second, floor_);
}

SessionTokens SessionTokenStore::snapshot() const {
    SessionTokens remembered{{}, floor_};
    for (const auto& [session, commit] : commits_by_arrival_) {
        auto it = tokens_.find(session);
        if (it != tokens_.end() && it->second == commit) remembered.commits.push_back({session, commit});
    }
    return remembered;
}

}  // namespace indigovane::policy
