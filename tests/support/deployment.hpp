// A complete pooler on loopback: both fronts, the core with its policy, a backend, and stand-in hosts.
#pragma once

#include "adapters/limited_admission.hpp"
#include "adapters/pg_backend.hpp"
#include "adapters/pg_front.hpp"
#include "adapters/rest_backend.hpp"
#include "adapters/rest_front.hpp"
#include "support/harness.hpp"

namespace indigovane::testing {

using policy::EndpointListKind;
using policy::EndpointState;
using routing::EndpointInfo;

// One primary and two replicas of one group behind both fronts.
template <typename Backend, typename StandInHost>
struct Deployment {
    Loop loop;
    NullLogger logger;
    routing::Clock clock;
    Host hosts[3];
    std::vector<std::unique_ptr<StandInHost>> servers;
    Backend backend{loop.io};
    routing::LoopCore core;
    std::unique_ptr<adapters::LimitedAdmission> limited;
    adapters::Classes known = classes();
    adapters::RestFront rest;
    adapters::PgFront pg;

    explicit Deployment(std::size_t links = 64, const policy::Settings& with = settings(),
                        adapters::Statements* statements = nullptr,
                        std::optional<limits::Settings> by_cost = std::nullopt)
        : core(loop.io, clock, with, 7, limits(links), backend, logger),
          limited(by_cost ? std::make_unique<adapters::LimitedAdmission>(loop.io, clock, *by_cost, core)
                          : nullptr),
          rest(loop.io, loopback(), 64, known, {.page_size = 4, .max_page_size = 10}, admission(), logger),
          pg(loop.io, loopback(), 64, known, {}, admission(), logger, statements) {
        hosts[0].primary = true;
        for (Host& host : hosts) {
            servers.push_back(std::make_unique<StandInHost>(loop, host));
            for (int i = 0; i < 23; ++i)
                host.rows["r" + std::to_string(100 + i)] = "value" + std::to_string(i);
        }
        std::vector<EndpointInfo> members;
        for (std::size_t i = 0; i < 3; ++i) members.push_back(endpoint(i, EndpointState::ready));
        core.apply_endpoint_list(EndpointListKind::full, members);
        loop.batch = [this] { core.run_batch(); };
        rest.start();
        pg.start();
    }
    routing::RequestAdmission& admission() {
        if (limited) return *limited;
        return core;
    }
    static routing::CoreLimits limits(std::size_t links) {
        routing::CoreLimits limits;
        limits.delisted_retention = 0s;
        limits.sweep = 10ms;
        limits.max_connections = links;
        limits.probe_timeout = 2s;
        limits.connect_timeout = 2s;
        return limits;
    }
    EndpointInfo endpoint(std::size_t i, EndpointState state) {
        EndpointInfo info;
        info.uid = "m" + std::to_string(i);
        info.address = servers[i]->address();
        info.group = 3;
        info.state = state;
        info.primary = i == 0;
        return info;
    }
    int replica_queries() const { return hosts[1].queries + hosts[2].queries; }
};

}  // namespace indigovane::testing
