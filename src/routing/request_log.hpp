// Writes log lines about requests. Each line names the id that the client gave the request, and the attempt
// and the endpoint if there are any. It tells what was observed and why the request continued or ended. The
// message ids are:
//   attempt             an attempt ended without an answer that is passed on to the client
//   retry               a further attempt of a request is sent
//   stale               the data of an answer was too old
//   disqualified        an attempt was not sent, because its endpoint's data had become too old
//   malformed_response  an answer could not be used
//   ended               this process rejects or fails a request
//   client_left         the client left before its answer, after attempts had been sent
// The logger limits the number of lines per second and message id. Lines above the limit are not formatted.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "routing/interfaces.hpp"
#include "routing/pending_request.hpp"

namespace indigovane::routing {

// The status's name in log lines and statistics.
const char* status_name(policy::AttemptStatus status);
// Takes the place of the status in log lines while an attempt is in flight.
constexpr const char* kInFlight = "in_flight";

class RequestLog {
  public:
    using EndpointUids = std::function<std::string(EndpointId)>;

    // `endpoint_uids` returns the uid of an endpoint.
    RequestLog(Logger& logger, EndpointUids endpoint_uids)
        : logger_(logger), endpoint_uids_(std::move(endpoint_uids)) {}

    void attempt_ended(const PendingRequest& request, const Attempt& attempt, Time now);
    // Must be called before the new attempt is added to the request.
    void retried(const PendingRequest& request, EndpointId endpoint, Time now);
    void stale(const PendingRequest& request, const BackendTask& task, EndpointId endpoint,
               std::int64_t position_unix_ms, Time now);
    void disqualified(const PendingRequest& request, const BackendTask& task, EndpointId endpoint, Time now);
    // `request` is nullptr for a health check and for a request that has been forgotten. `what` is the text
    // of the log line.
    void malformed(const PendingRequest* request, const BackendTask& task, EndpointId endpoint,
                   const char* what);
    // `why` is the text of the log line.
    void ended(const PendingRequest& request, const FinalError& ending, const char* why, Time now);
    void client_left(const PendingRequest& request, Time now);

  private:
    static Logger::Data describe(const PendingRequest& request, Time now);
    Logger::Data describe_with_last_attempt(const PendingRequest& request, Time now) const;

    Logger& logger_;
    EndpointUids endpoint_uids_;
};

}  // namespace indigovane::routing
