// Parsers and writers without any I/O: round trips, bounds, and random damage.
#include <limits>

#include "protocol/syslog.hpp"
#include "support/harness.hpp"
#include "transport/buffer.hpp"

namespace indigovane::testing {
namespace {

namespace syslog = protocol::syslog;

std::string random_text(Dice& dice, std::size_t most, std::string_view alphabet) {
    std::string text;
    for (std::size_t n = dice.below(most + 1); n > 0; --n) text += alphabet[dice.below(alphabet.size())];
    return text;
}

TEST_CASE("a buffer is a queue of bytes, whatever the sizes") {
    Dice dice(1);
    transport::Buffer buffer;
    std::string model;
    char next = 0;
    for (int step = 0; step < 20000; ++step) {
        if (dice.below(2)) {
            std::size_t count = dice.below(dice.below(20) ? 300 : 40000);
            auto space = buffer.prepare(count);
            REQUIRE(space.size >= count);
            for (std::size_t i = 0; i < count; ++i) model += space.data[i] = next++;
            buffer.commit(count);
        } else {
            std::size_t count = dice.below(600) + (dice.below(10) ? 0 : 30000);
            buffer.consume(count);
            model.erase(0, count);
        }
        REQUIRE(buffer.view() == model);
    }
    buffer.consume(model.size());
    CHECK(buffer.capacity() <= 16384);  // a large block is given back
}

TEST_CASE("pg: messages are read as they were written, however they are split") {
    std::string all = pg::Writer()
                          .query("SELECT 1")
                          .empty_query()
                          .complete("X")
                          .error("ERROR", "53300", "full", "250")
                          .take();
    std::string types, in;
    for (char c : all) {
        in += c;
        pg::Message m;
        std::size_t length = 0;
        if (pg::next_message(in, 100, m, length) != pg::Next::message) continue;
        types += m.type;
        if (m.type == 'E') {
            CHECK(pg::read_error(m.body).code == "53300");
            CHECK(pg::read_error(m.body).message == "full");
        }
        in.clear();
    }
    CHECK(types == "QICE");
}

TEST_CASE("pg: lengths are bounded and damaged messages do not crash") {
    pg::Message m;
    std::size_t length = 0;
    CHECK(pg::next_message(std::string("Q\0\0\0\3", 5), 100, m, length) == pg::Next::malformed);
    CHECK(pg::next_message("Q\x7f\xff\xff\xff", 100, m, length) == pg::Next::malformed);
    CHECK(pg::next_message(std::string("Q\0\1\0\0", 5), 100, m, length) == pg::Next::too_long);
    CHECK(length == 65537);
    CHECK(pg::next_startup(std::string("\0\0\0\4", 4), 100, m, length) == pg::Next::malformed);
    Dice dice(2);
    std::string row = pg::Writer().data_row({"a", std::nullopt, "ccc"}).take().substr(5);
    auto values = pg::read_values(row);
    REQUIRE(values);
    CHECK((*values)[0] == "a");
    CHECK(!(*values)[1]);
    for (int i = 0; i < 20000; ++i) {
        std::string damaged = row;
        for (std::size_t n = dice.below(3) + 1; n > 0; --n)
            damaged[dice.below(damaged.size())] = char(dice.below(256));
        damaged.resize(dice.below(damaged.size() + 1));
        auto read = pg::read_values(damaged);
        std::size_t total = 2;
        if (read)
            for (auto& v : *read) total += 4 + (v ? v->size() : 0);
        CHECK((!read || total == damaged.size()));
        pg::read_columns(damaged), pg::read_parameter(damaged), pg::read_error(damaged);
    }
}

TEST_CASE("pg: the comment's fields, one statement, and what is forwarded") {
    std::string sql =
        "/* id=9b,c=basket, t=acme,d=480,cluster=2 */ SELECT content FROM kv WHERE name = 'a;''b'";
    auto s = pg::read_statement(sql);
    CHECK(!s.malformed);
    CHECK(!s.has_several_statements);
    CHECK(s.field("id") == "9b");
    CHECK(s.field("t") == "acme");
    CHECK(s.field("d") == "480");
    CHECK(!s.field("k"));
    CHECK(pg::read_verb(s.body).name == "a;'b");
    // Nothing but `d` changes.
    std::string changed = pg::with_deadline(sql, s, "7");
    CHECK(changed ==
          "/* id=9b,c=basket, t=acme,d=7,cluster=2 */ SELECT content FROM kv WHERE name = 'a;''b'");
    std::string without_deadline = "/* id=1 */ X";
    CHECK(pg::with_deadline(without_deadline, pg::read_statement(without_deadline), "7") ==
          "/* id=1,d=7 */ X");
    CHECK(pg::read_statement("/* a=1 */ SELECT 1; SELECT 2").has_several_statements);
    CHECK(!pg::read_statement("/* a=1 */ SELECT 1 ; ").has_several_statements);
    CHECK(pg::read_statement("/* a=1 SELECT 1").malformed);
    CHECK(pg::read_statement("/* a */ SELECT 1").malformed);
    CHECK(pg::read_statement("/* =a */ SELECT 1").malformed);
    CHECK(pg::read_statement("/* a=1 */ SELECT 'x").malformed);
    CHECK(pg::read_statement(" /* a=1 */ ; ").body.empty());
    auto write = pg::read_verb("insert into kv(name,content) values ('n', '\\x9f03') returning content");
    CHECK(write.kind == pg::Verb::Kind::write);
    CHECK(write.content == "\\x9f03");
    auto page = pg::read_verb(
        "SELECT name, content FROM kv WHERE name > 'a' AND starts_with(name, 'p') ORDER BY name LIMIT 9");
    CHECK(page.kind == pg::Verb::Kind::page);
    CHECK(page.prefix == "p");
    CHECK(page.limit == 9);
    CHECK(pg::read_verb("SELECT content FROM kv WHERE name = 'a' OR 1=1").kind == pg::Verb::Kind::other);
    Dice dice(3);
    for (int i = 0; i < 2000; ++i) {
        std::string name = random_text(dice, 12, "ab' ;\\"),
                    bytes = random_text(dice, 9, std::string_view("\0a\xff", 3));
        CHECK(pg::read_verb("SELECT content FROM kv WHERE name = " + pg::quote(name)).name == name);
        CHECK(pg::unhex(pg::hex(bytes)) == bytes);
    }
    CHECK(!pg::unhex("\\x0g"));
    CHECK(!pg::unhex("\\x0"));
}

TEST_CASE("http: requests in pieces, pipelined, malformed, too large") {
    std::string all = http::write_request("GET", "/a?b=c%20d", "h", {{"X", "1"}}) +
                      http::write_request("PUT", "/p", "h", {}, "body") +
                      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n3;x\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n";
    http::Parser parser({512, 64});
    std::string in, seen;
    for (char c : all) {
        in += c;
        http::Request r;
        std::size_t length = 0;
        auto next = parser.request(in, r, length);
        if (next == http::Next::more) continue;
        REQUIRE(next == http::Next::message);
        seen += std::string(r.method) + " " + r.body + ";";
        in.erase(0, length);
    }
    CHECK(seen == "GET ;PUT body;POST abcde;");
    auto one = [](std::string text) {
        http::Request r;
        std::size_t length = 0;
        return http::Parser({512, 64}).request(text, r, length);
    };
    CHECK(one("GET /\r\n\r\n") == http::Next::bad);
    CHECK(one("GET / HTTP/1.1\r\n\r\n") == http::Next::bad);  // no Host
    CHECK(one("GET / HTTP/2.0\r\nHost: h\r\n\r\n") == http::Next::bad_version);
    CHECK(one("GET / HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n") == http::Next::bad);
    CHECK(one("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\nx") == http::Next::bad);
    CHECK(one("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n") == http::Next::body_too_large);
    CHECK(one("GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n") ==
          http::Next::body_too_large);
    CHECK(one("GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n") == http::Next::not_implemented);
    CHECK(one("GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n") ==
          http::Next::bad);
    CHECK(one("GET /" + std::string(600, 'a')) == http::Next::head_too_large);
    Dice dice(4);
    for (int i = 0; i < 20000; ++i) {
        std::string damaged = all;
        for (std::size_t n = dice.below(4); n > 0; --n)
            damaged[dice.below(damaged.size())] = char(dice.below(256));
        http::Request r;
        http::Response s;
        std::size_t length = 0;
        if (http::Parser({512, 64}).request(damaged, r, length) == http::Next::message)
            CHECK((length <= damaged.size() && r.body.size() <= 64));
        if (http::Parser({512, 64}).response(damaged, true, s, length) == http::Next::message)
            CHECK(length <= damaged.size());
        http::read_target(damaged);
    }
}

TEST_CASE("http: responses by length, by chunks, by the connection's end; targets and base64url") {
    http::Response r;
    std::size_t length = 0;
    std::string open = "HTTP/1.1 200 OK\r\n\r\nabc";
    CHECK(http::Parser({}).response(open, false, r, length) == http::Next::more);
    CHECK(http::Parser({}).response(open, true, r, length) == http::Next::message);
    CHECK(r.body == "abc");
    CHECK(!r.keep_alive);
    std::string framed = http::write_response(503, {{"Retry-After", "1"}}, "x", true) + "HTTP";
    CHECK(http::Parser({}).response(framed, false, r, length) == http::Next::message);
    CHECK(r.status == 503);
    CHECK(length == framed.size() - 4);
    CHECK(http::Parser({}).response("HTTP/1.1 2x0 OK\r\n\r\n", true, r, length) == http::Next::bad);
    auto target = http::read_target("/v1/a%2Fb/?x=1+2&y&x=%41");
    REQUIRE(target);
    CHECK(target->segments == std::vector<std::string>{"v1", "a/b"});
    CHECK(target->parameter("x") == "1 2");
    CHECK(target->parameter("y") == "");
    CHECK(!http::read_target("/%zz"));
    CHECK(!http::read_target("/%4"));
    CHECK(!http::read_target("x"));
    Dice dice(5);
    for (int i = 0; i < 3000; ++i) {
        std::string bytes = random_text(dice, 20, std::string_view("\0\x01zA\xff\x80/+", 8));
        CHECK(http::unbase64url(http::base64url(bytes)) == bytes);
        CHECK(adapters::rest::unbase64(adapters::rest::base64(bytes)) == bytes);
        auto back = http::read_target("/" + http::percent_encode(bytes) + "x");
        CHECK((back && back->segments.at(0) == bytes + "x"));
    }
    CHECK(!http::unbase64url("A"));
    CHECK(!http::unbase64url("AB="));
    CHECK(!http::unbase64url("AB"));  // its spare bits are not zero
}

TEST_CASE("cursors are bound to their query and to nothing else") {
    using adapters::rest::Query;
    Query q{"stock-view", "s", "t", "p", 3};
    std::string cursor = adapters::rest::write_cursor(q, "row");
    CHECK(adapters::rest::read_cursor(q, cursor) == "row");
    for (Query other : {Query{"x", "s", "t", "p", 3}, Query{"stock-view", "", "t", "p", 3},
                        Query{"stock-view", "s", "tp", "", 3}, Query{"stock-view", "s", "t", "p", 4}})
        CHECK(!adapters::rest::read_cursor(other, cursor));
    for (std::size_t i = 0; i < cursor.size(); ++i) {
        std::string damaged = cursor;
        damaged[i] = damaged[i] == 'A' ? 'B' : 'A';
        CHECK(!adapters::rest::read_cursor(q, damaged));
        CHECK(!adapters::rest::read_cursor(q, cursor.substr(0, i)));
    }
}

TEST_CASE("syslog: what is written is read back, with every escape") {
    Dice dice(6);
    const std::string_view any = "ab\"\\] =[\xc3\xa9\n";
    for (int i = 0; i < 5000; ++i) {
        syslog::Message m;
        m.facility = int(dice.below(24));
        m.severity = syslog::Severity(dice.below(8));
        m.timestamp = syslog::timestamp(std::int64_t(dice.below(4'000'000'000)) * 1'000'000 + 5);
        m.host = random_text(dice, 5, "ab."), m.app = "app", m.id = random_text(dice, 5, "xy");
        for (std::size_t e = dice.below(3); e > 0; --e) {
            syslog::Element element{"e" + std::to_string(e) + "@32473", {}};
            for (std::size_t p = dice.below(4); p > 0; --p)
                element.parameters.emplace_back("p" + std::to_string(p), random_text(dice, 8, any));
            m.data.push_back(element);
        }
        m.text = random_text(dice, 10, any);
        auto back = syslog::read(syslog::write(m));
        REQUIRE(back);
        CHECK(*back == m);
    }
    CHECK(syslog::timestamp(1767225600123456) == "2026-01-01T00:00:00.123456Z");
    syslog::Message odd;
    odd.host = "a b\n", odd.data = {{"bad name]", {{"x=\"", "v"}}}};
    auto back = syslog::read(syslog::write(odd));
    REQUIRE(back);
    CHECK(back->host == "a_b_");
    CHECK(back->data[0].id == "bad_name_");
    for (const char* bad :
         {"", "<", "<14>", "<192>1 - - - - - -", "<014>1 - - - - - -", "<14>2 - - - - - -", "<14>1 - - - - -",
          "<14>1 - - - - - [", "<14>1 - - - - - [a b=\"c]", "<14>1 - - - - - [a b=\"]\"]",
          "<14>1 - - - - - [a b=c]", "<14>1 - - - - - -x", "<14>1 - - - - - [=]"})
        CHECK_MESSAGE(!syslog::read(bad), bad);
}

TEST_CASE("syslog: frames by octet counting") {
    std::string all = syslog::frame("<14>1 - - - - - -") + syslog::frame("two words") + "5 ab", in;
    std::vector<std::string> seen;
    for (char c : all) {
        in += c;
        std::string_view m;
        std::size_t length = 0;
        if (syslog::next_frame(in, 100, m, length) != syslog::Next::message) continue;
        seen.emplace_back(m);
        in.erase(0, length);
    }
    CHECK(seen == std::vector<std::string>{"<14>1 - - - - - -", "two words"});
    CHECK(in == "5 ab");
    for (const char* bad : {"x 1", "0 ", "-1 a", " a", "101 a", "99999999999 a", "05 abcde"}) {
        std::string_view m;
        std::size_t length = 0;
        CHECK_MESSAGE(syslog::next_frame(bad, 100, m, length) == syslog::Next::malformed, bad);
    }
}

}  // namespace
}  // namespace indigovane::testing
