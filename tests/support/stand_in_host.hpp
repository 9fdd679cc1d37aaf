// A stand-in database host on loopback: its data, its scripted behaviour, and its accepted connections.
// The protocol is the derived class's (rest_host.hpp, pg_host.hpp).
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "routing/interfaces.hpp"
#include "support/event_loop.hpp"
#include "support/loopback.hpp"
#include "transport/connection.hpp"
#include "transport/listener.hpp"

namespace indigovane::testing {

// A stand-in host's data and scripted behaviour, whatever protocol it speaks.
struct Host {
    std::map<std::string, std::string> rows;
    bool primary = false;
    std::int64_t lag_ms = 0;  // replication lag of a replica

    // Scripted faults.
    bool silent = false;                 // accepts requests and answers none
    bool failing = false;                // answers 500, or SQLSTATE XX000
    bool rejecting = false;              // answers 503, or SQLSTATE 53300
    bool checks = true;                  // REST: 412 where its position is behind Min-Position
    std::string sqlstate_after_row;      // an error that follows the row in place of CommandComplete
    bool accepts_any_statement = false;  // answers two columns, unless sqlstate_by_prefix has the statement
    std::map<std::string, std::string> sqlstate_by_prefix;  // of a statement's body; "": no rows
    std::map<std::string, std::chrono::milliseconds> duration_by_prefix;  // of a statement's body

    // Concurrency: statements with a duration use a core each, further ones are queued.
    int cores = 1000;
    int busy_cores = 0;
    std::deque<std::function<void()>> waiting_for_core;

    // What was received.
    int probes = 0;
    int queries = 0;
    int abandoned = 0;  // connections closed by the other side before their answer
    std::vector<std::string> asked;
    std::vector<std::chrono::steady_clock::time_point> query_times;
    std::vector<std::string> executed_writes;  // with their comments
    routing::Clock clock;

    std::int64_t position() const { return clock.to_unix(clock.now()) / 1000 - (primary ? 0 : lag_ms); }
    std::vector<routing::Row> page(const std::string& after, const std::string& prefix,
                                   std::size_t limit) const {
        std::vector<routing::Row> out;
        for (auto it = rows.upper_bound(after); it != rows.end() && out.size() < limit; ++it)
            if (it->first.compare(0, prefix.size(), prefix) == 0) out.push_back({it->first, it->second});
        return out;
    }
};

// Accepts connections and gives the bytes of each to `take`, which appends what is to be sent back.
class StandIn {
  public:
    StandIn(Loop& loop, Host& host)
        : loop_(loop), host_(host), listener_(loop.io, loopback(), [this](auto socket) {
              auto peer = std::make_shared<Peer>(*this);
              peer->connection->limit_unread(32 << 20);
              peers_.insert(peer);
              peer->connection->adopt(std::move(socket), *peer);
          }) {
        listener_.start();
    }
    virtual ~StandIn() {
        listener_.close();
        for (auto& p : peers_) p->connection->close();
    }
    std::string address() const { return text(listener_.local()); }
    std::size_t connections() const { return peers_.size(); }
    // Ends all connections by a TCP reset.
    void reset_all() {
        for (auto& p : peers_) reset(*p->connection);
        peers_.clear();
    }
    // Closes all connections.
    void drop_all() {
        for (auto& p : peers_) p->connection->close();
        peers_.clear();
    }

  protected:
    struct Peer : transport::Connection::Handler {
        explicit Peer(StandIn& s)
            : owner(s), connection(std::make_shared<transport::Connection>(s.loop_.io)) {}
        void on_data(transport::Buffer& in) override {
            std::string out;
            while (owner.take(*this, in, out)) {
            }
            if (!out.empty()) connection->write(std::move(out));
        }
        void on_closed(const transport::error_code&) override {
            if (waiting) ++owner.host_.abandoned;
            owner.left(*this);
            connection->detach();
            for (auto it = owner.peers_.begin(); it != owner.peers_.end(); ++it)
                if (it->get() == this) {
                    owner.peers_.erase(it);
                    return;
                }
        }
        StandIn& owner;
        std::shared_ptr<transport::Connection> connection;
        bool started = false;  // PostgreSQL: its startup packet was received
        bool waiting = false;  // for an answer that is not going to be sent
    };
    // Consumes one message of `in` and appends its answer to `out`; false: more bytes are needed.
    virtual bool take(Peer& peer, transport::Buffer& in, std::string& out) = 0;
    static void reset(transport::Connection& connection) {
        int fd = connection.release();
        if (fd < 0) return connection.close();  // something is unwritten yet
        linger reset_at_close{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_at_close, sizeof reset_at_close);
        ::close(fd);
    }
    // The other side has closed.
    virtual void left(Peer&) {}

    Loop& loop_;
    Host& host_;

  private:
    std::set<std::shared_ptr<Peer>> peers_;
    transport::Listener listener_;
};

}  // namespace indigovane::testing
