#include "site/tenant_admission.hpp"

#include <algorithm>

#include "site/decaying_rate.hpp"

namespace indigovane::site {

namespace {
// A level is computed anew when it is older than this.
constexpr Duration kLevelLifetime = milliseconds(200);
// Requests per second. A tenant below this rate may be dropped.
constexpr double kNegligibleRate = 0.01;
// Name under which tenants beyond `kMaxTenants` are counted. No tenant on the wire can have it.
const std::string kOtherTenants = std::string("\0others", 7);
}  // namespace

TimelinessShares split_by_timeliness(double admitted_share, double late_share) {
    double timely_share = 1 - late_share;
    if (admitted_share <= timely_share) return {timely_share > 0 ? admitted_share / timely_share : 1, 0};
    return {1, late_share > 0 ? std::min(1.0, (admitted_share - timely_share) / late_share) : 1};
}

void TenantAdmission::ArrivalRate::decay(Time now) {
    double factor = rate_decay(now - updated);
    total *= factor;
    late *= factor;
    updated = now;
}

void TenantAdmission::record_arrival(const std::string& tenant, bool late, const Settings& settings,
                                     Time now) {
    auto it = tenants_.find(tenant);
    if (it == tenants_.end() && tenants_.size() >= kMaxTenants) {
        for (auto& [name, rate] : tenants_) rate.decay(now);
        std::erase_if(tenants_, [](const auto& entry) { return entry.second.total < kNegligibleRate; });
        it = tenants_.try_emplace(tenants_.size() >= kMaxTenants ? kOtherTenants : tenant).first;
    } else if (it == tenants_.end()) {
        it = tenants_.try_emplace(tenant).first;
    }
    ArrivalRate& rate = it->second;
    rate.decay(now);
    rate.total += kRatePerArrival;
    if (late) rate.late += kRatePerArrival;
    rate.weight = tenant_weight(settings.tenant_shares, tenant);
}

void TenantAdmission::update_level(double class_share, Time now) {
    if (level_class_share_ == class_share && now - level_updated_ < kLevelLifetime) return;
    std::vector<WeightedDemand> demands;
    double total_rate = 0;
    for (auto& [tenant, rate] : tenants_) {
        rate.decay(now);
        demands.push_back({rate.total, rate.weight});
        total_rate += rate.total;
    }
    level_ = fair_level(std::move(demands), class_share * total_rate);
    level_class_share_ = class_share;
    level_updated_ = now;
}

double TenantAdmission::admitted_share(const std::string& tenant, bool late, double class_share,
                                       const Settings& settings, Time now) {
    auto it = tenants_.find(tenant);
    if (it == tenants_.end()) it = tenants_.find(kOtherTenants);
    if (it == tenants_.end()) return class_share;
    const ArrivalRate& rate = it->second;
    double share = class_share;
    if (settings.tenant_fairness) {
        update_level(class_share, now);
        share = satisfied_share({rate.total, rate.weight}, level_);
    }
    if (!settings.shed_late_first || rate.total <= 0) return share;
    TimelinessShares shares = split_by_timeliness(share, rate.late / rate.total);
    return late ? shares.late : shares.timely;
}

}  // namespace indigovane::site
