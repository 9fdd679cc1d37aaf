#include "site/fairness.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace indigovane::site {

namespace {
constexpr double kMemory = 5e6;                     // us; as the rates of classes
constexpr Duration kLevelKept = milliseconds(200);  // the level is found anew so often
constexpr double kForgotten = 0.01;                 // requests a second: such a tenant is as good as gone
const std::string kOthers = std::string("\0others", 7);  // no wire carries such a name
}  // namespace

double fair_level(std::vector<ShareDemand> demands, double budget) {
    double all = 0, weights = 0;
    for (const ShareDemand& a : demands) all += a.rate, weights += a.weight;
    if (all <= budget) return std::numeric_limits<double>::infinity();
    // Those that ask least for their weight are satisfied first; what they leave is for the others.
    std::sort(demands.begin(), demands.end(), [](const ShareDemand& a, const ShareDemand& b) {
        return a.rate / a.weight < b.rate / b.weight;
    });
    for (const ShareDemand& a : demands) {
        double level = budget / weights;
        if (a.rate / a.weight >= level) return level;
        budget -= a.rate;
        weights -= a.weight;
    }
    return std::numeric_limits<double>::infinity();
}

double share_of(const std::map<std::string, double>& shares, const std::string& tenant) {
    auto it = shares.find(tenant);
    return it == shares.end() ? 1 : it->second;
}

double fair_part(const ShareDemand& ask, double level) {
    return ask.rate <= 0 ? 1 : std::min(1.0, ask.weight * level / ask.rate);
}

ByAge by_age(double part, double old) {
    double young = 1 - old;
    if (part <= young) return {young > 0 ? part / young : 1, 0};
    return {1, old > 0 ? std::min(1.0, (part - young) / old) : 1};
}

void Arrivals::Rate::age(Time now) {
    double left = std::exp(-double((now - at).count()) / kMemory);
    all *= left, old *= left, at = now;
}

void Arrivals::came(const std::string& tenant, bool old, const Settings& s, Time now) {
    auto it = tenants_.find(tenant);
    if (it == tenants_.end() && tenants_.size() >= kMost) {
        for (auto t = tenants_.begin(); t != tenants_.end();) {
            t->second.age(now);
            t = t->second.all < kForgotten ? tenants_.erase(t) : std::next(t);
        }
        it = tenants_.try_emplace(tenants_.size() >= kMost ? kOthers : tenant).first;
    } else if (it == tenants_.end()) {
        it = tenants_.try_emplace(tenant).first;
    }
    Rate& r = it->second;
    r.age(now);
    r.all += 1e6 / kMemory;
    if (old) r.old += 1e6 / kMemory;
    r.weight = share_of(s.shares, tenant);
}

double Arrivals::part(const std::string& tenant, bool old, double part, const Settings& s, Time now) {
    auto it = tenants_.find(tenant);
    if (it == tenants_.end()) it = tenants_.find(kOthers);
    if (it == tenants_.end()) return part;
    if (s.by_tenant) {
        if (level_part_ != part || now - levelled_ >= kLevelKept) {
            std::vector<ShareDemand> demands;
            double all = 0;
            for (auto& [name, r] : tenants_) {
                r.age(now);
                demands.push_back({r.all, r.weight});
                all += r.all;
            }
            level_ = fair_level(std::move(demands), part * all);
            level_part_ = part;
            levelled_ = now;
        }
        part = fair_part({it->second.all, it->second.weight}, level_);
    }
    if (!s.by_age || it->second.all <= 0) return part;
    ByAge a = by_age(part, it->second.old / it->second.all);
    return old ? a.old : a.young;
}

}  // namespace indigovane::site
