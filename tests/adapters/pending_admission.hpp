// Both fronts with an admission that leaves requests pending until the test answers them.
#pragma once

#include <string>
#include <vector>

#include "adapters/pg_front.hpp"
#include "adapters/rest_front.hpp"
#include "support/harness.hpp"

namespace indigovane::testing {

// Accepts every request. The test answers them.
struct PendingAdmission : routing::RequestAdmission {
    routing::RequestId accept(routing::ClientRequest request, routing::Responder& responder) override {
        requests.push_back(request);
        responders.push_back(&responder);
        return routing::RequestId{requests.size()};
    }
    bool has_capacity(std::size_t) const override { return true; }
    bool is_open(const std::string&) const override { return false; }
    void resume(routing::RequestId) override {}
    void withdraw(routing::RequestId id, Departure) override { withdrawn.push_back(std::uint64_t(id)); }
    std::vector<routing::ClientRequest> requests;
    std::vector<routing::Responder*> responders;
    std::vector<std::uint64_t> withdrawn;
};

// Both fronts with a PendingAdmission.
struct PendingFronts {
    Loop loop;
    NullLogger logger;
    PendingAdmission admission;
    adapters::Classes known = classes();
    adapters::PgFront pg;
    adapters::RestFront rest;
    explicit PendingFronts(std::size_t max_connections = 8)
        : pg(loop.io, loopback(), max_connections, known, {}, admission, logger),
          rest(loop.io, loopback(), max_connections, known, {}, admission, logger) {
        pg.start();
        rest.start();
    }
    bool wait_for_requests(std::size_t count) {
        return loop.until([&] { return admission.requests.size() >= count; });
    }
    void serve(std::size_t request) {
        routing::Answer answer;
        answer.rows.push_back({"", "v"});
        admission.responders[request]->on_answer(answer);
    }
};

}  // namespace indigovane::testing
