#include "program/log.hpp"

#include <chrono>
#include <utility>

namespace indigovane::program {

namespace syslog = protocol::syslog;
using routing::Level;

namespace {
constexpr int kLinesPerSecond = 10;  // with one message id
// An enterprise number for examples and documentation (RFC 5612): the project has none of its own.
constexpr const char* kElement = "indigovane@32473";

std::int64_t unix_micros() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
std::int64_t steady_seconds() {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
}  // namespace

Log::Log(std::string name, std::string process, Sink sink)
    : name_(std::move(name)), process_(std::move(process)), sink_(std::move(sink)) {}

// The lines of this second; when a new one begins, what was left out of the one before is told.
Log::Quota& Log::quota(const char* id) {
    Quota& quota = quotas_[id];
    std::int64_t second = steady_seconds();
    if (second == quota.second) return quota;
    if (quota.dropped > 0)
        write(syslog::Severity::notice, "suppressed", "lines were left out",
              {{"of", id}, {"count", std::to_string(quota.dropped)}});
    quota = {second, 0, 0};
    return quota;
}

// Nothing: the lines of this second are used up, and this one is counted as left out.
Log::Quota* Log::room_for(const char* id) {
    Quota& lines = quota(id);
    if (lines.written < kLinesPerSecond) return &lines;
    ++lines.dropped;
    return nullptr;
}

void Log::log(Level level, const char* id, const std::string& text, const Data& data) {
    Quota* lines = room_for(id);
    if (!lines) return;
    ++lines->written;
    auto severity = level == Level::error     ? syslog::Severity::error
                    : level == Level::warning ? syslog::Severity::warning
                    : level == Level::notice  ? syslog::Severity::notice
                                              : syslog::Severity::informational;
    write(severity, id, text, data);
}

void Log::write(syslog::Severity severity, const char* id, const std::string& text, const Data& data) {
    syslog::Message m;
    m.severity = severity;
    m.timestamp = syslog::timestamp(unix_micros());
    m.host = name_;
    m.app = "indigovane";
    m.process = process_;
    m.id = id;
    m.text = text;
    if (!data.empty()) m.data.push_back({kElement, data});
    std::string line = syslog::write(m);
    bool taken = !sink_ || sink_(line);
    if (more_) more_(line);
    if (!taken) ++lost_;
    if (taken && lost_ > 0) tell_lost();
}

// The sink takes lines again, and is told how many it has missed. If it does not take this one, it is told
// later.
void Log::tell_lost() {
    std::uint64_t missed = std::exchange(lost_, 0);
    write(syslog::Severity::warning, "lost", "the log's reader did not take lines",
          {{"count", std::to_string(missed)}});
    if (lost_ > 0) lost_ = missed;
}

}  // namespace indigovane::program
