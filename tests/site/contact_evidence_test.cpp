// Evidence of contact for each host and each site.
#include "site/contact_evidence.hpp"

#include <doctest/doctest.h>

namespace indigovane::site {
namespace {

constexpr SiteId kSite{1};
constexpr Duration kWindow = seconds(2);
constexpr Duration kTimeout = milliseconds(400);
constexpr Time kStart{seconds(100)};

std::vector<Host> three_hosts() {
    std::vector<Host> hosts(3);
    for (std::uint32_t i = 0; i < 3; ++i) {
        hosts[i].id = HostId{i};
        hosts[i].site = kSite;
    }
    return hosts;
}

ContactEvidence evidence_of_three_hosts() {
    ContactEvidence evidence;
    evidence.set_hosts(three_hosts());
    return evidence;
}

TEST_CASE("contact evidence: work in flight beyond the response timeout counts as unanswered") {
    ContactEvidence evidence = evidence_of_three_hosts();
    evidence.record_sent(HostId{0}, kStart);

    SiteEvidence before = evidence.of_site(kSite, kStart + kTimeout - Duration(1), kWindow, kTimeout);
    SiteEvidence after = evidence.of_site(kSite, kStart + kTimeout, kWindow, kTimeout);

    CHECK(before.unresponsive == 0);
    CHECK(after.unresponsive == 1);
    CHECK(after.in_use == 1);
    CHECK(after.hosts == 3);
}

TEST_CASE(
    "contact evidence: an answer clears earlier unanswered work of its host, but not work sent after it") {
    ContactEvidence evidence = evidence_of_three_hosts();
    evidence.record_contact(HostId{0}, ContactResult::reset, kStart, kStart);
    CHECK(evidence.of_site(kSite, kStart, kWindow, kTimeout).resetting == 1);

    evidence.record_contact(HostId{0}, ContactResult::answered, kStart, kStart + seconds(1));
    evidence.record_contact(HostId{0}, ContactResult::unanswered, kStart, kStart + seconds(1));
    CHECK(!evidence.of_host(HostId{0})->unanswered_since);

    evidence.record_contact(HostId{0}, ContactResult::unanswered, kStart + seconds(1), kStart + seconds(1));
    CHECK(evidence.of_host(HostId{0})->unanswered_since);
}

TEST_CASE("contact evidence: work sent before a pause of this process is no evidence") {
    ContactEvidence evidence = evidence_of_three_hosts();
    evidence.record_sent(HostId{0}, kStart);
    Time resumed = kStart + seconds(10);

    evidence.discard_unanswered(resumed);
    evidence.record_contact(HostId{0}, ContactResult::unanswered, kStart, resumed);

    CHECK(evidence.of_site(kSite, resumed, kWindow, kTimeout).unresponsive == 0);
}

TEST_CASE("contact evidence: a restarted host starts without evidence, the others retain theirs") {
    ContactEvidence evidence = evidence_of_three_hosts();
    for (std::uint32_t id : {0, 1})
        evidence.record_contact(HostId{id}, ContactResult::unanswered, kStart, kStart);
    std::vector<Host> hosts = three_hosts();
    hosts[0].started = kStart;

    evidence.set_hosts(hosts);

    CHECK(!evidence.of_host(HostId{0}));
    REQUIRE(evidence.of_host(HostId{1}));
    CHECK(evidence.of_host(HostId{1})->unanswered_contacts == 1);
}

}  // namespace
}  // namespace indigovane::site
