// Real processes of the program before hosts whose answers prove that a statement ran, and report something
// else as well: data older than the read needs, or an error behind the row. An executed statement is not
// retried where its class does not allow it (docs/incidents/2026-12-02-repeated-session-reads.md).
#include "processes/small_deployment.hpp"

namespace indigovane::testing {
namespace {

bool is_refusal(const std::string& code) {
    return code == "53300" || code == "57P03";
}

}  // namespace

TEST_CASE("execution: a session read whose answer was stale is not retried where its class forbids it") {
    SmallDeployment d(3);
    d.hosts[1].lag_ms = d.hosts[2].lag_ms = 3'600'000;
    for (std::size_t pooler = 0; pooler < 3; ++pooler) {
        auto client = d.client(pooler);
        for (int n = 0; n < 40; ++n) {
            int session = 1 + n % 20;
            // First right after the write, then once its commit counts as replicated.
            if (n < 20) REQUIRE(d.request(*client, true, session) == "TDCZ");
            if (n == 20) d.wait(300ms);
            std::string reply = d.request(*client, false, session);
            CHECK(d.sent_to() == 1);
            // Stale data is not forwarded, and an executed statement not rejected: that would promise no
            // effect.
            if (reply != "TDCZ") CHECK(reply == "EZ");
            if (reply != "TDCZ") CHECK(!is_refusal(client->code));
        }
    }
}

TEST_CASE("execution: a host that sends an error behind its row has run the statement all the same") {
    for (const char* code : {"53300", "57P03", "25006", "72000", "XX000"}) {
        CAPTURE(std::string(code));
        SmallDeployment d(1);
        for (Host& host : d.hosts) host.sqlstate_after_row = code;
        auto client = d.client(0);
        for (int session = 1; session <= 5; ++session) {
            for (bool write : {true, false}) {
                CHECK(d.request(*client, write, session) == "EZ");
                CHECK(!is_refusal(client->code));
                CHECK(d.sent_to() == 1);
            }
        }
    }
}

}  // namespace indigovane::testing
