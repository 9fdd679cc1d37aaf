#include "program/log.hpp"

#include <chrono>
#include <utility>

namespace indigovane::program {

namespace syslog = protocol::syslog;
using routing::Level;

namespace {

constexpr int kLinesPerSecond = 10;  // for each message id
// The structured data's name. Its enterprise number is the one for examples and documentation (RFC 5612),
// because the project has no number of its own.
constexpr const char* kElement = "indigovane@32473";

std::int64_t unix_microseconds() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::int64_t steady_seconds() {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

syslog::Severity severity_of(Level level) {
    switch (level) {
        case Level::error:
            return syslog::Severity::error;
        case Level::warning:
            return syslog::Severity::warning;
        case Level::notice:
            return syslog::Severity::notice;
        case Level::info:
            break;
    }
    return syslog::Severity::informational;
}

}  // namespace

Log::Log(std::string name, std::string process, Sink sink)
    : name_(std::move(name)), process_(std::move(process)), sink_(std::move(sink)) {}

// Returns the message id's quota. When a new second has begun, the lines dropped before are reported first.
Log::Quota& Log::current_quota(const char* id) {
    Quota& quota = quotas_[id];
    std::int64_t second = steady_seconds();
    if (second == quota.second) return quota;
    if (quota.dropped > 0)
        write(syslog::Severity::notice, "suppressed", "lines were dropped: too many in one second",
              {{"of", id}, {"count", std::to_string(quota.dropped)}});
    quota = {second, 0, 0};
    return quota;
}

// Returns a null pointer, and counts the line as dropped, if the quota of this second is used up.
Log::Quota* Log::available_quota(const char* id) {
    Quota& quota = current_quota(id);
    if (quota.written < kLinesPerSecond) return &quota;
    ++quota.dropped;
    return nullptr;
}

void Log::log(Level level, const char* id, const std::string& text, const Data& data) {
    Quota* quota = available_quota(id);
    if (!quota) return;
    ++quota->written;
    write(severity_of(level), id, text, data);
}

void Log::write(syslog::Severity severity, const char* id, const std::string& text, const Data& data) {
    syslog::Message message;
    message.severity = severity;
    message.timestamp = syslog::timestamp(unix_microseconds());
    message.host = name_;
    message.app = "indigovane";
    message.process = process_;
    message.id = id;
    message.text = text;
    if (!data.empty()) message.data.push_back({kElement, data});
    std::string line = syslog::write(message);
    bool accepted = !sink_ || sink_(line);
    if (second_sink_) second_sink_(line);
    if (!accepted) ++lost_lines_;
    if (accepted && lost_lines_ > 0) report_lost_lines();
}

// Reports the number of lost lines once the sink accepts lines again. If the sink loses the report, too, the
// number is reported later.
void Log::report_lost_lines() {
    std::uint64_t missed = std::exchange(lost_lines_, 0);
    write(syslog::Severity::warning, "lost", "lines were lost: the log's reader did not accept them",
          {{"count", std::to_string(missed)}});
    if (lost_lines_ > 0) lost_lines_ = missed;
}

}  // namespace indigovane::program
