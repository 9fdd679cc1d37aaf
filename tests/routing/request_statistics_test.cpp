// RequestStatistics lists the fields of its log line.
#include "routing/request_statistics.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {

using namespace routing;

TEST_CASE("statistics: the line has a field for each count above zero, with attempts by status") {
    RequestStatistics statistics;
    CHECK(statistics.empty());
    CHECK(statistics.log_fields().empty());

    statistics.first_requests = 2;
    statistics.attempts = 3;
    statistics.attempts_ended[std::size_t(policy::AttemptStatus::not_started)] = 1;
    statistics.attempts_ended[std::size_t(policy::AttemptStatus::ok)] = 2;

    CHECK(!statistics.empty());
    CHECK(statistics.log_fields() == Logger::Data{{"first_requests", "2"},
                                                  {"attempts", "3"},
                                                  {"attempts_ok", "2"},
                                                  {"attempts_not_started", "1"}});
}

}  // namespace indigovane::testing
