#include "routing/request_guard.hpp"

#include <algorithm>

#include "routing/request_log.hpp"

namespace indigovane::routing {

using policy::DeduplicationScope;
using policy::Execution;
using policy::Idempotency;

namespace {
// The event loop may be blocked briefly at a deadline. An answer that is later than this is a fault.
constexpr Duration kLateGrace = std::chrono::milliseconds(500);
}  // namespace

const char* invariant_name(Invariant invariant) {
    switch (invariant) {
        case Invariant::single_attempt:
            return "single_attempt";
        case Invariant::retry_if_idempotent:
            return "retry_if_idempotent";
        case Invariant::retry_in_scope:
            return "retry_in_scope";
        case Invariant::retry_in_window:
            return "retry_in_window";
        case Invariant::harmless_rejection:
            return "harmless_rejection";
        case Invariant::single_execution:
            return "single_execution";
        case Invariant::response_in_time:
            return "response_in_time";
        case Invariant::response_before_close:
            return "response_before_close";
    }
    return "unknown";
}

std::optional<Invariant> RequestGuard::invariant_against_attempt(const RetryRule& rule,
                                                                 std::span<const Attempt> earlier,
                                                                 std::uint32_t zone, std::uint32_t group,
                                                                 Time now) {
    if (std::ranges::any_of(earlier, &Attempt::in_flight)) return Invariant::single_attempt;
    auto first = std::ranges::find_if(earlier, &Attempt::may_have_run);
    if (first == earlier.end() || rule.idempotency == Idempotency::idempotent) return std::nullopt;
    if (rule.idempotency == Idempotency::not_idempotent) return Invariant::retry_if_idempotent;
    if (now >= first->task.sent + rule.window) return Invariant::retry_in_window;
    bool is_in_scope = rule.scope == DeduplicationScope::all ||
                       (rule.scope == DeduplicationScope::zone ? zone == first->zone : group == first->group);
    return is_in_scope ? std::nullopt : std::optional(Invariant::retry_in_scope);
}

bool RequestGuard::is_rejection_harmless(const RetryRule& rule, std::span<const Attempt> attempts) {
    if (rule.idempotency == Idempotency::idempotent) return true;
    if (rule.idempotency == Idempotency::idempotency_key && rule.scope == DeduplicationScope::all)
        return true;
    return std::ranges::none_of(attempts, &Attempt::may_have_run);
}

bool RequestGuard::has_run_twice(const RetryRule& rule, std::span<const Attempt> attempts) {
    if (rule.idempotency != Idempotency::not_idempotent) return false;
    return std::ranges::count(attempts, Execution::ran, &Attempt::execution) > 1;
}

bool RequestGuard::is_answer_late(Time deadline, Time now) {
    return now > deadline + kLateGrace;
}

bool RequestGuard::admits_first_byte(const PendingRequest& request, std::uint32_t attempt, std::uint32_t zone,
                                     std::uint32_t group, Time now) {
    std::span<const Attempt> earlier(request.attempts.data(), attempt);
    std::optional<Invariant> invariant =
        invariant_against_attempt(request.retry_rule, earlier, zone, group, now);
    if (invariant) record_violation(*invariant, request);
    return !invariant;
}

bool RequestGuard::admits_rejection(const PendingRequest& request) {
    bool is_harmless = is_rejection_harmless(request.retry_rule, request.attempts);
    if (!is_harmless) record_violation(Invariant::harmless_rejection, request);
    return is_harmless;
}

void RequestGuard::check_answer(const PendingRequest& request, Time now) {
    if (is_answer_late(request.deadline, now)) record_violation(Invariant::response_in_time, request);
}

void RequestGuard::check_executions(const PendingRequest& request) {
    if (has_run_twice(request.retry_rule, request.attempts))
        record_violation(Invariant::single_execution, request);
}

void RequestGuard::check_close(const PendingRequest& request) {
    if (!request.response_started) record_violation(Invariant::response_before_close, request);
}

void RequestGuard::record_violation(Invariant invariant, const ClientRequest& request,
                                    std::span<const Attempt> attempts) {
    ++violations_[std::size_t(invariant)];
    std::string statuses;
    for (const Attempt& attempt : attempts) {
        if (!statuses.empty()) statuses += ',';
        statuses += attempt.status ? status_name(*attempt.status) : kInFlight;
    }
    Logger::Data data{{"invariant", invariant_name(invariant)},
                      {"request", request.id},
                      {"class", request.class_name},
                      {"attempt_statuses", statuses}};
    if (!attempts.empty()) {
        data.push_back({"attempt", std::to_string(attempts.size() - 1)});
        data.push_back({"endpoint", endpoint_uids_(attempts.back().endpoint)});
    }
    logger_.log(Level::error, "invariant",
                "a request violated an invariant, or was stopped from violating one", data);
}

}  // namespace indigovane::routing
