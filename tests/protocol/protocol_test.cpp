// Tests the protocol parsers and writers without I/O: what was written is read back, limits hold, and
// randomly damaged input does not crash a parser.
#include <limits>

#include "protocol/syslog.hpp"
#include "support/harness.hpp"
#include "transport/buffer.hpp"

namespace indigovane::testing {
namespace {

namespace syslog = protocol::syslog;

std::string random_text(Dice& dice, std::size_t max_length, std::string_view alphabet) {
    std::string text;
    for (std::size_t left = dice.below(max_length + 1); left > 0; --left)
        text += alphabet[dice.below(alphabet.size())];
    return text;
}

TEST_CASE("buffer: bytes are read in the order in which they were added, for any sizes") {
    Dice dice(1);
    transport::Buffer buffer;
    std::string expected;
    char next_byte = 0;
    for (int step = 0; step < 20000; ++step) {
        if (dice.below(2)) {
            std::size_t count = dice.below(dice.below(20) ? 300 : 40000);
            auto space = buffer.prepare(count);
            REQUIRE(space.size >= count);
            for (std::size_t i = 0; i < count; ++i) expected += space.data[i] = next_byte++;
            buffer.commit(count);
        } else {
            std::size_t count = dice.below(600) + (dice.below(10) ? 0 : 30000);
            buffer.consume(count);
            expected.erase(0, count);
        }
        REQUIRE(buffer.view() == expected);
    }
    buffer.consume(expected.size());
    CHECK(buffer.capacity() <= 16384);  // a large block is freed once it is empty
}

TEST_CASE("pg: messages that arrive byte by byte are read as they were written") {
    std::string messages = pg::Writer()
                               .query("SELECT 1")
                               .empty_query()
                               .complete("X")
                               .error("ERROR", "53300", "full", "250")
                               .take();
    std::string types, received;
    for (char c : messages) {
        received += c;
        pg::Message message;
        std::size_t length = 0;
        if (pg::next_message(received, 100, message, length) != pg::Next::message) continue;
        types += message.type;
        if (message.type == 'E') {
            CHECK(pg::read_error(message.body).code == "53300");
            CHECK(pg::read_error(message.body).message == "full");
        }
        received.clear();
    }
    CHECK(types == "QICE");
}

TEST_CASE("pg: message lengths are limited and damaged messages do not crash the parser") {
    pg::Message message;
    std::size_t length = 0;
    CHECK(pg::next_message(std::string("Q\0\0\0\3", 5), 100, message, length) == pg::Next::malformed);
    CHECK(pg::next_message("Q\x7f\xff\xff\xff", 100, message, length) == pg::Next::malformed);
    CHECK(pg::next_message(std::string("Q\0\1\0\0", 5), 100, message, length) == pg::Next::too_long);
    CHECK(length == 65537);
    CHECK(pg::next_startup(std::string("\0\0\0\4", 4), 100, message, length) == pg::Next::malformed);
    Dice dice(2);
    std::string row = pg::Writer().data_row({"a", std::nullopt, "ccc"}).take().substr(5);
    auto values = pg::read_values(row);
    REQUIRE(values);
    CHECK((*values)[0] == "a");
    CHECK(!(*values)[1]);
    for (int i = 0; i < 20000; ++i) {
        std::string damaged = row;
        for (std::size_t changes = dice.below(3) + 1; changes > 0; --changes)
            damaged[dice.below(damaged.size())] = char(dice.below(256));
        damaged.resize(dice.below(damaged.size() + 1));
        auto read = pg::read_values(damaged);
        std::size_t total = 2;
        if (read)
            for (auto& value : *read) total += 4 + (value ? value->size() : 0);
        CHECK((!read || total == damaged.size()));
        pg::read_columns(damaged), pg::read_parameter(damaged), pg::read_error(damaged);
    }
}

TEST_CASE("pg: comment fields and statements are read, and forwarding changes only the deadline") {
    std::string sql =
        "/* id=9b,c=basket, t=acme,d=480,cluster=2 */ SELECT content FROM kv WHERE name = 'a;''b'";
    auto statement = pg::read_statement(sql);
    CHECK(!statement.malformed);
    CHECK(!statement.has_several_statements);
    CHECK(statement.field("id") == "9b");
    CHECK(statement.field("t") == "acme");
    CHECK(statement.field("d") == "480");
    CHECK(!statement.field("k"));
    CHECK(pg::read_verb(statement.body).name == "a;'b");
    // Only the field `d` changes.
    std::string changed = pg::with_deadline(sql, statement, "7");
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

TEST_CASE("http: pipelined requests are read byte by byte, and malformed or oversized ones are rejected") {
    std::string requests = http::write_request("GET", "/a?b=c%20d", "h", {{"X", "1"}}) +
                           http::write_request("PUT", "/p", "h", {}, "body") +
                           "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                           "chunked\r\n\r\n3;x\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n";
    http::Parser parser({512, 64});
    std::string received, parsed;
    for (char c : requests) {
        received += c;
        http::Request request;
        std::size_t length = 0;
        auto next = parser.request(received, request, length);
        if (next == http::Next::more) continue;
        REQUIRE(next == http::Next::message);
        parsed += std::string(request.method) + " " + request.body + ";";
        received.erase(0, length);
    }
    CHECK(parsed == "GET ;PUT body;POST abcde;");
    auto parse = [](std::string text) {
        http::Request request;
        std::size_t length = 0;
        return http::Parser({512, 64}).request(text, request, length);
    };
    CHECK(parse("GET /\r\n\r\n") == http::Next::bad);
    CHECK(parse("GET / HTTP/1.1\r\n\r\n") == http::Next::bad);  // Host is missing
    CHECK(parse("GET / HTTP/2.0\r\nHost: h\r\n\r\n") == http::Next::bad_version);
    CHECK(parse("GET / HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n") == http::Next::bad);
    CHECK(parse("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\nx") == http::Next::bad);
    CHECK(parse("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n") == http::Next::body_too_large);
    CHECK(parse("GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n") ==
          http::Next::body_too_large);
    CHECK(parse("GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n") ==
          http::Next::not_implemented);
    CHECK(parse("GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n") ==
          http::Next::bad);
    CHECK(parse("GET /" + std::string(600, 'a')) == http::Next::head_too_large);
    Dice dice(4);
    for (int i = 0; i < 20000; ++i) {
        std::string damaged = requests;
        for (std::size_t changes = dice.below(4); changes > 0; --changes)
            damaged[dice.below(damaged.size())] = char(dice.below(256));
        http::Request request;
        http::Response response;
        std::size_t length = 0;
        if (http::Parser({512, 64}).request(damaged, request, length) == http::Next::message)
            CHECK((length <= damaged.size() && request.body.size() <= 64));
        if (http::Parser({512, 64}).response(damaged, true, response, length) == http::Next::message)
            CHECK(length <= damaged.size());
        http::read_target(damaged);
    }
}

TEST_CASE("http: responses end by length or with the connection, and targets and base64url are decoded") {
    http::Response response;
    std::size_t length = 0;
    std::string until_close = "HTTP/1.1 200 OK\r\n\r\nabc";
    CHECK(http::Parser({}).response(until_close, false, response, length) == http::Next::more);
    CHECK(http::Parser({}).response(until_close, true, response, length) == http::Next::message);
    CHECK(response.body == "abc");
    CHECK(!response.keep_alive);
    std::string framed = http::write_response(503, {{"Retry-After", "1"}}, "x", true) + "HTTP";
    CHECK(http::Parser({}).response(framed, false, response, length) == http::Next::message);
    CHECK(response.status == 503);
    CHECK(length == framed.size() - 4);
    CHECK(http::Parser({}).response("HTTP/1.1 2x0 OK\r\n\r\n", true, response, length) == http::Next::bad);
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
        auto decoded = http::read_target("/" + http::percent_encode(bytes) + "x");
        CHECK((decoded && decoded->segments.at(0) == bytes + "x"));
    }
    CHECK(!http::unbase64url("A"));
    CHECK(!http::unbase64url("AB="));
    CHECK(!http::unbase64url("AB"));  // the unused bits are not zero
}

TEST_CASE("rest: a cursor is accepted only undamaged and only for its own query") {
    using adapters::rest::Query;
    Query query{"stock-view", "s", "t", "p", 3};
    std::string cursor = adapters::rest::write_cursor(query, "row");
    CHECK(adapters::rest::read_cursor(query, cursor) == "row");
    for (Query other : {Query{"x", "s", "t", "p", 3}, Query{"stock-view", "", "t", "p", 3},
                        Query{"stock-view", "s", "tp", "", 3}, Query{"stock-view", "s", "t", "p", 4}})
        CHECK(!adapters::rest::read_cursor(other, cursor));
    for (std::size_t i = 0; i < cursor.size(); ++i) {
        std::string damaged = cursor;
        damaged[i] = damaged[i] == 'A' ? 'B' : 'A';
        CHECK(!adapters::rest::read_cursor(query, damaged));
        CHECK(!adapters::rest::read_cursor(query, cursor.substr(0, i)));
    }
}

TEST_CASE("syslog: written messages are read back, including escaped characters") {
    Dice dice(6);
    const std::string_view characters = "ab\"\\] =[\xc3\xa9\n";
    for (int i = 0; i < 5000; ++i) {
        syslog::Message message;
        message.facility = int(dice.below(24));
        message.severity = syslog::Severity(dice.below(8));
        message.timestamp = syslog::timestamp(std::int64_t(dice.below(4'000'000'000)) * 1'000'000 + 5);
        message.host = random_text(dice, 5, "ab."), message.app = "app",
        message.id = random_text(dice, 5, "xy");
        for (std::size_t element_number = dice.below(3); element_number > 0; --element_number) {
            syslog::Element element{"e" + std::to_string(element_number) + "@32473", {}};
            for (std::size_t parameter_number = dice.below(4); parameter_number > 0; --parameter_number)
                element.parameters.emplace_back("p" + std::to_string(parameter_number),
                                                random_text(dice, 8, characters));
            message.data.push_back(element);
        }
        message.text = random_text(dice, 10, characters);
        auto parsed = syslog::read(syslog::write(message));
        REQUIRE(parsed);
        CHECK(*parsed == message);
    }
    CHECK(syslog::timestamp(1767225600123456) == "2026-01-01T00:00:00.123456Z");
    syslog::Message invalid_names;
    invalid_names.host = "a b\n", invalid_names.data = {{"bad name]", {{"x=\"", "v"}}}};
    auto parsed = syslog::read(syslog::write(invalid_names));
    REQUIRE(parsed);
    CHECK(parsed->host == "a_b_");
    CHECK(parsed->data[0].id == "bad_name_");
    for (const char* malformed :
         {"", "<", "<14>", "<192>1 - - - - - -", "<014>1 - - - - - -", "<14>2 - - - - - -", "<14>1 - - - - -",
          "<14>1 - - - - - [", "<14>1 - - - - - [a b=\"c]", "<14>1 - - - - - [a b=\"]\"]",
          "<14>1 - - - - - [a b=c]", "<14>1 - - - - - -x", "<14>1 - - - - - [=]"})
        CHECK_MESSAGE(!syslog::read(malformed), malformed);
}

TEST_CASE("syslog: frames are read by octet counting, and malformed lengths are rejected") {
    std::string frames = syslog::frame("<14>1 - - - - - -") + syslog::frame("two words") + "5 ab", received;
    std::vector<std::string> messages;
    for (char c : frames) {
        received += c;
        std::string_view message;
        std::size_t length = 0;
        if (syslog::next_frame(received, 100, message, length) != syslog::Next::message) continue;
        messages.emplace_back(message);
        received.erase(0, length);
    }
    CHECK(messages == std::vector<std::string>{"<14>1 - - - - - -", "two words"});
    CHECK(received == "5 ab");
    for (const char* malformed : {"x 1", "0 ", "-1 a", " a", "101 a", "99999999999 a", "05 abcde"}) {
        std::string_view message;
        std::size_t length = 0;
        CHECK_MESSAGE(syslog::next_frame(malformed, 100, message, length) == syslog::Next::malformed,
                      malformed);
    }
}

}  // namespace
}  // namespace indigovane::testing
