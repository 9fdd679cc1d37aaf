#include "lab/fleet_summary.hpp"

#include <algorithm>
#include <cstdio>

namespace indigovane::lab {

std::uint32_t FleetSummary::latency(double quantile) const {
    if (latency_us.empty()) return 0;
    return latency_us[std::min(latency_us.size() - 1, std::size_t(quantile * double(latency_us.size())))];
}

double FleetSummary::served_between(double from_s, double to_s) const {
    double offered = 0, served = 0;
    for (auto second = std::size_t(from_s); second < std::min(windows.size(), std::size_t(to_s)); ++second) {
        offered += windows[second].weight_offered;
        served += windows[second].weight_served;
    }
    return offered > 0 ? served / offered : 1;
}

double FleetSummary::seconds_until(double at_s, double share) const {
    for (auto second = std::size_t(at_s); second + 2 < windows.size(); ++second) {
        auto from = double(second);
        if (served_between(from, from + 1) >= share && served_between(from, from + 3) >= share)
            return from - at_s;
    }
    return -1;
}

std::string FleetSummary::text() const {
    using Count = unsigned long long;
    char line[512];
    std::snprintf(line, sizeof line,
                  "requests %llu served %llu late %llu refused %llu failed %llu attempts %llu probes %llu "
                  "connects %llu "
                  "goodput %.6f p50 %u p99 %u p999 %u events %llu checks %llu breaches %zu cut %d\n",
                  static_cast<Count>(requests), static_cast<Count>(served), static_cast<Count>(late),
                  static_cast<Count>(rejected), static_cast<Count>(failed), static_cast<Count>(attempts),
                  static_cast<Count>(health_checks), static_cast<Count>(connects), goodput(), latency(0.5),
                  latency(0.99), latency(0.999), static_cast<Count>(events), static_cast<Count>(checks),
                  breaches.size(), int(was_cut_short));
    std::string out = line;
    for (const Window& window : windows) {
        std::snprintf(line, sizeof line, "%.3f %.3f\n", window.weight_offered, window.weight_served);
        out += line;
    }
    for (const Auditor::Breach& breach : breaches) out += breach.rule + ": " + breach.description + "\n";
    return out;
}

}  // namespace indigovane::lab
