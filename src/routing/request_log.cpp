#include "routing/request_log.hpp"

namespace indigovane::routing {

using policy::AttemptStatus;

namespace {
std::string milliseconds(Duration duration) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}
}  // namespace

const char* status_name(AttemptStatus status) {
    switch (status) {
        case AttemptStatus::ok:
            return "ok";
        case AttemptStatus::error:
            return "error";
        case AttemptStatus::rejected:
            return "rejected";
        case AttemptStatus::timeout:
            return "timeout";
        case AttemptStatus::unreachable:
            return "unreachable";
        case AttemptStatus::reset:
            return "reset";
        case AttemptStatus::cancelled:
            return "cancelled";
        case AttemptStatus::not_started:
            return "not_started";
        case AttemptStatus::miss:
            return "miss";
        case AttemptStatus::stale:
            return "stale";
        case AttemptStatus::disqualified:
            return "disqualified";
    }
    return "unknown";
}

Logger::Data RequestLog::describe(const PendingRequest& request, Time now) {
    return {{"request", request.request.id},
            {"class", request.request.class_name},
            {"attempts", std::to_string(request.attempts.size())},
            {"may_have_run", request.may_have_run() ? "yes" : "no"},
            {"age_ms", milliseconds(now - request.arrived)},
            {"remaining_ms", milliseconds(request.deadline - now)}};
}

Logger::Data RequestLog::describe_with_last_attempt(const PendingRequest& request, Time now) const {
    Logger::Data data = describe(request, now);
    if (!request.attempts.empty()) {
        data.push_back({"attempt", std::to_string(request.attempts.size() - 1)});
        data.push_back({"endpoint", endpoint_uids_(request.attempts.back().endpoint)});
    }
    return data;
}

void RequestLog::attempt_ended(const PendingRequest& request, const Attempt& attempt, Time now) {
    if (!logger_.wants("attempt")) return;
    Logger::Data data = describe(request, now);
    data.push_back({"attempt", std::to_string(attempt.task.number)});
    data.push_back({"endpoint", endpoint_uids_(attempt.endpoint)});
    data.push_back({"status", attempt.status ? status_name(*attempt.status) : kInFlight});
    data.push_back({"latency_ms", milliseconds(now - attempt.task.sent)});
    logger_.log(Level::info, "attempt", "an attempt ended without an answer for the client", data);
}

void RequestLog::retried(const PendingRequest& request, EndpointId endpoint, Time now) {
    if (!logger_.wants("retry")) return;
    std::optional<AttemptStatus> previous = request.attempts.back().status;
    Logger::Data data = describe(request, now);
    data.push_back({"attempt", std::to_string(request.attempts.size())});
    data.push_back({"endpoint", endpoint_uids_(endpoint)});
    data.push_back({"previous_status", previous ? status_name(*previous) : kInFlight});
    logger_.log(Level::info, "retry", "a further attempt is sent", data);
}

void RequestLog::stale(const PendingRequest& request, const BackendTask& task, EndpointId endpoint,
                       std::int64_t position_unix_ms, Time now) {
    logger_.log(Level::warning, "stale",
                "an answer was dropped: its data is older than the request's class allows",
                {{"request", request.request.id},
                 {"class", request.request.class_name},
                 {"attempt", std::to_string(task.number)},
                 {"endpoint", endpoint_uids_(endpoint)},
                 {"behind_ms", std::to_string(task.required_position_unix_ms.value_or(0) - position_unix_ms)},
                 {"latency_ms", milliseconds(now - task.sent)}});
}

void RequestLog::disqualified(const PendingRequest& request, const BackendTask& task, EndpointId endpoint,
                              Time now) {
    if (!logger_.wants("disqualified")) return;
    logger_.log(Level::info, "disqualified",
                "an attempt was not sent: its endpoint no longer has what the request requires",
                {{"request", request.request.id},
                 {"class", request.request.class_name},
                 {"attempt", std::to_string(task.number)},
                 {"endpoint", endpoint_uids_(endpoint)},
                 {"waited_ms", milliseconds(now - task.sent)}});
}

void RequestLog::malformed(const PendingRequest* request, const BackendTask& task, EndpointId endpoint,
                           const char* what) {
    Logger::Data data{{"endpoint", endpoint_uids_(endpoint)},
                      {"task", task.is_health_check ? "health_check" : "request"}};
    if (request) {
        data.push_back({"request", request->request.id});
        data.push_back({"attempt", std::to_string(task.number)});
    }
    logger_.log(Level::warning, "malformed_response", what, data);
}

void RequestLog::ended(const PendingRequest& request, const FinalError& ending, const char* why, Time now) {
    if (!logger_.wants("ended")) return;
    Logger::Data data = describe_with_last_attempt(request, now);
    data.push_back({"outcome", ending.kind == FinalError::Kind::rejected ? "rejected" : "failed"});
    logger_.log(Level::info, "ended", why, data);
}

void RequestLog::client_left(const PendingRequest& request, Time now) {
    if (!logger_.wants("client_left")) return;
    logger_.log(Level::info, "client_left", "the client left before its request was answered",
                describe_with_last_attempt(request, now));
}

}  // namespace indigovane::routing
