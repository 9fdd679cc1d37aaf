// ConnectionBudget limits the number of open connections and reports when capacity returns.
#include "routing/connection_budget.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using routing::ConnectionBudget;

struct BudgetFixture {
    int idle_count = 0;
    int capacity_returned_calls = 0;
    ConnectionBudget budget{2, [this] { return close_idle(); }, [this] { ++capacity_returned_calls; }};

    bool close_idle() {
        if (idle_count == 0) return false;
        --idle_count;
        budget.release();
        return true;
    }
};

}  // namespace

TEST_CASE("connection budget: at the limit a new connection needs an idle one to close") {
    BudgetFixture fixture;
    ConnectionBudget& budget = fixture.budget;
    CHECK(budget.acquire());
    CHECK(budget.acquire());
    CHECK(!budget.acquire());

    fixture.idle_count = 1;
    CHECK(budget.acquire());
    CHECK(budget.open() == 2);
    CHECK(budget.take_opened() == 3);
    CHECK(budget.take_opened() == 0);
}

TEST_CASE("connection budget: returned capacity is reported once, and only after a refused connection") {
    BudgetFixture fixture;
    ConnectionBudget& budget = fixture.budget;
    CHECK(budget.acquire());
    CHECK(budget.acquire());
    budget.release();
    CHECK(fixture.capacity_returned_calls == 0);

    CHECK(budget.acquire());
    CHECK(!budget.acquire());
    budget.release();
    budget.release();
    CHECK(fixture.capacity_returned_calls == 1);
    CHECK(budget.take_capacity_returned());
    CHECK(!budget.take_capacity_returned());
}

TEST_CASE("connection budget: a lower limit closes idle connections and no busy ones") {
    BudgetFixture fixture;
    CHECK(fixture.budget.acquire());
    CHECK(fixture.budget.acquire());
    fixture.idle_count = 1;

    fixture.budget.set_limit(0);

    CHECK(fixture.budget.open() == 1);
}

}  // namespace indigovane::testing
