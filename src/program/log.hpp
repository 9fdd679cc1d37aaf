// Log lines: RFC 5424 with structured data, on standard output, a limited number in a second.
#pragma once

#include <map>
#include <string>

#include "protocol/syslog.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::program {

class Log : public routing::Logger {
  public:
    using Sink = std::function<bool(const std::string& line)>;  // false: the line is lost

    Log(std::string name, std::string process, Sink sink);
    virtual ~Log() = default;
    void also(std::function<void(const std::string& line)> sink) { more_ = std::move(sink); }
    void log(routing::Level level, const char* id, const std::string& text, const Data& data) override;
    bool wants(const char* id) override { return room_for(id) != nullptr; }

  private:
    struct Quota {
        std::int64_t second = 0;  // of the steady clock: a step of the wall clock changes no limit
        int written = 0, dropped = 0;
    };
    void tell_lost();
    Quota& quota(const char* id);
    Quota* room_for(const char* id);
    void write(protocol::syslog::Severity severity, const char* id, const std::string& text,
               const Data& data);

    std::string name_, process_;
    Sink sink_;
    std::function<void(const std::string& line)> more_;
    std::uint64_t lost_ = 0;               // lines that the sink did not take, not yet told
    std::map<std::string, Quota> quotas_;  // by message id
};

}  // namespace indigovane::program
