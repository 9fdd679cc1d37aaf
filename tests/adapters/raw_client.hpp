// A loopback client whose socket the test controls, and the messages that it sends.
#pragma once

#include <boost/asio/write.hpp>
#include <string>

#include "support/harness.hpp"

namespace indigovane::testing {

// A client's socket. Only the test reads from it and closes it.
struct RawClient {
    RawClient(Loop& event_loop, const transport::SocketAddress& to)
        : loop(event_loop), socket(event_loop.io) {
        socket.connect(to);
        socket.non_blocking(true);
    }
    void send(const std::string& bytes) { boost::asio::write(socket, boost::asio::buffer(bytes)); }
    // Returns everything received. `error` is what ended the reading: would_block if the stream is still
    // open.
    std::string read(boost::system::error_code& error) {
        std::string bytes(1 << 16, '\0');
        std::size_t size = 0;
        error = {};
        while (!error)
            size += socket.read_some(boost::asio::buffer(&bytes[size], bytes.size() - size), error);
        bytes.resize(size);
        return bytes;
    }
    std::size_t unread_bytes() { return socket.available(); }
    Loop& loop;
    boost::asio::ip::tcp::socket socket;
};

// A bounded read of one row.
inline std::string query(const std::string& id, int wait_ms = 4000,
                         const std::string& request_class = "stock-view") {
    return pg::Writer()
        .query("/* id=" + id + ",c=" + request_class + ",t=a,d=" + std::to_string(wait_ms) +
               ",cluster=3 */ SELECT content FROM kv WHERE name = '7f3a9c21e0b4d655'")
        .take();
}
inline std::string startup() {
    return pg::Writer().startup("backend", "store").take();
}

}  // namespace indigovane::testing
