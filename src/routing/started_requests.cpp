#include "routing/started_requests.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace indigovane::routing {

std::uint64_t StartedRequests::hash(std::string_view client_id) {
    return XXH64(client_id.data(), client_id.size(), 0);
}

bool StartedRequests::add(const Entry& entry, Time now) {
    if (!started_.insert(entry).second) return false;
    by_arrival_.push_back(entry);
    while (by_arrival_.size() > kMaxRequests || by_arrival_.front().second + kRetention < now) {
        auto oldest = started_.find(by_arrival_.front().first);
        if (oldest != started_.end() && oldest->second == by_arrival_.front().second) started_.erase(oldest);
        by_arrival_.pop_front();
        if (by_arrival_.empty()) break;
    }
    return true;
}

bool StartedRequests::contains(std::string_view client_id, Time now) const {
    if (started_.empty()) return false;
    auto entry = started_.find(hash(client_id));
    return entry != started_.end() && now <= entry->second + kRetention;
}

std::vector<StartedRequests::Entry> StartedRequests::entries() const {
    std::vector<Entry> entries;
    for (const Entry& entry : by_arrival_) {
        auto started = started_.find(entry.first);
        if (started != started_.end() && started->second == entry.second) entries.push_back(entry);
    }
    return entries;
}

}  // namespace indigovane::routing
