// The invariants of a request's life. Every send, start, final answer and close of a request goes through
// here, whatever the decision module, a timer or a shutdown has asked for. What would break an invariant is
// held back; what can only be seen afterwards is counted. The rules are those of the protocol
// (docs/acceptance.md) and go by what each attempt is known to have done, not by what another layer made of
// it.
//
// No I/O and no clock: the time is handed in.
#pragma once

#include <array>
#include <optional>
#include <span>

#include "routing/attempt.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::routing {

enum class Invariant {
    single_attempt,       // no two attempts of a request are out at once
    repeat_by_effect,     // what may have run goes out again only if its class allows repeats at all
    repeat_in_scope,      // ... and only to members that drop the repeat
    repeat_in_window,     // ... and only while they do
    harmless_refusal,     // a refusal promises that asking again is harmless
    ran_once,             // observed: two members have run what may run once
    answer_in_time,       // observed: the final answer came long after its time
    answer_before_close,  // observed: this process closed a connection on which an answer was owed
};
constexpr std::size_t kInvariants = 8;
const char* invariant_name(Invariant invariant);

// What a class promises, as the settings had it when the request came. What they leave out means the
// strictest.
struct RetryRule {
    policy::Idempotency idempotency = policy::Idempotency::not_idempotent;
    policy::DeduplicationScope scope = policy::DeduplicationScope::group;
    Duration window{};

    static RetryRule of(const policy::Settings& settings, ClassId request_class);
};

class RequestGuard {
  public:
    explicit RequestGuard(Logger& logger) : logger_(logger) {}

    // The invariant that another attempt at that member would break now, if any. `earlier`: all attempts
    // before it.
    static std::optional<Invariant> against_attempt(const RetryRule& rule, std::span<const Attempt> earlier,
                                                    std::uint32_t zone, std::uint32_t group, Time now);
    static bool refusal_is_harmless(const RetryRule& rule, std::span<const Attempt> attempts);
    static bool ran_twice(const RetryRule& rule, std::span<const Attempt> attempts);
    static bool answered_late(Time deadline, Time now);

    // Counts a violation, prevented or observed, and tells the operators which request it was.
    void violated(Invariant invariant, const ClientRequest& item, std::span<const Attempt> attempts);

    using Counts = std::array<std::uint64_t, kInvariants>;
    const Counts& violations() const { return violations_; }

  private:
    Logger& logger_;
    Counts violations_{};
};

}  // namespace indigovane::routing
