// Tests of lease ownership in the simulation: real lease nodes on a network that loses, duplicates and delays
// datagrams, with nodes that crash, pause and resume.
#include "lab/quorum_simulation.hpp"

#include <doctest/doctest.h>

#include <cstdio>

namespace indigovane::lab {
namespace {

QuorumOptions with_faults(unsigned nodes, std::uint64_t seed) {
    QuorumOptions options;
    options.nodes = nodes;
    options.seed = seed;
    options.loss_share = 0.1;
    options.duplication_share = 0.05;
    options.late_share = 0.01;
    options.crash_interval_s = 4;
    options.pause_interval_s = 5;
    return options;
}

TEST_CASE(
    "ownership: with faults no lease has two owners, late acts are rejected, and leases get new owners") {
    for (bool persistent : {true, false}) {
        QuorumOptions options = with_faults(10, 3);
        options.persistent = persistent;
        QuorumSummary summary = run(options);
        CHECK(summary.concurrent_owners == 0);
        CHECK(summary.acts_out_of_order == 0);
        CHECK(summary.rejected_acts > 0);  // late acts reached the fence
        CHECK(summary.vacancies_s.size() > 50);
        // A vacancy takes about the duration of a lease, and another one if a request came at an unfortunate
        // time. Five of the ten nodes are voters, and they fail as well.
        CHECK(summary.vacancy_s(0.5) < 5);
        CHECK(summary.owned_share > 0.6);
        CHECK(run(options).text() == summary.text());
    }
}

TEST_CASE(
    "ownership: the fence rejects the acts of a resumed process that does not check whether its lease has "
    "expired") {
    QuorumOptions options = with_faults(10, 4);
    options.settings.check_expiry = false;
    QuorumSummary summary = run(options);
    CHECK(summary.concurrent_owners > 0);
    CHECK(summary.acts_out_of_order == 0);
    options.settings.fencing = false;
    CHECK(run(options).acts_out_of_order > 0);
}

TEST_CASE("ownership: a loss of 10% of the datagrams takes no lease from a running owner within a minute") {
    QuorumOptions options;
    options.loss_share = 0.1;
    QuorumSummary summary = run(options);
    CHECK(summary.false_takeovers == 0);
    CHECK(summary.owned_share > 0.99);
    // Per lease duration, the owner sends three renewals to five voters, and two other nodes send one request
    // each. All get replies.
    double max_messages = options.leases * 5 * 2 * (3 * 1.5 + 2 * 1.5) / 3 * options.duration_s;
    CHECK(double(summary.messages) < max_messages);
}

TEST_CASE("ownership: table" * doctest::skip()) {
    std::printf("%6s %6s %10s %10s %8s %8s %14s\n", "nodes", "loss", "p50 s", "p99 s", "owned", "false",
                "messages/s/node");
    for (unsigned nodes : {10u, 100u, 300u, 1000u})
        for (double loss : {0.0, 0.1}) {
            QuorumOptions options;
            options.nodes = nodes;
            options.leases = nodes / 2;
            options.loss_share = loss;
            options.seed = 7;
            options.crash_interval_s = 300.0 / nodes;  // each node crashes about once in five minutes
            options.duration_s = nodes > 100 ? 60 : 600;
            QuorumSummary summary = run(options);
            std::printf("%6u %6.2f %10.2f %10.2f %8.4f %8llu %14.2f\n", nodes, loss, summary.vacancy_s(0.5),
                        summary.vacancy_s(0.99), summary.owned_share,
                        static_cast<unsigned long long>(summary.false_takeovers),
                        double(summary.messages) / options.duration_s / nodes);
            CHECK(summary.concurrent_owners + summary.acts_out_of_order == 0);
        }
}

}  // namespace
}  // namespace indigovane::lab
