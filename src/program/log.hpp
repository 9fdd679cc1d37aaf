// Log lines: RFC 5424 with structured data, on standard output, a limited number in a second.
#pragma once

#include <map>
#include <string>

#include "protocol/syslog.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::program {

class Log : public routing::Logger {
  public:
    using Sink = std::function<void(const std::string& line)>;

    Log(std::string name, std::string process, Sink sink);
    void also(Sink sink) { more_ = std::move(sink); }
    void log(routing::Level level, const char* id, const std::string& text, const Data& data) override;

  private:
    struct Quota {
        std::int64_t second = 0;
        int written = 0, dropped = 0;
    };
    void write(protocol::syslog::Severity severity, const char* id, const std::string& text,
               const Data& data);

    std::string host_, name_, process_;
    Sink sink_, more_;
    std::map<std::string, Quota> quotas_;  // by message id
};

}  // namespace indigovane::program
