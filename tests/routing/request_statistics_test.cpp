// The fields of a statistics line.
#include "routing/request_statistics.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {

using namespace routing;

TEST_CASE("statistics: a field for each count that is not zero, attempts by their status") {
    RequestStatistics statistics;
    CHECK(statistics.empty());
    CHECK(statistics.data().empty());

    statistics.first_requests = 2;
    statistics.attempts = 3;
    statistics.attempts_ended[std::size_t(policy::AttemptStatus::not_started)] = 1;
    statistics.attempts_ended[std::size_t(policy::AttemptStatus::ok)] = 2;

    CHECK(!statistics.empty());
    CHECK(statistics.data() == Logger::Data{{"first_requests", "2"},
                                            {"attempts", "3"},
                                            {"attempts_ok", "2"},
                                            {"attempts_not_started", "1"}});
}

}  // namespace indigovane::testing
