// The invariants of a request's life, each by itself, by what its attempts are known to have done.
#include "routing/request_guard.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using namespace routing;
using policy::AttemptStatus;
using policy::DeduplicationScope;
using policy::Execution;
using policy::Idempotency;

constexpr Time kSent{Duration(1'000'000)};

Attempt ended(Execution execution, std::uint32_t zone = 0) {
    Attempt attempt;
    attempt.task.sent = kSent;
    attempt.zone = zone;
    attempt.in_flight = false;
    attempt.execution = execution;
    attempt.status = AttemptStatus::error;
    return attempt;
}

std::optional<Invariant> against(const RetryRule& rule, std::vector<Attempt> earlier, Duration later = 10ms,
                                 std::uint32_t zone = 0) {
    return RequestGuard::against_attempt(rule, earlier, zone, 0, kSent + later);
}

const RetryRule kUnsafe{Idempotency::not_idempotent, DeduplicationScope::group, 0ms};
const RetryRule kWithKey{Idempotency::idempotency_key, DeduplicationScope::group, 300ms};
const RetryRule kSafe{Idempotency::idempotent, DeduplicationScope::group, 0ms};

}  // namespace

TEST_CASE("guard: a further attempt goes out only where the class allows it") {
    for (const RetryRule& rule : {kUnsafe, kWithKey, kSafe}) {
        CHECK(!against(rule, {}));
        CHECK(!against(rule, {ended(Execution::never_ran)}, 10s));
        CHECK(against(rule, {Attempt{}}) == Invariant::single_attempt);
    }
    for (Execution execution : {Execution::may_have_run, Execution::ran}) {
        CHECK(against(kUnsafe, {ended(execution)}) == Invariant::retry_if_idempotent);
        CHECK(against(kUnsafe, {ended(execution), ended(Execution::never_ran)}) ==
              Invariant::retry_if_idempotent);
        CHECK(!against(kWithKey, {ended(execution)}, 299ms));
        CHECK(against(kWithKey, {ended(execution)}, 300ms) == Invariant::retry_in_window);
        CHECK(!against(kSafe, {ended(execution)}, 10s));
    }
    const RetryRule zoned{Idempotency::idempotency_key, DeduplicationScope::zone, 300ms};
    CHECK(!against(zoned, {ended(Execution::ran, 1)}, 10ms, 1));
    CHECK(against(zoned, {ended(Execution::ran, 1)}, 10ms, 2) == Invariant::retry_in_scope);
}

TEST_CASE("guard: a rejection promises that nothing ran, or that running again does no harm") {
    const RetryRule anywhere{Idempotency::idempotency_key, DeduplicationScope::all, 300ms};
    for (Execution execution : {Execution::may_have_run, Execution::ran}) {
        std::vector<Attempt> attempts{ended(execution), ended(Execution::never_ran)};
        CHECK(!RequestGuard::is_rejection_harmless(kUnsafe, attempts));
        CHECK(!RequestGuard::is_rejection_harmless(kWithKey, attempts));
        CHECK(RequestGuard::is_rejection_harmless(anywhere, attempts));
        CHECK(RequestGuard::is_rejection_harmless(kSafe, attempts));
    }
    std::vector<Attempt> none{ended(Execution::never_ran)};
    std::vector<Attempt> in_flight{Attempt{}};
    CHECK(RequestGuard::is_rejection_harmless(kUnsafe, none));
    CHECK(!RequestGuard::is_rejection_harmless(kUnsafe, in_flight));
}

TEST_CASE("guard: settings that are missing mean the strictest") {
    policy::Settings none;
    none.classes.emplace_back();
    for (auto request_class : {ClassId{0}, ClassId{1}, kNoClass}) {
        RetryRule rule = RetryRule::of(none, request_class);
        CHECK(rule.idempotency == Idempotency::not_idempotent);
        CHECK(rule.window == Duration::zero());
    }
}

TEST_CASE("guard: violations are counted and name their request") {
    struct Lines : Logger {
        void log(Level, const char*, const std::string&, const Data& d) override { data = d; }
        Data data;
    } lines;
    RequestGuard guard(lines, [](EndpointId) { return std::string("s-1"); });
    std::vector<Attempt> twice{ended(Execution::ran), ended(Execution::ran)};
    CHECK(RequestGuard::has_run_twice(kUnsafe, twice));
    CHECK(!RequestGuard::has_run_twice(kSafe, twice));
    ClientRequest request;
    request.id = "00000000000000a1";
    guard.violated(Invariant::single_execution, request, twice);
    CHECK(guard.violations()[std::size_t(Invariant::single_execution)] == 1);
    CHECK(lines.data[0].second == "single_execution");
    CHECK(lines.data[1].second == request.id);
}

namespace {

PendingRequest pending_after(Execution execution) {
    PendingRequest pending;
    pending.retry_rule = kUnsafe;
    pending.deadline = kSent + 1s;
    pending.attempts = {ended(execution)};
    return pending;
}

struct CountedGuard {
    NullLogger logger;
    RequestGuard guard{logger, [](EndpointId) { return std::string(); }};
    std::uint64_t count(Invariant invariant) const { return guard.violations()[std::size_t(invariant)]; }
};

}  // namespace

TEST_CASE("guard: what is held back is counted, what is admitted is not") {
    CountedGuard counted;
    RequestGuard& guard = counted.guard;

    CHECK(guard.admits_first_byte(pending_after(Execution::never_ran), 1, 0, 0, kSent));
    CHECK(guard.admits_rejection(pending_after(Execution::never_ran)));
    for (std::uint64_t count : guard.violations()) CHECK(count == 0);

    CHECK(!guard.admits_first_byte(pending_after(Execution::may_have_run), 1, 0, 0, kSent));
    CHECK(!guard.admits_rejection(pending_after(Execution::may_have_run)));
    CHECK(counted.count(Invariant::retry_if_idempotent) == 1);
    CHECK(counted.count(Invariant::harmless_rejection) == 1);
}

TEST_CASE("guard: late answers and closes with an answer owed are counted") {
    CountedGuard counted;
    PendingRequest pending = pending_after(Execution::never_ran);

    counted.guard.check_answer(pending, pending.deadline + 500ms);
    CHECK(counted.count(Invariant::response_in_time) == 0);
    counted.guard.check_answer(pending, pending.deadline + 501ms);
    CHECK(counted.count(Invariant::response_in_time) == 1);

    counted.guard.check_close(pending);
    CHECK(counted.count(Invariant::response_before_close) == 1);
    pending.response_started = true;
    counted.guard.check_close(pending);
    CHECK(counted.count(Invariant::response_before_close) == 1);
}

}  // namespace indigovane::testing
