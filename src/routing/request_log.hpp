// Log lines of a request's life: each names the client's id of the request, the attempt, the host, what was
// observed and why the request went on or ended. The kinds, by message id:
//   attempt    an attempt came to another end than an answer that is passed on
//   retry      a further attempt of a request is sent
//   ended      a request is refused or failed by this process
//   withdrawn  a client left before it was answered, with attempts out
// The logger limits the lines of each kind in a second; what is over the limit is not even worded.
#pragma once

#include <optional>
#include <string>

#include "routing/interfaces.hpp"

namespace indigovane::routing {

const char* status_name(policy::AttemptStatus status);

class RequestLog {
  public:
    explicit RequestLog(Logger& logger) : logger_(logger) {}

    // What all lines say of the request.
    struct Request {
        const ClientRequest& item;
        std::size_t attempts;  // sent so far
        Duration age;          // since it was taken in
        Duration left;         // until its deadline
        bool may_have_run;     // one of its attempts
    };

    void attempt_ended(const Request& request, std::uint32_t attempt, const std::string& endpoint,
                       policy::AttemptStatus status, Duration took);
    void retried(const Request& request, const std::string& endpoint,
                 std::optional<policy::AttemptStatus> after);
    void ended(const Request& request, const FinalError& ending, const char* why);
    void withdrawn(const Request& request);

  private:
    static Logger::Data describe(const Request& request);

    Logger& logger_;
};

}  // namespace indigovane::routing
