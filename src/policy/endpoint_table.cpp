#include "policy/endpoint_table.hpp"

#include <cmath>
#include <iterator>

#include "policy/time_units.hpp"

namespace indigovane::policy {
namespace {

using std::chrono::seconds;

/// How long an endpoint is kept after it left the list.
constexpr Duration kUnlistedRetention = seconds(60);
/// Time constant with which the count of a group's reads decays.
constexpr Duration kReadRateDecayTime = seconds(1);

}  // namespace

void ReadRate::record(Time now) {
    decayed_count_ = per_second(now) + 1;
    updated_at_ = now;
}

double ReadRate::per_second(Time now) const {
    return decayed_count_ *
           std::exp(-to_milliseconds(now - updated_at_) / to_milliseconds(kReadRateDecayTime));
}

Endpoint* known_primary(const ReplicaGroup& group) {
    Endpoint* newest = nullptr;
    for (Endpoint* endpoint : group.endpoints) {
        const std::optional<Time>& claim = endpoint->replication.primary_as_of;
        if (claim && (!newest || *claim > *newest->replication.primary_as_of)) newest = endpoint;
    }
    return newest;
}

ReplicaGroup* EndpointTable::find_group(GroupId id) {
    auto it = groups_.find(id);
    return it == groups_.end() ? nullptr : &it->second;
}

void EndpointTable::apply(const EndpointList& list, bool removal_binds) {
    if (list.kind != EndpointListKind::changes)
        for (auto& [id, endpoint] : endpoints_) endpoint.is_listed = !removal_binds && !endpoint.is_draining;
    for (const EndpointEntry& entry : list.entries) apply(entry, removal_binds);
}

void EndpointTable::apply(const EndpointEntry& entry, bool removal_binds) {
    auto [it, is_new] = endpoints_.try_emplace(entry.endpoint);
    Endpoint& endpoint = it->second;
    if (is_new) {
        endpoint.id = entry.endpoint;
        endpoint.group = entry.group;
        endpoint.zone = entry.zone;
        groups_[entry.group].endpoints.push_back(&endpoint);
        // The list only gives a hint: any claim that is observed later takes precedence.
        if (entry.primary) endpoint.replication.primary_as_of = Time::min();
    }
    if (entry.started && endpoint.started != entry.started) {
        endpoint.started = entry.started;
        endpoint.limit.restart();
    }
    bool is_ready = entry.state == EndpointState::ready;
    bool is_gone = entry.state == EndpointState::gone;
    endpoint.is_draining = entry.state == EndpointState::draining || (endpoint.is_draining && is_gone);
    endpoint.is_listed = is_ready || (is_gone && !removal_binds && !endpoint.is_draining);
}

void EndpointTable::forget_endpoints(Time now, const std::function<bool(const Endpoint&)>& is_referenced) {
    for (auto it = endpoints_.begin(); it != endpoints_.end();) {
        Endpoint& endpoint = it->second;
        if (endpoint.is_listed) endpoint.unlisted_since.reset();
        if (!endpoint.is_listed && !endpoint.unlisted_since) endpoint.unlisted_since = now;
        bool is_expired = endpoint.unlisted_since && now - *endpoint.unlisted_since > kUnlistedRetention;
        bool is_idle = endpoint.in_flight == 0 && !endpoint.health_check.is_in_flight();
        if (is_expired && is_idle && !is_referenced(endpoint)) {
            std::erase(group_of(endpoint).endpoints, &endpoint);
            it = endpoints_.erase(it);
        } else {
            ++it;
        }
    }
}

void EndpointTable::forget_groups() {
    std::erase_if(groups_, [](const auto& group) { return group.second.is_forgettable(); });
}

}  // namespace indigovane::policy
