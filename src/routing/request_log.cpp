#include "routing/request_log.hpp"

namespace indigovane::routing {

using starlingpond::Status;

namespace {
std::string milliseconds(Duration d) {
    return std::to_string(d.count() / 1000);
}
}  // namespace

const char* status_name(Status status) {
    switch (status) {
        case Status::ok:
            return "ok";
        case Status::error:
            return "error";
        case Status::full:
            return "full";
        case Status::timeout:
            return "timeout";
        case Status::unreachable:
            return "unreachable";
        case Status::reset:
            return "reset";
        case Status::cancelled:
            return "cancelled";
        case Status::moot:
            return "moot";
        case Status::miss:
            return "miss";
        case Status::stale:
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

void RequestLog::attempt_ended(const Request& request, std::uint32_t attempt, const std::string& member,
                               Status status, Duration took) {
    if (!logger_.wants("attempt")) return;
    Logger::Data data = describe(request);
    data.push_back({"attempt", std::to_string(attempt)});
    data.push_back({"member", member});
    data.push_back({"status", status_name(status)});
    data.push_back({"took_ms", milliseconds(took)});
    logger_.log(Level::info, "attempt", "an attempt ended without an answer for the client", data);
}

void RequestLog::retried(const Request& request, const std::string& member, std::optional<Status> after) {
    if (!logger_.wants("retry")) return;
    Logger::Data data = describe(request);
    data.push_back({"member", member});
    data.push_back({"after", after ? status_name(*after) : "out"});
    logger_.log(Level::info, "retry", "a further attempt is sent", data);
}

void RequestLog::ended(const Request& request, const Ending& ending, const char* why) {
    if (!logger_.wants("ended")) return;
    Logger::Data data = describe(request);
    data.push_back({"as", ending.kind == Ending::Kind::refused ? "refused" : "failed"});
    logger_.log(Level::info, "ended", why, data);
}

void RequestLog::withdrawn(const Request& request) {
    if (!logger_.wants("withdrawn")) return;
    logger_.log(Level::info, "withdrawn", "the client left before it was answered", describe(request));
}

}  // namespace indigovane::routing
