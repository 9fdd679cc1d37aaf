#include "adapters/pg_load_report.hpp"

#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>

namespace indigovane::adapters {

namespace {

constexpr double kMaxPositionSeconds = 9e9;  // Unix time
constexpr double kMicrosPerSecond = 1e6;

std::optional<double> to_number(std::string_view text) {
    double value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

}  // namespace

void read_load_report(std::string_view text, routing::AttemptResult& result) {
    routing::AttemptResult reported;
    while (!text.empty()) {
        std::size_t comma = text.find(',');
        std::string_view pair = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
        while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
        std::size_t equals = pair.find('=');
        if (equals == std::string_view::npos) return;
        std::string_view name = pair.substr(0, equals);
        auto value = to_number(pair.substr(equals + 1));
        if (!value) return;
        if (name == "x0") {  // in seconds, unlike all other positions
            if (std::fabs(*value) > kMaxPositionSeconds) return;
            reported.report_position_unix_us = std::int64_t(std::floor(*value * kMicrosPerSecond));
        }
        if (name == "x1") {
            if (*value != 0 && *value != 1) return;
            reported.report.primary = *value == 1;
        }
        if (name == "inflight" || name == "concurrent") reported.report.in_flight = *value;
        if (name == "queue" || name == "depth") reported.report.queued = *value;
        if (name == "util" || name == "load_share") reported.report.cpu_utilization = *value;
    }
    result.report = reported.report;
    result.report_position_unix_us = reported.report_position_unix_us;
}

}  // namespace indigovane::adapters
