// What statements and limits add to a request, end to end on loopback: one client, one after the other,
// stand-in hosts. Prints microseconds; `make bench` runs it.
#define DOCTEST_CONFIG_IMPLEMENT
#include <algorithm>
#include <cstdio>

#include "program/statement_rules.hpp"
#include "support/deployment.hpp"

using namespace indigovane;
using namespace indigovane::testing;

namespace {

struct Figures {
    double median = 0, tail = 0;
};

Figures run(bool open, bool limited, const std::string& sql) {
    auto c = program::parse_statement_config(
        "[statements]\nopen = true\ngroup = 3\nread_class = \"stock-view\"\n", "bench");
    adapters::Statements statements(std::move(c.rules), c.analyzer_options,
                                    {open, c.group, c.read_class, "", ""});
    limits::Settings limits;
    limits.enabled = true;
    limits.shares = {{"vilaine", 0.59}, {"rance", 0.41}};
    Deployment<adapters::PgBackend, PgHost> d(64, settings(), open ? &statements : nullptr,
                                              limited ? std::optional(limits) : std::nullopt);
    for (Host& host : d.hosts) host.accepts_any_statement = true;
    Client client(d.loop, d.pg.local());
    client.send(pg::Writer().startup("vilaine", "store").take());
    client.reply();
    std::vector<double> took;
    for (int i = 0; i < 6000; ++i) {
        auto began = std::chrono::steady_clock::now();
        client.send(pg::Writer()
                        .query("/* id=" + std::to_string(i) + ",c=stock-view,t=vilaine,cluster=3 */ " + sql)
                        .take());
        client.reply();
        took.push_back(
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count());
    }
    std::sort(took.begin(), took.end());
    return {took[took.size() / 2], took[took.size() * 99 / 100]};
}

}  // namespace

int main() {
    doctest::Context context;  // the stand-ins check themselves by doctest
    context.setAsDefaultForAssertsOutOfTestCases();
    context.setAssertHandler([](const doctest::AssertData& data) {
        if (!data.m_failed) return;
        std::fprintf(stderr, "%s:%d failed\n", data.m_file, data.m_line);
        std::abort();
    });
    const std::string known = "SELECT content FROM kv WHERE name = 'r100'";
    const std::string other =
        "SELECT b.id, b.pieces, h.name FROM bags b JOIN hotels h ON h.id = b.hotel WHERE b.round = "
        "'r-2026-12-01' AND "
        "b.pieces > 12 ORDER BY b.at LIMIT 50";
    for (int round = 0; round < 3; ++round) {
        Figures off = run(false, false, known), limited = run(false, true, known),
                both = run(true, true, known), open = run(true, false, other), all = run(true, true, other);
        std::printf(
            "known form: off %.1f us (p99 %.1f), limits %.1f (%.1f), open + limits %.1f (%.1f); "
            "open form: judged %.1f (%.1f), + limits %.1f (%.1f)\n",
            off.median, off.tail, limited.median, limited.tail, both.median, both.tail, open.median,
            open.tail, all.median, all.tail);
    }
}
