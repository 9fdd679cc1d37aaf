// Each invariant of RequestGuard by itself, checked against what the attempts of a request are known to have
// done.
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

std::optional<Invariant> invariant_against(const RetryRule& rule, std::vector<Attempt> earlier,
                                           Duration delay = 10ms, std::uint32_t zone = 0) {
    return RequestGuard::invariant_against_attempt(rule, earlier, zone, 0, kSent + delay);
}

const RetryRule kNotIdempotent{Idempotency::not_idempotent, DeduplicationScope::group, 0ms};
const RetryRule kIdempotencyKey{Idempotency::idempotency_key, DeduplicationScope::group, 300ms};
const RetryRule kIdempotent{Idempotency::idempotent, DeduplicationScope::group, 0ms};

}  // namespace

TEST_CASE("guard: a further attempt is allowed only as the rule of the class permits") {
    for (const RetryRule& rule : {kNotIdempotent, kIdempotencyKey, kIdempotent}) {
        CHECK(!invariant_against(rule, {}));
        CHECK(!invariant_against(rule, {ended(Execution::never_ran)}, 10s));
        CHECK(invariant_against(rule, {Attempt{}}) == Invariant::single_attempt);
    }
    for (Execution execution : {Execution::may_have_run, Execution::ran}) {
        CHECK(invariant_against(kNotIdempotent, {ended(execution)}) == Invariant::retry_if_idempotent);
        CHECK(invariant_against(kNotIdempotent, {ended(execution), ended(Execution::never_ran)}) ==
              Invariant::retry_if_idempotent);
        CHECK(!invariant_against(kIdempotencyKey, {ended(execution)}, 299ms));
        CHECK(invariant_against(kIdempotencyKey, {ended(execution)}, 300ms) == Invariant::retry_in_window);
        CHECK(!invariant_against(kIdempotent, {ended(execution)}, 10s));
    }
    const RetryRule zone_rule{Idempotency::idempotency_key, DeduplicationScope::zone, 300ms};
    CHECK(!invariant_against(zone_rule, {ended(Execution::ran, 1)}, 10ms, 1));
    CHECK(invariant_against(zone_rule, {ended(Execution::ran, 1)}, 10ms, 2) == Invariant::retry_in_scope);
}

TEST_CASE("guard: a rejection is harmless if nothing may have run or a second run does no harm") {
    const RetryRule all_scope_rule{Idempotency::idempotency_key, DeduplicationScope::all, 300ms};
    for (Execution execution : {Execution::may_have_run, Execution::ran}) {
        std::vector<Attempt> attempts{ended(execution), ended(Execution::never_ran)};
        CHECK(!RequestGuard::is_rejection_harmless(kNotIdempotent, attempts));
        CHECK(!RequestGuard::is_rejection_harmless(kIdempotencyKey, attempts));
        CHECK(RequestGuard::is_rejection_harmless(all_scope_rule, attempts));
        CHECK(RequestGuard::is_rejection_harmless(kIdempotent, attempts));
    }
    std::vector<Attempt> never_ran{ended(Execution::never_ran)};
    std::vector<Attempt> in_flight{Attempt{}};
    CHECK(RequestGuard::is_rejection_harmless(kNotIdempotent, never_ran));
    CHECK(!RequestGuard::is_rejection_harmless(kNotIdempotent, in_flight));
}

TEST_CASE("guard: missing settings result in the strictest retry rule") {
    policy::Settings empty;
    empty.classes.emplace_back();
    for (auto request_class : {ClassId{0}, ClassId{1}, kNoClass}) {
        RetryRule rule = RetryRule::of(empty, request_class);
        CHECK(rule.idempotency == Idempotency::not_idempotent);
        CHECK(rule.window == Duration::zero());
    }
}

TEST_CASE("guard: a violation is counted, and its log line names the request") {
    struct LastLineLogger : Logger {
        void log(Level, const char*, const std::string&, const Data& fields) override { data = fields; }
        Data data;
    } logger;
    RequestGuard guard(logger, [](EndpointId) { return std::string("s-1"); });
    std::vector<Attempt> ran_twice{ended(Execution::ran), ended(Execution::ran)};
    CHECK(RequestGuard::has_run_twice(kNotIdempotent, ran_twice));
    CHECK(!RequestGuard::has_run_twice(kIdempotent, ran_twice));
    ClientRequest request;
    request.id = "00000000000000a1";
    guard.record_violation(Invariant::single_execution, request, ran_twice);
    CHECK(guard.violations()[std::size_t(Invariant::single_execution)] == 1);
    CHECK(logger.data[0].second == "single_execution");
    CHECK(logger.data[1].second == request.id);
}

namespace {

PendingRequest pending_after(Execution execution) {
    PendingRequest pending;
    pending.retry_rule = kNotIdempotent;
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

TEST_CASE("guard: a blocked attempt or rejection counts as a violation, and an allowed one does not") {
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

TEST_CASE("guard: late answers, and closed connections with an answer owed, count as violations") {
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
