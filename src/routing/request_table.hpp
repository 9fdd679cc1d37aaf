// The pending requests with their responders, the memory that they use, and the ids that their clients gave
// them.
#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "routing/pending_request.hpp"
#include "routing/started_requests.hpp"

namespace indigovane::routing {

class RequestTable {
  public:
    using Requests = std::unordered_map<RequestId, PendingRequest>;

    // Adds a request. Its id is never reused. The responder must live until the request is answered or the
    // client has left.
    RequestId add(ClientRequest&& request, Responder& responder, const RetryRule& retry_rule, Time now);
    // nullptr: the request is unknown or forgotten. The pointer is valid until the request is forgotten.
    PendingRequest* find(RequestId id) {
        auto found = requests_.find(id);
        return found == requests_.end() ? nullptr : &found->second;
    }
    // As find(), but nullptr once the request has its final answer or its client has left.
    PendingRequest* find_unanswered(RequestId id) {
        PendingRequest* pending = find(id);
        return pending && pending->responder ? pending : nullptr;
    }

    // Marks a request as finished if no answer is owed and no attempt is in flight. False: the request isn't
    // finished yet, or was marked before.
    bool finish_if_done(RequestId id);
    // The requests finished since the last call. The policy may not know yet that they are finished.
    std::vector<RequestId> take_finished() { return std::exchange(finished_, {}); }
    bool has_finished() const { return !finished_.empty(); }
    void forget(RequestId id);

    // Records that the request is about to be sent to a host. True: it is one that must not run again, and it
    // was not recorded before.
    bool record_start(const PendingRequest& pending, Time now);
    // Requests that were sent to a host, here or by another process, and must not run again.
    StartedRequests& started() { return started_; }

    // Whether a request with this client-chosen id is pending, or must not run again.
    bool is_open(const std::string& client_id, Time now) const {
        return open_client_ids_.count(client_id) > 0 || started_.contains(client_id, now);
    }
    // The memory that all requests use, in bytes.
    std::size_t bytes() const { return bytes_; }
    std::size_t size() const { return requests_.size(); }
    Requests::iterator begin() { return requests_.begin(); }
    Requests::iterator end() { return requests_.end(); }

  private:
    Requests requests_;
    std::unordered_set<std::string> open_client_ids_;
    StartedRequests started_;
    std::vector<RequestId> finished_;
    std::uint64_t next_id_ = 1;
    std::size_t bytes_ = 0;
};

}  // namespace indigovane::routing
