// The division of descriptors and memory among clients, hosts and requests.
#include "program/resource_budget.hpp"

#include <doctest/doctest.h>

namespace indigovane::testing {
namespace {

program::Config config_with(std::size_t sockets) {
    program::Config config;
    config.sockets = sockets;
    config.memory_mb = 100;
    return config;
}

TEST_CASE("budget: the parts of the descriptors add up to the configured number") {
    for (bool rest : {false, true})
        for (bool control : {false, true}) {
            program::Config config = config_with(1024);
            config.rest.enabled = rest;
            if (control) config.control.emplace();
            program::ResourceBudget budget = program::make_resource_budget(config);
            std::size_t reserved = 24 + (rest ? 32 : 16) + (control ? 49 : 0);
            CHECK(budget.core.max_connections + budget.pg_clients + budget.rest_clients + reserved == 1024);
            CHECK((budget.rest_clients > 0) == rest);
            CHECK(budget.served_clients == 170);
        }
}

TEST_CASE("budget: memory is divided by fixed shares, and the unread bytes among the fronts that are on") {
    program::Config config = config_with(1024);
    program::ResourceBudget budget = program::make_resource_budget(config);
    CHECK(budget.core.max_request_bytes == (25u << 20));
    CHECK(budget.long_statement_bytes == (40u << 20));
    CHECK(budget.unread_bytes == (20u << 20));
    CHECK(budget.answer_bytes == (10u << 20));
    config.rest.enabled = true;
    CHECK(program::make_resource_budget(config).unread_bytes == (10u << 20));
}

TEST_CASE("budget: too few descriptors for the fronts that are on are a configuration error") {
    CHECK_THROWS_AS(program::make_resource_budget(config_with(63)), program::ConfigError);
    CHECK(program::make_resource_budget(config_with(64)).pg_clients == 17);
}

}  // namespace
}  // namespace indigovane::testing
