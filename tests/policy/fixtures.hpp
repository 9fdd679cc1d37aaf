// Shared by the tests of the routing policy's parts: requests, endpoints and groups with preset values.
#pragma once

#include <memory>

#include "policy/endpoint_table.hpp"
#include "policy/request_state.hpp"

namespace indigovane::policy::testing {

using namespace std::chrono_literals;

constexpr Time kStart = Time(1000s);

inline ClassSettings class_settings(Consistency consistency,
                                    Idempotency idempotency = Idempotency::idempotent) {
    ClassSettings settings;
    settings.consistency = consistency;
    settings.idempotency = idempotency;
    settings.latency_objective = 400ms;
    settings.deadline = 1s;
    settings.staleness_bound = 300ms;
    settings.deduplication_window = 500ms;
    return settings;
}

/// A request that arrives at kStart, with a client timeout of one second.
inline Request make_request(const ClassSettings& settings, std::size_t attempt_limit = 4, double draw = 0.5,
                            bool is_retry = false) {
    RequestArrival arrival;
    arrival.is_retry = is_retry;
    arrival.id = RequestId{7};
    arrival.client_timeout = 1s;
    arrival.session = SessionKey{3};
    auto request_class = std::make_shared<RequestClass>(make_request_class(settings));
    return Request(arrival, request_class, attempt_limit, Duration::zero(), draw, kStart);
}

/// Starts an attempt at the endpoint and ends it with the status.
inline void run_attempt(Request& request, Endpoint& endpoint, AttemptStatus status, Time sent = kStart) {
    request.start_attempt(endpoint, sent);
    request.end_attempt(std::uint32_t(request.attempts().size() - 1), execution_of(status));
}

inline EndpointEntry list_entry(std::uint32_t id, bool primary = false,
                                EndpointState state = EndpointState::ready) {
    EndpointEntry entry;
    entry.endpoint = EndpointId{id};
    entry.group = GroupId{1};
    entry.state = state;
    entry.primary = primary;
    return entry;
}

/// A table with one group: a primary (endpoint 0) and replicas (1 and up).
inline EndpointTable make_table(std::uint32_t endpoints) {
    EndpointList list;
    list.kind = EndpointListKind::full;
    for (std::uint32_t id = 0; id < endpoints; ++id) list.entries.push_back(list_entry(id, id == 0));
    EndpointTable table;
    table.apply(list, true);
    table.find_group(GroupId{1})->first_used = kStart;
    return table;
}

}  // namespace indigovane::policy::testing
