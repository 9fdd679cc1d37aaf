// The pending requests: what is owed to whom, the memory that they take, and the ids that clients gave them.
#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "routing/pending_request.hpp"

namespace indigovane::routing {

class RequestTable {
  public:
    using Requests = std::unordered_map<RequestId, PendingRequest>;

    // Takes a request in; its id is never used again. The responder must live until it is answered or its
    // client has left.
    RequestId add(ClientRequest&& request, Responder& responder, const RetryRule& retry_rule, Time now);
    // None: it is unknown or forgotten. Valid until the request is forgotten.
    PendingRequest* find(RequestId id) {
        auto found = requests_.find(id);
        return found == requests_.end() ? nullptr : &found->second;
    }
    // As above, where its final answer is still owed.
    PendingRequest* find_unanswered(RequestId id) {
        PendingRequest* pending = find(id);
        return pending && pending->responder ? pending : nullptr;
    }

    // Marks a request as finished once nothing is owed and nothing in flight; its client's id may be used
    // again from then on. False: it is not so, or was marked before.
    bool finish_if_done(RequestId id);
    // Those finished since the last call. The policy may not know it yet.
    std::vector<RequestId> take_finished() { return std::exchange(finished_, {}); }
    bool has_finished() const { return !finished_.empty(); }
    void forget(RequestId id);

    // Whether a request of that client's id is pending.
    bool is_open(const std::string& client_id) const { return open_client_ids_.count(client_id) > 0; }
    std::size_t bytes() const { return bytes_; }
    std::size_t size() const { return requests_.size(); }
    Requests::iterator begin() { return requests_.begin(); }
    Requests::iterator end() { return requests_.end(); }

  private:
    Requests requests_;
    std::unordered_set<std::string> open_client_ids_;
    std::vector<RequestId> finished_;
    std::uint64_t next_id_ = 1;
    std::size_t bytes_ = 0;
};

}  // namespace indigovane::routing
