#include "routing/request_statistics.hpp"

#include "routing/request_log.hpp"

namespace indigovane::routing {

Logger::Data RequestStatistics::log_fields() const {
    Logger::Data fields;
    auto add = [&](std::string name, std::uint32_t count) {
        if (count > 0) fields.emplace_back(std::move(name), std::to_string(count));
    };
    add("first_requests", first_requests);
    add("client_retries", client_retries);
    add("attempts", attempts);
    for (std::size_t status = 0; status < attempts_ended.size(); ++status)
        add(std::string("attempts_") + status_name(policy::AttemptStatus(status)), attempts_ended[status]);
    add("rejected_requests", rejected_requests);
    add("rejected_on_arrival", rejected_on_arrival);
    add("failed_requests", failed_requests);
    add("clients_left", clients_left);
    add("health_checks", health_checks);
    add("health_checks_failed", health_checks_failed);
    add("connections", connections);
    add("endpoint_lists", endpoint_lists);
    return fields;
}

}  // namespace indigovane::routing
