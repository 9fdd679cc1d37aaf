#include "routing/request_log.hpp"

namespace indigovane::routing {

using policy::AttemptStatus;

namespace {
std::string milliseconds(Duration d) {
    return std::to_string(d.count() / 1000);
}
}  // namespace

const char* status_name(AttemptStatus status) {
    switch (status) {
        case AttemptStatus::ok:
            return "ok";
        case AttemptStatus::error:
            return "error";
        case AttemptStatus::rejected:
            return "full";
        case AttemptStatus::timeout:
            return "timeout";
        case AttemptStatus::unreachable:
            return "unreachable";
        case AttemptStatus::reset:
            return "reset";
        case AttemptStatus::cancelled:
            return "cancelled";
        case AttemptStatus::not_started:
            return "moot";
        case AttemptStatus::miss:
            return "miss";
        case AttemptStatus::stale:
            return "stale";
    }
    return "unknown";
}

Logger::Data RequestLog::describe(const Request& request) {
    return {{"request", request.item.id},
            {"class", request.item.class_name},
            {"attempts", std::to_string(request.attempts)},
            {"may_have_run", request.may_have_run ? "yes" : "no"},
            {"age_ms", milliseconds(request.age)},
            {"left_ms", milliseconds(request.left)}};
}

void RequestLog::attempt_ended(const Request& request, std::uint32_t attempt, const std::string& endpoint,
                               AttemptStatus status, Duration took) {
    if (!logger_.wants("attempt")) return;
    Logger::Data data = describe(request);
    data.push_back({"attempt", std::to_string(attempt)});
    data.push_back({"endpoint", endpoint});
    data.push_back({"status", status_name(status)});
    data.push_back({"took_ms", milliseconds(took)});
    logger_.log(Level::info, "attempt", "an attempt ended without an answer for the client", data);
}

void RequestLog::retried(const Request& request, const std::string& endpoint,
                         std::optional<AttemptStatus> after) {
    if (!logger_.wants("retry")) return;
    Logger::Data data = describe(request);
    data.push_back({"endpoint", endpoint});
    data.push_back({"after", after ? status_name(*after) : "out"});
    logger_.log(Level::info, "retry", "a further attempt is sent", data);
}

void RequestLog::ended(const Request& request, const FinalError& ending, const char* why) {
    if (!logger_.wants("ended")) return;
    Logger::Data data = describe(request);
    data.push_back({"as", ending.kind == FinalError::Kind::refused ? "refused" : "failed"});
    logger_.log(Level::info, "ended", why, data);
}

void RequestLog::withdrawn(const Request& request) {
    if (!logger_.wants("client_left")) return;
    logger_.log(Level::info, "client_left", "the client left before it was answered", describe(request));
}

}  // namespace indigovane::routing
