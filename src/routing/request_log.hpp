// Log lines of a request's life: each names the client's id of the request, the attempt and the endpoint
// where there are any, what was observed and why the request went on or ended. The kinds, by message id:
//   attempt             an attempt came to another end than an answer that is passed on
//   retry               a further attempt of a request is sent
//   stale               an answer's data was too old
//   malformed_response  an answer could not be used
//   ended               a request is rejected or failed by this process
//   client_left         a client left before it was answered, with attempts sent
// The logger limits the lines of each kind in a second; what is over the limit is not even worded.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "routing/interfaces.hpp"
#include "routing/pending_request.hpp"

namespace indigovane::routing {

// As log lines and statistics name it.
const char* status_name(policy::AttemptStatus status);
constexpr const char* kInFlight = "in_flight";  // of an attempt that has no status yet

class RequestLog {
  public:
    using EndpointUids = std::function<std::string(EndpointId)>;

    // `endpoint_uids` names endpoints.
    RequestLog(Logger& logger, EndpointUids endpoint_uids)
        : logger_(logger), endpoint_uids_(std::move(endpoint_uids)) {}

    void attempt_ended(const PendingRequest& request, const Attempt& attempt, Time now);
    // Before the attempt is added to the request.
    void retried(const PendingRequest& request, EndpointId endpoint, Time now);
    void stale(const PendingRequest& request, const BackendTask& task, EndpointId endpoint,
               std::int64_t position_unix_ms, Time now);
    // `request`: none for a health check, and where it is forgotten.
    void malformed(const PendingRequest* request, const BackendTask& task, EndpointId endpoint,
                   const char* what);
    void ended(const PendingRequest& request, const FinalError& ending, const char* why, Time now);
    void client_left(const PendingRequest& request, Time now);

  private:
    static Logger::Data describe(const PendingRequest& request, Time now);
    Logger::Data describe_with_last_attempt(const PendingRequest& request, Time now) const;

    Logger& logger_;
    EndpointUids endpoint_uids_;
};

}  // namespace indigovane::routing
