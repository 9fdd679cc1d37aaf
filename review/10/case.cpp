// A planned restart with the REST front on. A client has sent several page requests on one connection (HTTP
// pipelining) when the pooler stops taking clients. Does each get its answer?
#include "rig.hpp"

using namespace rig;

namespace {

std::string two_columns() {
    auto column = [](const std::string& name, int type, bool binary) {
        return zero_ended(name) + big32(0) + big16(0) + big32(std::uint32_t(type)) + big16(0xffff) +
               big32(0xffffffff) + big16(binary ? 1 : 0);
    };
    return message('T', big16(2) + column("name", 25, false) + column("content", 17, true));
}

// Takes one whole response from the front of `in`; returns its status and whether it announces the end.
std::optional<std::string> take_response(std::string& in) {
    std::size_t end = in.find("\r\n\r\n");
    if (end == std::string::npos) return std::nullopt;
    std::size_t at = in.find("Content-Length: ");
    std::size_t length = at < end ? std::size_t(std::atoll(in.c_str() + at + 16)) : 0;
    if (in.size() < end + 4 + length) return std::nullopt;
    std::string head = in.substr(0, end);
    in.erase(0, end + 4 + length);
    return head.substr(9, 3) + (head.find("Connection: close") != std::string::npos ? " (Connection: close)" : "");
}

}  // namespace

int main() {
    constexpr int kConnections = 4;
    constexpr int kRequests = 10;
    Host primary("h0"), one("h1"), two("h2");
    primary.primary = true;
    std::vector<Host*> hosts{&primary, &one, &two};
    for (Host* host : hosts)
        host->on_statement = [host](HostConnection& connection, const std::string&) {
            sleep_ms(60);
            std::string out = two_columns();
            for (const char* name : {"r1", "r2", "r3"})
                out += message('D', big16(2) + big32(2) + name + big32(4) + "data");
            connection.send(out + complete("SELECT 3") + host->state_parameters() + ready());
        };
    Discovery discovery;
    discovery.tell(targets(hosts));
    Pooler pooler;
    the_pooler = &pooler;
    pooler.settings = SettingsText().json();
    int rest_port = free_port();
    std::ofstream(scratch() + "/rest.json")
        << "{\"enabled\":true,\"listen\":\"" << at(rest_port)
        << "\",\"members\":\"pg\",\"page_size\":5,\"page_size_most\":50,\"connections\":64,\"syslog\":null}";
    pooler.options = " --rest " + scratch() + "/rest.json";
    pooler.write_config(discovery.port(), discovery.list());
    pooler.start();
    await_ready(pooler);
    sleep_ms(500);

    std::vector<int> sockets;
    for (int i = 0; i < kConnections; ++i) {
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(rest_port);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) finish(2, "no REST front");
        sockets.push_back(fd);
    }
    double stopped = now_ms();
    if (trouble()) pooler.signal(SIGTERM);
    sleep_ms(200);
    for (int fd : sockets) {
        std::string requests;
        for (int i = 0; i < kRequests; ++i)
            requests += "GET /v1/clusters/1/kv?class=view&tenant=north HTTP/1.1\r\nHost: pooler\r\nRequest-Id: " +
                        new_id() + "\r\n\r\n";
        record("client %d sends %d page requests in one write, %.0f ms after SIGTERM", fd, kRequests, now_ms() - stopped);
        send_all(fd, requests);
    }
    std::atomic<int> answered{0}, refused{0}, reset_ends{0};
    std::vector<std::thread> readers;
    for (int fd : sockets)
        readers.emplace_back([&, fd] {
            std::string in;
            for (int count = 0; count < kRequests;) {
                if (auto response = take_response(in)) {
                    record("client %d: answer %d is %s, %.0f ms after SIGTERM", fd, ++count, response->c_str(), now_ms() - stopped);
                    ++answered;
                    if (response->substr(0, 3) != "200") ++refused;
                    continue;
                }
                char byte;
                int got = read_some(fd, in, now_ms() + 5000);
                if (got == 1) continue;
                bool is_reset = got == 0 && ::recv(fd, &byte, 1, MSG_DONTWAIT) < 0 && errno != EAGAIN;
                if (is_reset) ++reset_ends;
                record("client %d: %s after %d answers, %.0f ms after SIGTERM", fd,
                       got == 0 ? "the connection was ended" : "no further answer", count, now_ms() - stopped);
                break;
            }
        });
    for (auto& reader : readers) reader.join();
    int lost = kConnections * kRequests - answered;
    if (!trouble() && (lost > 0 || refused > 0)) finish(2, "not all pages were served");
    finish(lost > 0 ? 1 : 0, std::to_string(lost) + " of " + std::to_string(kConnections * kRequests) +
                                 " page requests got no answer; other answers than 200: " + std::to_string(refused));
}
