#include "routing/request_guard.hpp"

#include <algorithm>

#include "routing/request_log.hpp"

namespace indigovane::routing {

using starlingpond::Effect;
using starlingpond::Execution;
using starlingpond::RepeatScope;

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

RepeatRule RepeatRule::of(const starlingpond::Settings& settings, ClassId cls) {
    RepeatRule rule;
    if (std::size_t(cls) >= settings.classes.size()) return rule;
    const starlingpond::ClassSettings& c = settings.classes[std::size_t(cls)];
    rule.effect = c.effect.value_or(rule.effect);
    rule.scope = c.repeat_scope.value_or(rule.scope);
    rule.window = c.repeat_window.value_or(rule.window);
    return rule;
}

std::optional<Invariant> RequestGuard::against_attempt(const RepeatRule& rule,
                                                       std::span<const Attempt> earlier, std::uint32_t zone,
                                                       std::uint32_t group, Time now) {
    if (std::ranges::any_of(earlier, &Attempt::out)) return Invariant::single_attempt;
    auto first = std::ranges::find_if(earlier, &Attempt::may_have_run);
    if (first == earlier.end() || rule.effect == Effect::safe) return std::nullopt;
    if (rule.effect == Effect::unsafe) return Invariant::repeat_by_effect;
    if (now >= first->job.sent + rule.window) return Invariant::repeat_in_window;
    bool in_scope = rule.scope == RepeatScope::all ||
                    (rule.scope == RepeatScope::zone ? zone == first->zone : group == first->group);
    return in_scope ? std::nullopt : std::optional(Invariant::repeat_in_scope);
}

bool RequestGuard::refusal_is_harmless(const RepeatRule& rule, std::span<const Attempt> attempts) {
    if (rule.effect == Effect::safe) return true;
    if (rule.effect == Effect::keyed && rule.scope == RepeatScope::all) return true;
    return std::ranges::none_of(attempts, &Attempt::may_have_run);
}

bool RequestGuard::ran_twice(const RepeatRule& rule, std::span<const Attempt> attempts) {
    if (rule.effect != Effect::unsafe) return false;
    return std::ranges::count(attempts, Execution::ran, &Attempt::execution) > 1;
}

bool RequestGuard::answered_late(Time deadline, Time now) {
    return now > deadline + kLateGrace;
}

void RequestGuard::violated(Invariant invariant, const Item& item, std::span<const Attempt> attempts) {
    ++violations_[std::size_t(invariant)];
    std::string known;
    for (const Attempt& a : attempts) {
        if (!known.empty()) known += ',';
        known += a.status ? status_name(*a.status) : "out";
    }
    logger_.log(Level::error, "guard", "an invariant of requests was broken, or would have been",
                {{"invariant", invariant_name(invariant)},
                 {"request", item.id},
                 {"class", item.class_name},
                 {"attempts", known}});
}

}  // namespace indigovane::routing
