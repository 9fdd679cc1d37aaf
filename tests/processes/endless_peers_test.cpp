// Real processes of the program whose peers send without an end. The event loop must still reach its
// deadlines and the requests of all others: a turn of the loop that ran until no handler was ready never
// ended.
#include "processes/list_host.hpp"
#include "processes/single_pooler.hpp"
#include "support/endless_sender.hpp"

namespace indigovane::testing {
namespace {

std::string notices() {
    std::string notice = pg::Writer().plain('N', std::string("SNOTICE\0C00000\0Mgoes on\0\0", 25)).take();
    std::string chunk;
    while (chunk.size() < 100000) chunk += notice;
    return chunk;
}

}  // namespace

TEST_CASE("endless peers: a PostgreSQL host whose answer never ends delays no request beyond its time") {
    EndlessServer host(pg::Writer().authentication_ok().ready().take(),
                       pg::Writer().row_description({{"content", 17, true}}).take(), notices());
    SinglePooler d({.second_replica = host.address()});
    CHECK(d.served_of(12) == 12);  // the answer is given up and the read retried
    CHECK(host.begun() > 0);
}

TEST_CASE("endless peers: a REST host whose interim responses never end delays no request beyond its time") {
    std::string interim;
    while (interim.size() < 100000) interim += "HTTP/1.1 102 Processing\r\n\r\n";
    EndlessServer host("", "", interim);
    SinglePooler d({.wire = SinglePooler::Wire::rest, .second_replica = host.address()});
    CHECK(d.served_of(12) == 12);  // the answer is given up and the read retried
    CHECK(host.begun() > 0);
}

TEST_CASE("endless peers: a discovery service whose interim responses never end delays no request") {
    std::string interim;
    while (interim.size() < 100000) interim += "HTTP/1.1 102 Processing\r\n\r\n";
    EndlessServer discovery("", "", interim);
    SinglePooler d({.discovery = discovery.address()});
    REQUIRE(d.loop.until([&] { return discovery.begun() > 0; }));
    CHECK(d.served_of(20) == 20);
    CHECK(d.loop.until([&] {
        return d.process->said({"discovery", "a call to the discovery service failed"}) > 0;
    }));
}

TEST_CASE("endless peers: clients that send commands without a pause delay no other client's request") {
    SinglePooler d({});
    std::string flush, statements;
    while (flush.size() < 100000) flush += pg::Writer().plain('H', "").take();
    while (statements.size() < 100000) statements += pg::Writer().query("x").take();
    std::string hello = pg::Writer().startup("backend", "store").take();
    for (const std::string& chunk : {flush, statements}) {
        EndlessClients clients(d.address(), 8, hello, chunk);
        REQUIRE(d.loop.until([&] { return clients.begun() == 8; }));
        CHECK(d.served_of(20) == 20);
    }
}

}  // namespace indigovane::testing
