#include "routing/request_table.hpp"

namespace indigovane::routing {

namespace {
std::size_t size_of(const ClientRequest& request) {
    return request.statement.size() + request.name.size() + (request.content ? request.content->size() : 0);
}
bool may_run_again(const RetryRule& rule) {
    return rule.idempotency == policy::Idempotency::idempotent;
}
}  // namespace

bool RequestTable::record_start(const PendingRequest& pending, Time now) {
    if (may_run_again(pending.retry_rule)) return false;
    return started_.add({StartedRequests::hash(pending.request.id), now}, now);
}

RequestId RequestTable::add(ClientRequest&& request, Responder& responder, const RetryRule& retry_rule,
                            Time now) {
    RequestId id{next_id_++};
    PendingRequest& pending = requests_[id];
    pending.arrived = now;
    pending.deadline = now + request.client_timeout;
    pending.bytes = size_of(request);
    pending.retry_rule = retry_rule;
    pending.responder = &responder;
    bytes_ += pending.bytes;
    open_client_ids_.insert(request.id);
    pending.request = std::move(request);
    return id;
}

bool RequestTable::finish_if_done(RequestId id) {
    PendingRequest* pending = find(id);
    if (!pending || pending->responder || pending->in_flight() || pending->finished) return false;
    pending->finished = true;
    open_client_ids_.erase(pending->request.id);
    if (!may_run_again(pending->retry_rule) && !pending->may_have_run())
        started_.remove(StartedRequests::hash(pending->request.id));
    finished_.push_back(id);
    return true;
}

void RequestTable::forget(RequestId id) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    bytes_ -= found->second.bytes;
    requests_.erase(found);
}

}  // namespace indigovane::routing
