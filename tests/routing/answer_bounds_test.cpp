// The bounds of one answer. A wrong one cuts off an answer that its host goes on with, or keeps a request
// waiting for one that never ends.
#include "routing/answer_bounds.hpp"

#include <doctest/doctest.h>

namespace indigovane::testing {
namespace {

using namespace routing;

PendingRequest request_with_attempts(std::size_t paused_before) {
    PendingRequest pending;
    pending.attempts.resize(paused_before + 1);
    for (std::size_t i = 0; i < paused_before; ++i) pending.attempts[i].paused = true;
    return pending;
}

}  // namespace

TEST_CASE("answer bounds: what is skipped and what is passed on are limited apart, up to the last byte") {
    AnswerSize size;
    CHECK(size.add_skipped(AnswerSize::kMaxSkippedBytes));
    CHECK(size.add_data(AnswerSize::kMaxDataBytes));
    CHECK(!size.add_skipped(1));
    CHECK(!size.add_data(1));
}

TEST_CASE("answer bounds: a paused answer is given up only for a retry, and each pause doubles the time") {
    for (std::size_t paused_before : {0, 1, 2}) {
        PendingRequest pending = request_with_attempts(paused_before);
        Duration limit = kAnswerPause * (1 << paused_before);
        CHECK(may_give_up_paused_answer(pending, limit, true));
        CHECK(!may_give_up_paused_answer(pending, limit - Duration(1), true));
        CHECK(!may_give_up_paused_answer(pending, limit * 100, false));
    }
}

TEST_CASE("answer bounds: an answer that the client has received a part of is not given up for a pause") {
    PendingRequest pending = request_with_attempts(0);
    pending.response_started = true;
    CHECK(!may_give_up_paused_answer(pending, kAnswerPause * 100, true));
}

TEST_CASE("answer bounds: a started response goes on while its host does, or while its client holds it up") {
    const Time now(std::chrono::seconds(100));
    PendingRequest pending;
    pending.response_started = true;
    pending.response_bytes = 70000;
    CHECK(next_look_at_started(pending, now).has_value());
    CHECK(!next_look_at_started(pending, now).has_value());  // nothing has come since
    pending.response_bytes += 1000;
    CHECK(!next_look_at_started(pending, now).has_value());
    pending.response_bytes += 24;
    CHECK(next_look_at_started(pending, now) > now);
    pending.awaits_client = true;
    CHECK(next_look_at_started(pending, now) > now);
}

}  // namespace indigovane::testing
