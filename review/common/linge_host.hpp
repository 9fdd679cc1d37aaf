// A stand-in database host of the first operator's kind: it welcomes everyone at once, answers `SHOW health`,
// runs a statement for 50 ms and answers it with a value, whose size follows from the request's id or is
// 1,024 bytes.
#pragma once

#include "lab.hpp"

namespace lab {

constexpr std::size_t kSizes[] = {1024, 16384, 49152, 65536};
inline std::size_t size_of_value(const std::string& id) {
    return kSizes[std::stoul(id.substr(0, 2), nullptr, 16) % 4];
}

struct LingeHost {
    std::string uid;
    bool primary = false;
    bool has_large_values = false;
    // Every tenth answer comes in two pieces, with `pause_ms` between the value and the answer's end.
    double pause_ms = 0;
    // Spoils every tenth answer from `spoils_from` on: notices follow each other without an end.
    bool spoils = false;
    std::atomic<double> spoils_from{0};
    double never_ends_for_ms = 30000;
    Record* record = nullptr;
    std::atomic<int> answers{0}, spoilt{0}, paused{0};
    std::unique_ptr<Listener> listener;

    void serve(Socket& socket) {
        std::string in;
        bool started = false;
        for (;;) {
            std::size_t head = started ? 1 : 0;
            if (in.size() < head + 4 || in.size() < pg::read32(in.data() + head) + head) {
                if (socket.receive(in, -1) != Socket::Got::bytes) return;
                continue;
            }
            std::size_t length = pg::read32(in.data() + head) + head;
            std::string body = in.substr(head + 4, length - head - 4);
            char type = started ? in[0] : 's';
            in.erase(0, length);
            if (type == 'X') return;
            if (!started) {
                started = true;
                socket.send(pg::message('R', std::string(4, '\0')) + pg::ready());
                continue;
            }
            if (!query(socket, body.substr(0, body.size() - 1))) return;
        }
    }
    std::string state(double position) const {
        return pg::parameter("recovery", primary ? "off" : "on") +
               pg::parameter("lsn_ms", std::to_string(std::int64_t(position)));
    }
    bool query(Socket& socket, const std::string& sql) {
        double position = now_ms() - (primary ? 0 : 10);
        if (sql == "SHOW health") {
            char report[80];
            std::snprintf(report, sizeof report, "x0=%.3f,x1=%d,concurrent=1", position / 1000, int(primary));
            return socket.send(pg::columns("health", 25, false) + pg::row(report) + pg::complete("SHOW") +
                               pg::ready());
        }
        if (sql.empty()) return socket.send(pg::message('I', "") + pg::ready());
        std::string id = field(sql, "id");
        if (id.empty()) return socket.send(pg::error("ERROR", "08P01", "no client sent this") + pg::ready());
        if (is_write(sql) && !primary)
            return socket.send(pg::error("ERROR", "25006", "read-only") + state(position) + pg::ready());
        record->line("host %s runs %s", uid.c_str(), id.c_str());
        sleep_ms(50);
        if (socket.at_end()) return false;  // called off
        std::size_t size = has_large_values ? size_of_value(id) : 1024;
        std::string value = pg::columns("content", 17, true) + pg::row(std::string(size, 'v'));
        std::string rest =
            pg::complete(is_write(sql) ? "INSERT 0 1" : "SELECT 1") + state(position) + pg::ready();
        if (pause_ms > 0 && ++answers % 10 == 0) {
            ++paused;
            record->line("host %s has sent the value of %zu bytes of %s, the end follows in %.0f ms",
                         uid.c_str(), size, id.c_str(), pause_ms);
            socket.send(value);
            double begin = now_ms();
            while (now_ms() < begin + pause_ms) {
                sleep_ms(5);
                if (!socket.at_end()) continue;
                record->line("host %s: the pooler has closed the connection of %s %.0f ms after the value",
                             uid.c_str(), id.c_str(), now_ms() - begin);
                return false;
            }
            return socket.send(rest);
        }
        if (spoils && now_ms() >= spoils_from && ++answers % 10 == 0) {
            ++spoilt;
            record->line("host %s spoils the answer to %s: it never ends", uid.c_str(), id.c_str());
            double end = now_ms() + never_ends_for_ms;
            std::size_t sent = 0;
            std::string notices;
            std::string notice = pg::message('N', "S" + pg::zero("NOTICE") + "C" + pg::zero("00000") + "M" +
                                                      pg::zero("still at it") + std::string(1, '\0'));
            while (notices.size() < 100000) notices += notice;
            socket.send(pg::columns("content", 17, true));
            while (now_ms() < end && socket.send(notices)) sent += notices.size();
            record->line("host %s: the connection of the spoilt answer to %s ended, %zu bytes", uid.c_str(),
                         id.c_str(), sent);
            return false;
        }
        return socket.send(value + rest);
    }
    void start() {
        listener = std::make_unique<Listener>([this](auto socket) { serve(*socket); });
    }
};

}  // namespace lab
