// Log lines: RFC 5424 with structured data, a limited number a second of each message id.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "protocol/syslog.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::program {

// Not synchronized: belongs to the loop's thread.
class Log : public routing::Logger {
  public:
    // False: the line is lost.
    using Sink = std::function<bool(const std::string& line)>;
    using SecondSink = std::function<void(const std::string& line)>;

    // `name` and `process` are the host and process fields of each line.
    Log(std::string name, std::string process, Sink sink);
    virtual ~Log() = default;
    // Gets all lines as well, until another takes its place; empty: none.
    void set_second_sink(SecondSink sink) { second_sink_ = std::move(sink); }
    void log(routing::Level level, const char* id, const std::string& text, const Data& data) override;
    bool wants(const char* id) override { return available_quota(id) != nullptr; }

  private:
    struct Quota {
        std::int64_t second = 0;  // of the steady clock: a step of the wall clock changes no limit
        int written = 0;
        int dropped = 0;
    };
    void report_lost_lines();
    Quota& current_quota(const char* id);
    Quota* available_quota(const char* id);
    void write(protocol::syslog::Severity severity, const char* id, const std::string& text,
               const Data& data);

    std::string name_;
    std::string process_;
    Sink sink_;
    SecondSink second_sink_;
    std::uint64_t lost_lines_ = 0;         // that the sink did not accept, not yet reported
    std::map<std::string, Quota> quotas_;  // by message id
};

}  // namespace indigovane::program
