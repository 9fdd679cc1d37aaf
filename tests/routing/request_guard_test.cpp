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
    Attempt a;
    a.task.sent = kSent;
    a.zone = zone;
    a.out = false;
    a.execution = execution;
    a.status = AttemptStatus::error;
    return a;
}

std::optional<Invariant> against(const RetryRule& rule, std::vector<Attempt> earlier, Duration later = 10ms,
                                 std::uint32_t zone = 0) {
    return RequestGuard::against_attempt(rule, earlier, zone, 0, kSent + later);
}

const RetryRule kUnsafe{Idempotency::not_idempotent, DeduplicationScope::group, 0ms};
const RetryRule kKeyed{Idempotency::idempotency_key, DeduplicationScope::group, 300ms};
const RetryRule kSafe{Idempotency::idempotent, DeduplicationScope::group, 0ms};

}  // namespace

TEST_CASE("guard: a further attempt goes out only where the class allows it") {
    for (const RetryRule& rule : {kUnsafe, kKeyed, kSafe}) {
        CHECK(!against(rule, {}));
        CHECK(!against(rule, {ended(Execution::never_ran)}, 10s));
        CHECK(against(rule, {Attempt{}}) == Invariant::single_attempt);
    }
    for (Execution execution : {Execution::may_have_run, Execution::ran}) {
        CHECK(against(kUnsafe, {ended(execution)}) == Invariant::repeat_by_effect);
        CHECK(against(kUnsafe, {ended(execution), ended(Execution::never_ran)}) ==
              Invariant::repeat_by_effect);
        CHECK(!against(kKeyed, {ended(execution)}, 299ms));
        CHECK(against(kKeyed, {ended(execution)}, 300ms) == Invariant::repeat_in_window);
        CHECK(!against(kSafe, {ended(execution)}, 10s));
    }
    const RetryRule zoned{Idempotency::idempotency_key, DeduplicationScope::zone, 300ms};
    CHECK(!against(zoned, {ended(Execution::ran, 1)}, 10ms, 1));
    CHECK(against(zoned, {ended(Execution::ran, 1)}, 10ms, 2) == Invariant::repeat_in_scope);
}

TEST_CASE("guard: a refusal promises that nothing ran, or that running again does no harm") {
    const RetryRule anywhere{Idempotency::idempotency_key, DeduplicationScope::all, 300ms};
    for (Execution execution : {Execution::may_have_run, Execution::ran}) {
        std::vector<Attempt> attempts{ended(execution), ended(Execution::never_ran)};
        CHECK(!RequestGuard::refusal_is_harmless(kUnsafe, attempts));
        CHECK(!RequestGuard::refusal_is_harmless(kKeyed, attempts));
        CHECK(RequestGuard::refusal_is_harmless(anywhere, attempts));
        CHECK(RequestGuard::refusal_is_harmless(kSafe, attempts));
    }
    std::vector<Attempt> none{ended(Execution::never_ran)}, out{Attempt{}};
    CHECK(RequestGuard::refusal_is_harmless(kUnsafe, none));
    CHECK(!RequestGuard::refusal_is_harmless(kUnsafe, out));
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
    RequestGuard guard(lines);
    std::vector<Attempt> twice{ended(Execution::ran), ended(Execution::ran)};
    CHECK(RequestGuard::ran_twice(kUnsafe, twice));
    CHECK(!RequestGuard::ran_twice(kSafe, twice));
    ClientRequest item;
    item.id = "00000000000000a1";
    guard.violated(Invariant::ran_once, item, twice);
    CHECK(guard.violations()[std::size_t(Invariant::ran_once)] == 1);
    CHECK(lines.data[0].second == "ran_once");
    CHECK(lines.data[1].second == item.id);
}

}  // namespace indigovane::testing
