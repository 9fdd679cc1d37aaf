// One client that sends small or unsound requests at full speed on one connection, also under ever new names.
// The requests of others are answered in time meanwhile, and memory does not grow with what it sends.
#include "processes/raw_socket.hpp"
#include "processes/single_pooler.hpp"
#include "support/endless_sender.hpp"

namespace indigovane::testing {
namespace {

constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kChunkBytes = 8 << 20;  // holds some tens of thousands of names
constexpr auto kFlood = 4s;

std::string name(std::size_t i) {
    char text[17];
    std::snprintf(text, sizeof text, "f%015zx", i);
    return text;
}

std::string statement(const std::string& comment, const std::string& key) {
    return pg::Writer()
        .query("/* " + comment + " */ SELECT content FROM kv WHERE name = '" + key + "'")
        .take();
}

std::string chunk_of(const std::function<std::string(std::size_t)>& message) {
    std::string chunk;
    for (std::size_t i = 0; chunk.size() < kChunkBytes; ++i) chunk += message(i);
    return chunk;
}

void check_flood(const std::string& front, const std::string& hello, const std::string& chunk) {
    SinglePooler d({.memory_mb = kMemoryMb, .has_rest_front = true});
    EndlessClients flood(d.address(front), 1, hello, chunk);
    auto other = d.client();
    Millis longest{0};
    int served = 0, asked = 0;
    std::size_t early = 0;
    const auto begin = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < begin + kFlood) {
        auto answer = d.request(*other);
        longest = std::max(longest, answer.time);
        served += answer.messages == "TDCZ";
        ++asked;
        if (early == 0 && std::chrono::steady_clock::now() > begin + kFlood / 4)
            early = memory_kib(d.process->id(), "VmRSS");
    }
    std::size_t late = memory_kib(d.process->id(), "VmRSS");
    std::size_t peak = memory_kib(d.process->id(), "VmHWM");
    MESSAGE("served " << served << " of " << asked << ", longest " << longest.count() << " ms, memory "
                      << early << " KiB, then " << late << ", peak " << peak);
    CHECK(served == asked);
    CHECK(longest <= kTimeout + kLatest);
    if (kMemoryIsMeasured) CHECK(peak <= kMemoryMb * 1024);
}

std::string hello() {
    return pg::Writer().startup("backend", "store").take();
}

}  // namespace

TEST_CASE("client flood: unsound statements delay no other client") {
    check_flood("pg", hello(), chunk_of([](std::size_t) { return pg::Writer().query("x").take(); }));
}
TEST_CASE("client flood: empty statements delay no other client") {
    check_flood("pg", hello(), chunk_of([](std::size_t) { return pg::Writer().query(";").take(); }));
}
TEST_CASE("client flood: sound reads of ever new rows by ever new tenants delay no other client") {
    check_flood("pg", hello(), chunk_of([](std::size_t i) {
                    return statement("id=" + name(i) + ",c=view,t=" + name(i) + ",d=800,cluster=3", name(i));
                }));
}
TEST_CASE("client flood: reads of ever new groups delay no other client") {
    check_flood("pg", hello(), chunk_of([](std::size_t i) {
                    return statement("id=" + name(i) + ",c=view,d=800,cluster=" + std::to_string(i + 10),
                                     "a");
                }));
}
TEST_CASE("client flood: reads of ever new classes delay no other client") {
    check_flood("pg", hello(), chunk_of([](std::size_t i) {
                    return statement("id=" + name(i) + ",c=" + name(i) + ",d=800,cluster=3", "a");
                }));
}
TEST_CASE("client flood: writes of ever new sessions delay no other client") {
    check_flood("pg", hello(), chunk_of([](std::size_t i) {
                    return pg::Writer()
                        .query("/* id=" + name(i) +
                               ",c=order,d=2000,cluster=3 */ INSERT INTO kv (name, content) " + "VALUES ('" +
                               name(i) + "', 'v') RETURNING content")
                        .take();
                }));
}
TEST_CASE("client flood: unsound pages over REST delay no other client") {
    check_flood("rest", "\r\n",
                chunk_of([](std::size_t i) { return "GET /" + name(i) + " HTTP/1.1\r\nHost: h\r\n\r\n"; }));
}
TEST_CASE("client flood: sound pages over REST delay no other client") {
    check_flood("rest", "\r\n", chunk_of([](std::size_t i) {
                    return "GET /v1/clusters/3/kv/" + name(i) + "?class=view&tenant=" + name(i) +
                           " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + name(i) + "\r\n\r\n";
                }));
}

}  // namespace indigovane::testing
