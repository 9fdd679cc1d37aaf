// EventInbox wakes the driver once per batch and keeps the order of events.
#include "routing/event_inbox.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using namespace routing;

struct CountingDriver : Driver {
    void wake() override { ++wakes; }
    void alarm(std::optional<Time>) override {}
    int wakes = 0;
};

}  // namespace

TEST_CASE("inbox: the driver is woken once per batch, and not by push()") {
    CountingDriver driver;
    EventInbox inbox(driver);

    inbox.push(policy::RequestCancelled{RequestId{1}});
    CHECK(driver.wakes == 0);
    inbox.post(policy::RequestCancelled{RequestId{2}});
    inbox.post(policy::RequestCancelled{RequestId{3}});
    CHECK(driver.wakes == 1);
    inbox.begin_batch();
    inbox.wake();
    CHECK(driver.wakes == 2);
}

TEST_CASE("inbox: events are returned once, in order of arrival") {
    CountingDriver driver;
    EventInbox inbox(driver);
    for (std::uint64_t id : {1, 2, 3}) inbox.push(policy::RequestCancelled{RequestId{id}});

    auto events = inbox.take();

    REQUIRE(events.size() == 3);
    for (std::uint64_t i = 0; i < 3; ++i)
        CHECK(std::get<policy::RequestCancelled>(events[i]).id == RequestId{i + 1});
    CHECK(inbox.take().empty());
}

}  // namespace indigovane::testing
