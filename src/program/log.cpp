#include "program/log.hpp"

#include <chrono>
#include <utility>

namespace indigovane::program {

namespace syslog = protocol::syslog;
using routing::Level;

namespace {

constexpr int kLinesPerSecond = 10;  // of one message id
// An enterprise number for examples and documentation (RFC 5612): the project has none of its own.
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

// When a new second begins, the lines dropped in the one before are reported.
Log::Quota& Log::current_quota(const char* id) {
    Quota& quota = quotas_[id];
    std::int64_t second = steady_seconds();
    if (second == quota.second) return quota;
    if (quota.dropped > 0)
        write(syslog::Severity::notice, "suppressed", "lines were left out",
              {{"of", id}, {"count", std::to_string(quota.dropped)}});
    quota = {second, 0, 0};
    return quota;
}

// Nothing: this second's lines are used up, and this one counts as dropped.
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

// The sink accepts lines again, and gets the number of those that it has missed. If it does not accept this
// line, it gets it later.
void Log::report_lost_lines() {
    std::uint64_t missed = std::exchange(lost_lines_, 0);
    write(syslog::Severity::warning, "lost", "the log's reader did not take lines",
          {{"count", std::to_string(missed)}});
    if (lost_lines_ > 0) lost_lines_ = missed;
}

}  // namespace indigovane::program
