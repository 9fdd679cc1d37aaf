// How many connections may be open, and who learns that one more may.
#include "routing/connection_budget.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using routing::ConnectionBudget;

struct CountedBudget {
    int idle = 0;
    int capacity_returned = 0;
    ConnectionBudget budget{2, [this] { return close_idle(); }, [this] { ++capacity_returned; }};

    bool close_idle() {
        if (idle == 0) return false;
        --idle;
        budget.release();
        return true;
    }
};

}  // namespace

TEST_CASE("connection budget: at the limit an idle connection gives way, else none is opened") {
    CountedBudget counted;
    ConnectionBudget& budget = counted.budget;
    CHECK(budget.acquire());
    CHECK(budget.acquire());
    CHECK(!budget.acquire());

    counted.idle = 1;
    CHECK(budget.acquire());
    CHECK(budget.open() == 2);
    CHECK(budget.take_opened() == 3);
    CHECK(budget.take_opened() == 0);
}

TEST_CASE("connection budget: capacity that returns is reported where a connection was wanted, once") {
    CountedBudget counted;
    ConnectionBudget& budget = counted.budget;
    CHECK(budget.acquire());
    CHECK(budget.acquire());
    budget.release();
    CHECK(counted.capacity_returned == 0);

    CHECK(budget.acquire());
    CHECK(!budget.acquire());
    budget.release();
    budget.release();
    CHECK(counted.capacity_returned == 1);
    CHECK(budget.take_capacity_returned());
    CHECK(!budget.take_capacity_returned());
}

TEST_CASE("connection budget: a lower limit closes idle connections, never busy ones") {
    CountedBudget counted;
    CHECK(counted.budget.acquire());
    CHECK(counted.budget.acquire());
    counted.idle = 1;

    counted.budget.set_limit(0);

    CHECK(counted.budget.open() == 1);
}

}  // namespace indigovane::testing
