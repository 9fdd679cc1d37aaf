#include "routing/endpoint_registry.hpp"

#include <utility>

namespace indigovane::routing {

using policy::EndpointEntry;
using policy::EndpointList;
using policy::EndpointListKind;
using policy::EndpointState;

namespace {
// An idle connection is closed after this share of the idle limit at which hosts close it. If a request were
// sent while the host closes the connection, it might have run.
constexpr double kIdleShare = 0.8;

bool is_in_use(const Endpoint& endpoint) {
    return endpoint.attempts > 0 || endpoint.health_check || endpoint.pool->connections() > 0;
}
}  // namespace

std::pair<EndpointId, Endpoint*> EndpointRegistry::find_or_add(const std::string& uid) {
    auto [entry, is_added] = ids_.try_emplace(uid, EndpointId(next_id_));
    Endpoint& endpoint = endpoints_[entry->second];
    if (is_added) {
        ++next_id_;
        endpoint.pool = make_pool_(entry->second);
    }
    return {entry->second, &endpoint};
}

EndpointList EndpointRegistry::apply(EndpointListKind kind, const std::vector<EndpointInfo>& infos) {
    EndpointList list{kind, {}};
    std::set<EndpointId> named_ids;
    for (const EndpointInfo& info : infos) {
        auto [id, endpoint] = find_or_add(info.uid);
        named_ids.insert(id);
        if (!info.address.empty()) endpoint->pool->set_address(info.address);
        std::string address = std::move(endpoint->info.address);
        endpoint->info = info;
        if (info.address.empty()) endpoint->info.address = std::move(address);
        if (info.state == EndpointState::gone)
            delist(*endpoint);
        else if (std::exchange(endpoint->delisted_at, std::nullopt))
            overlays_.end_site_exclusion(id);  // the site's state decides anew, as for a new endpoint
        list.entries.push_back(effective_entry(id, *endpoint));
    }
    if (kind != EndpointListKind::changes && kind != EndpointListKind::failed)
        for (auto& [id, endpoint] : endpoints_)
            if (!named_ids.count(id)) delist(endpoint);
    return list;
}

EndpointEntry EndpointRegistry::effective_entry(EndpointId id, Endpoint& endpoint) {
    EndpointEntry entry = overlays_.apply(id, endpoint.info, clock_);
    endpoint.accepts_requests = entry.state == EndpointState::ready;
    if (!endpoint.accepts_requests) endpoint.pool->close_idle(Time::max());
    return entry;
}

EndpointList EndpointRegistry::set_operator_exclusions(const std::set<std::string>& uids) {
    EndpointList list{EndpointListKind::changes, {}};
    for (const std::string& uid : overlays_.set_operator_exclusions(uids, clock_.now())) {
        std::optional<EndpointId> id = find_uid(uid);
        if (id && is_listed(*id)) list.entries.push_back(effective_entry(*id, endpoints_.at(*id)));
    }
    return list;
}

std::optional<EndpointEntry> EndpointRegistry::exclude_by_site(EndpointId id) {
    if (!is_listed(id)) return std::nullopt;
    overlays_.exclude_by_site(id);
    return effective_entry(id, endpoints_.at(id));
}

std::optional<EndpointEntry> EndpointRegistry::readmit_by_site(EndpointId id, std::optional<Time> started) {
    if (!is_listed(id)) return std::nullopt;
    overlays_.readmit_by_site(id, started);
    return effective_entry(id, endpoints_.at(id));
}

void EndpointRegistry::delist(Endpoint& endpoint) {
    endpoint.accepts_requests = false;
    endpoint.pool->close_idle(Time::max());
    if (!endpoint.delisted_at) endpoint.delisted_at = clock_.now();
}

std::optional<EndpointId> EndpointRegistry::find_uid(const std::string& uid) const {
    auto found = ids_.find(uid);
    return found == ids_.end() ? std::nullopt : std::optional(found->second);
}

std::string EndpointRegistry::uid(EndpointId id) const {
    auto found = endpoints_.find(id);
    return found == endpoints_.end() ? "" : found->second.info.uid;
}

bool EndpointRegistry::is_listed(EndpointId id) const {
    auto found = endpoints_.find(id);
    return found != endpoints_.end() && !found->second.delisted_at;
}

std::vector<EndpointInfo> EndpointRegistry::listed() const {
    std::vector<EndpointInfo> infos;
    for (const auto& [id, endpoint] : endpoints_)
        if (!endpoint.delisted_at) infos.push_back(endpoint.info);
    return infos;
}

std::vector<site::Host> EndpointRegistry::site_hosts() const {
    std::vector<site::Host> hosts;
    for (const auto& [id, endpoint] : endpoints_) {
        const EndpointInfo& info = endpoint.info;
        if (endpoint.delisted_at) continue;
        site::Host host;
        host.id = site::HostId{std::uint32_t(id)};
        host.site = site::SiteId{info.zone};
        host.group = site::GroupId{info.group};
        host.ready = info.state == EndpointState::ready && !overlays_.excluded_by_operators(info.uid);
        host.primary = info.primary;
        if (auto started = listed_start(info, clock_)) host.started = site::Time(started->time_since_epoch());
        hosts.push_back(host);
    }
    return hosts;
}

// An endpoint is not forgotten while anything refers to it, nor soon after it was delisted: if it is listed
// again under its uid until then, it keeps its id. The routing policy forgets endpoints by itself and never
// sends to one that is not listed.
void EndpointRegistry::sweep(Time now, const CoreLimits& limits) {
    overlays_.forget_operator_readmissions(now - limits.delisted_retention);
    auto idle_limit = Duration(std::int64_t(double(limits.idle_limit.count()) * kIdleShare));
    for (auto entry = endpoints_.begin(); entry != endpoints_.end();) {
        Endpoint& endpoint = entry->second;
        endpoint.pool->close_idle(endpoint.accepts_requests ? now - idle_limit : Time::max());
        bool is_expired = endpoint.delisted_at && now - *endpoint.delisted_at > limits.delisted_retention;
        if (!is_expired || is_in_use(endpoint)) {
            ++entry;
            continue;
        }
        overlays_.forget(entry->first);
        ids_.erase(endpoint.info.uid);
        entry = endpoints_.erase(entry);
    }
}

bool EndpointRegistry::close_oldest_idle() {
    Pool* oldest = nullptr;
    for (auto& [id, endpoint] : endpoints_) {
        auto since = endpoint.pool->oldest_idle();
        if (since && (!oldest || *since < *oldest->oldest_idle())) oldest = endpoint.pool.get();
    }
    return oldest && oldest->close_oldest_idle();
}

void EndpointRegistry::serve_waiting() {
    for (auto& [id, endpoint] : endpoints_) endpoint.pool->serve_waiting();
}

void EndpointRegistry::set_connect_timeout(Duration timeout) {
    for (auto& [id, endpoint] : endpoints_) endpoint.pool->set_connect_timeout(timeout);
}

}  // namespace indigovane::routing
