#include "routing/request_guard.hpp"

#include <algorithm>

#include "routing/request_log.hpp"

namespace indigovane::routing {

using policy::DeduplicationScope;
using policy::Execution;
using policy::Idempotency;

namespace {
// An answer so long after its time is no answer any more; before that it is merely worth nothing.
constexpr Duration kLateGrace = std::chrono::milliseconds(500);
}  // namespace

const char* invariant_name(Invariant invariant) {
    switch (invariant) {
        case Invariant::single_attempt:
            return "single_attempt";
        case Invariant::repeat_by_effect:
            return "repeat_by_effect";
        case Invariant::repeat_in_scope:
            return "repeat_in_scope";
        case Invariant::repeat_in_window:
            return "repeat_in_window";
        case Invariant::harmless_refusal:
            return "harmless_refusal";
        case Invariant::ran_once:
            return "ran_once";
        case Invariant::answer_in_time:
            return "answer_in_time";
        case Invariant::answer_before_close:
            return "answer_before_close";
    }
    return "unknown";
}

RetryRule RetryRule::of(const policy::Settings& settings, ClassId request_class) {
    RetryRule rule;
    if (std::size_t(request_class) >= settings.classes.size()) return rule;
    const policy::ClassSettings& c = settings.classes[std::size_t(request_class)];
    rule.idempotency = c.idempotency.value_or(rule.idempotency);
    rule.scope = c.deduplication_scope.value_or(rule.scope);
    rule.window = c.deduplication_window.value_or(rule.window);
    return rule;
}

std::optional<Invariant> RequestGuard::against_attempt(const RetryRule& rule,
                                                       std::span<const Attempt> earlier, std::uint32_t zone,
                                                       std::uint32_t group, Time now) {
    if (std::ranges::any_of(earlier, &Attempt::out)) return Invariant::single_attempt;
    auto first = std::ranges::find_if(earlier, &Attempt::may_have_run);
    if (first == earlier.end() || rule.idempotency == Idempotency::idempotent) return std::nullopt;
    if (rule.idempotency == Idempotency::not_idempotent) return Invariant::repeat_by_effect;
    if (now >= first->task.sent + rule.window) return Invariant::repeat_in_window;
    bool in_scope = rule.scope == DeduplicationScope::all ||
                    (rule.scope == DeduplicationScope::zone ? zone == first->zone : group == first->group);
    return in_scope ? std::nullopt : std::optional(Invariant::repeat_in_scope);
}

bool RequestGuard::refusal_is_harmless(const RetryRule& rule, std::span<const Attempt> attempts) {
    if (rule.idempotency == Idempotency::idempotent) return true;
    if (rule.idempotency == Idempotency::idempotency_key && rule.scope == DeduplicationScope::all)
        return true;
    return std::ranges::none_of(attempts, &Attempt::may_have_run);
}

bool RequestGuard::ran_twice(const RetryRule& rule, std::span<const Attempt> attempts) {
    if (rule.idempotency != Idempotency::not_idempotent) return false;
    return std::ranges::count(attempts, Execution::ran, &Attempt::execution) > 1;
}

bool RequestGuard::answered_late(Time deadline, Time now) {
    return now > deadline + kLateGrace;
}

void RequestGuard::violated(Invariant invariant, const ClientRequest& item,
                            std::span<const Attempt> attempts) {
    ++violations_[std::size_t(invariant)];
    std::string known;
    for (const Attempt& a : attempts) {
        if (!known.empty()) known += ',';
        known += a.status ? status_name(*a.status) : "out";
    }
    logger_.log(Level::error, "invariant", "an invariant of requests was broken, or would have been",
                {{"invariant", invariant_name(invariant)},
                 {"request", item.id},
                 {"class", item.class_name},
                 {"attempts", known}});
}

}  // namespace indigovane::routing
