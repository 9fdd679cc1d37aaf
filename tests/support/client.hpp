// A loopback client of both protocols: sends bytes, collects what is received, parses responses.
#pragma once

#include <doctest/doctest.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/http.hpp"
#include "protocol/pg.hpp"
#include "support/event_loop.hpp"
#include "transport/connection.hpp"

namespace indigovane::testing {

namespace http = protocol::http;
namespace pg = protocol::pg;
using namespace std::chrono_literals;

// One client connection; received bytes are appended to `in`.
struct Client : transport::Connection::Handler {
    explicit Client(Loop& event_loop, const transport::SocketAddress& to)
        : loop(event_loop), connection(std::make_shared<transport::Connection>(event_loop.io)) {
        connection->connect(to, 10s, *this);
        REQUIRE(loop.until([&] { return up; }));
    }
    ~Client() { connection->close(); }
    void on_connected() override {
        up = true;
        connection->established();
    }
    void on_data(transport::Buffer& received) override {
        in += received.view();
        received.consume(received.size());
    }
    void on_closed(const transport::error_code&) override { closed = true; }
    void send(std::string bytes) { connection->write(std::move(bytes)); }

    // REST: the next complete response. Its fields are views into `last`.
    http::Response response() {
        const http::Limits limits{65536, 8 << 20};
        http::Response parsed;
        std::size_t length = 0;
        REQUIRE(loop.until([&] {
            return http::Parser(limits).response(in, closed, parsed, length) == http::Next::message;
        }));
        last = in.substr(0, length);
        in.erase(0, length);
        http::Parser(limits).response(last, closed, parsed, length);
        body = parsed.body;
        return parsed;
    }
    http::Response get(const std::string& target, const std::vector<http::Field>& fields = {}) {
        send(http::write_request("GET", target, "test", fields));
        return response();
    }
    // PostgreSQL: the types of the messages up to and with the next ReadyForQuery (ParameterStatus and
    // BackendKeyData left out). Sets `code` and `detail` of the last error and `value` of the last row.
    std::string reply() {
        std::string types;
        code.clear();
        detail.clear();
        REQUIRE(loop.until([&] { return closed_or_ready(types); }));
        return types;
    }

    Loop& loop;
    std::shared_ptr<transport::Connection> connection;
    std::string in;
    std::string last;
    std::string body;
    std::string code;
    std::string detail;
    std::string value;
    bool up = false;
    bool closed = false;

  private:
    // Consumes complete messages up to ReadyForQuery; false: more bytes are needed.
    bool closed_or_ready(std::string& types) {
        for (;;) {
            pg::Message message;
            std::size_t length = 0;
            if (pg::next_message(in, 8 << 20, message, length) != pg::Next::message) return closed;
            if (message.type != 'S' && message.type != 'K') types += message.type;
            if (message.type == 'E') read_error(message.body);
            if (message.type == 'D') value = (*pg::read_values(message.body))[0].value_or("");
            in.erase(0, length);
            if (types.back() == 'Z') return true;
        }
    }
    void read_error(std::string_view fields) {
        code = pg::read_error(fields).code;
        std::size_t at = fields.find(std::string_view("\0D", 2));
        if (at != std::string_view::npos) detail = fields.substr(at + 2).data();
    }
};

}  // namespace indigovane::testing
