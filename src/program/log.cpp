#include "program/log.hpp"

#include <chrono>

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
}  // namespace

Log::Log(std::string name, std::string process, Sink sink)
    : name_(std::move(name)), process_(std::move(process)), sink_(std::move(sink)) {}

void Log::log(Level level, const char* id, const std::string& text, const Data& data) {
    Quota& quota = quotas_[id];
    std::int64_t second = unix_micros() / 1000000;
    if (second != quota.second) {
        if (quota.dropped > 0)
            write(syslog::Severity::notice, "suppressed", std::string("lines were left out"),
                  {{"of", id}, {"count", std::to_string(quota.dropped)}});
        quota = {second, 0, 0};
    }
    if (quota.written >= kLinesPerSecond) {
        ++quota.dropped;
        return;
    }
    ++quota.written;
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
    if (sink_) sink_(line);
    if (more_) more_(line);
}

}  // namespace indigovane::program
