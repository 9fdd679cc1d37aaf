// The operators' log: lines in the format of RFC 5424 with structured data. The number of lines a second is
// limited for each message id.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "protocol/syslog.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::program {

// Not synchronized: use it on the event loop's thread only.
class Log : public routing::Logger {
  public:
    // Writes a line. Returns false if the line is lost.
    using Sink = std::function<bool(const std::string& line)>;
    using SecondSink = std::function<void(const std::string& line)>;

    // `name` is the host field and `process` the process field of each line.
    Log(std::string name, std::string process, Sink sink);
    virtual ~Log() = default;
    // Sets a further sink that gets all lines. An empty function removes it.
    void set_second_sink(SecondSink sink) { second_sink_ = std::move(sink); }
    void log(routing::Level level, const char* id, const std::string& text, const Data& data) override;
    bool wants(const char* id) override { return available_quota(id) != nullptr; }

  private:
    struct Quota {
        // The second of the steady clock that is counted: steps of the wall clock don't affect the limit.
        std::int64_t second = 0;
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
    std::uint64_t lost_lines_ = 0;         // not accepted by the sink and not yet reported
    std::map<std::string, Quota> quotas_;  // by message id
};

}  // namespace indigovane::program
