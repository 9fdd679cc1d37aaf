// What the network tests share: a loop with the core in it, clients, hosts that stand in for members, and
// random steps with a fixed seed. Everything listens on loopback ports that the system picks.
#pragma once

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

#include "adapters/classes.hpp"
#include "adapters/rest.hpp"
#include "protocol/http.hpp"
#include "protocol/pg.hpp"
#include "routing/loop_core.hpp"
#include "transport/listener.hpp"

namespace indigovane::testing {

namespace http = protocol::http;
namespace pg = protocol::pg;
using nlohmann::json;
using namespace std::chrono_literals;

inline transport::SocketAddress loopback() {
    return {boost::asio::ip::make_address("127.0.0.1"), 0};
}
inline std::string text(const transport::SocketAddress& at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
}

struct NullLogger : routing::Logger {
    void log(routing::Level, const char* id, const std::string&, const Data&) override { ++lines[id]; }
    std::map<std::string, int> lines;
};

// Connections without a network: what a test does not bring about does not happen.
struct FakeLink : routing::BackendConnection {
    void submit(const routing::ClientRequest&, routing::Duration, std::optional<std::int64_t>) override {
        busy = true;
    }
    void probe() override { busy = true; }
    bool quiet() override { return !noisy; }
    void close() override { closed = true; }
    Owner* owner = nullptr;
    bool up = false, busy = false, closed = false, noisy = false;
    int used = 0;
};

struct FakeBackend : routing::Backend {
    std::shared_ptr<routing::BackendConnection> open(const std::string& address, routing::Duration,
                                                     routing::BackendConnection::Owner& owner) override {
        opened.push_back(address);
        links.push_back(std::make_shared<FakeLink>());
        links.back()->owner = &owner;
        return links.back();
    }
    std::vector<std::shared_ptr<FakeLink>> links;
    std::vector<std::string> opened;
};

// Runs handlers and batches until something holds. The limit only ends a test that would hang.
struct Loop {
    boost::asio::io_context io;
    std::function<void()> batch = [] {};

    bool until(const std::function<bool()>& holds) {
        auto limit = std::chrono::steady_clock::now() + 20s;
        while (!holds()) {
            if (std::chrono::steady_clock::now() > limit) return false;
            io.restart();
            io.run_one_for(20ms);
            io.poll();
            batch();
        }
        return true;
    }
    void settle() {  // whatever is ready now
        for (int i = 0; i < 20; ++i) {
            io.restart();
            io.run_for(1ms);
            batch();
        }
    }
};

// One connection from the outside; what comes back piles up in `in`.
struct Client : transport::Connection::Handler {
    explicit Client(Loop& l, const transport::SocketAddress& to)
        : loop(l), connection(std::make_shared<transport::Connection>(l.io)) {
        connection->connect(to, 10s, *this);
        REQUIRE(loop.until([&] { return up; }));
    }
    ~Client() { connection->close(); }
    void on_connected() override {
        up = true;
        connection->established();
    }
    void on_data(transport::Buffer& b) override {
        in += b.view();
        b.consume(b.size());
    }
    void on_closed(const transport::error_code&) override { closed = true; }
    void send(std::string bytes) { connection->write(std::move(bytes)); }

    // REST: the next whole response.
    http::Response response() {
        http::Response r;
        std::size_t length = 0;
        REQUIRE(loop.until([&] {
            return http::Parser({65536, 8 << 20}).response(in, closed, r, length) == http::Next::message;
        }));
        last = in.substr(0, length);  // the fields are views
        in.erase(0, length);
        http::Parser({65536, 8 << 20}).response(last, closed, r, length);
        body = r.body;
        return r;
    }
    http::Response get(const std::string& target, const std::vector<http::Field>& fields = {}) {
        send(http::write_request("GET", target, "test", fields));
        return response();
    }
    // pg: the types of the messages up to and with the next ReadyForQuery, and the last error's code.
    std::string reply() {
        std::string types;
        code.clear(), detail.clear();
        REQUIRE(loop.until([&] {
            for (;;) {
                pg::Message m;
                std::size_t length = 0;
                if (pg::next_message(in, 8 << 20, m, length) != pg::Next::message) return closed;
                if (m.type != 'S' && m.type != 'K') types += m.type;
                if (m.type == 'E') {
                    code = pg::read_error(m.body).code;
                    std::size_t d = m.body.find(std::string_view("\0D", 2));
                    if (d != std::string_view::npos) detail = m.body.substr(d + 2).data();
                }
                if (m.type == 'D') value = (*pg::read_values(m.body))[0].value_or("");
                in.erase(0, length);
                if (types.back() == 'Z') return true;
            }
        }));
        return types;
    }

    Loop& loop;
    std::shared_ptr<transport::Connection> connection;
    std::string in, last, body, code, detail, value;
    bool up = false, closed = false;
};

// A member's data and manners, whatever wire it speaks.
struct Host {
    std::map<std::string, std::string> rows;
    bool primary = false, silent = false, failing = false, refusing = false, checks = true;
    std::int64_t lag_ms = 0;  // behind the present; a primary is not
    int probes = 0;
    int queries = 0, cut = 0;  // asked; given up by the other side before their answer
    std::string takes_back;    // a SQLSTATE that follows the row in place of the answer's end
    bool open = false;         // takes any statement: answers two columns, or what `says` holds for it
    std::map<std::string, std::string>
        says;  // the start of a statement's body: a SQLSTATE, or "" for no rows
    std::map<std::string, std::chrono::milliseconds> takes;  // likewise: how long its answer takes
    int cores = 1000;                                        // so many at a time; others wait for theirs
    int busy = 0;
    std::deque<std::function<void()>> line;  // what waits for a core
    std::vector<std::string> asked;
    std::vector<std::string> ran;                             // writes that took effect, with their comments
    std::vector<std::chrono::steady_clock::time_point> came;  // when each was asked
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

// Accepts connections and hands the bytes of each to `answer`, which returns what is to be sent back.
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
    void reset_all() {
        for (auto& p : peers_) reset(*p->connection);
        peers_.clear();
    }
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
            if (waiting) ++owner.host_.cut;
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
        bool started = false, waiting = false;
    };
    virtual bool take(Peer& peer, transport::Buffer& in, std::string& out) = 0;
    static void reset(transport::Connection& connection) {
        int fd = connection.release();
        if (fd < 0) return connection.close();  // something is unwritten yet
        linger none{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        ::close(fd);
    }
    virtual void left(Peer&) {}

    Loop& loop_;
    Host& host_;

  private:
    std::set<std::shared_ptr<Peer>> peers_;
    transport::Listener listener_;
};

class RestHost : public StandIn {
  public:
    using StandIn::StandIn;

  protected:
    bool take(Peer& peer, transport::Buffer& in, std::string& out) override {
        http::Request r;
        std::size_t length = 0;
        if (http::Parser({65536, 8 << 20}).request(in.view(), r, length) != http::Next::message) return false;
        auto target = *http::read_target(r.target);
        std::string position = std::to_string(host_.position());
        std::vector<http::Field> fields{{"Data-Position", position},
                                        {"Member-Role", host_.primary ? "primary" : "replica"}};
        if (target.segments[0] == "health") {
            json body{{"position_ms", host_.position()}, {"primary", host_.primary}, {"inflight", 0}};
            out += http::write_response(200, {}, body.dump(), true);
        } else {
            ++host_.queries;
            host_.asked.push_back(std::string(r.method) + " " + std::string(r.target));
            auto floor = r.field("min-position");
            if (host_.silent)
                peer.waiting = true;
            else if (host_.failing)
                out += http::write_response(500, fields, "", true);
            else if (host_.refusing)
                out += http::write_response(503, fields, "", true);
            else if (r.method == "PUT" && !host_.primary)
                out += http::write_response(421, fields, "", true);
            else if (r.method == "PUT")
                out += http::write_response(200, fields, host_.rows[target.segments[4]] = r.body, true);
            else if (host_.checks && floor && std::stoll(std::string(*floor)) > host_.position())
                out += http::write_response(412, fields, "", true);
            else if (target.segments.size() == 5 && !host_.rows.count(target.segments[4]))
                out += http::write_response(404, fields, "", true);
            else if (target.segments.size() == 5)
                out += http::write_response(200, fields, host_.rows[target.segments[4]], true);
            else
                out += http::write_response(
                    200, fields,
                    json{{"items", adapters::rest::write_rows(
                                       host_.page(std::string(*target.parameter("after")),
                                                  std::string(target.parameter("prefix").value_or("")),
                                                  std::stoul(std::string(*target.parameter("limit")))))}}
                        .dump(),
                    true);
        }
        in.consume(length);
        return true;
    }
};

// A stand-in that speaks PostgreSQL's protocol: framing, and the report of a host's state.
class PgStandIn : public StandIn {
  public:
    using StandIn::StandIn;

  protected:
    // Takes the next whole message out of `in`: a startup packet first, then messages with a text. Nothing:
    // more must come.
    static std::optional<std::string> next_text(const Peer& peer, transport::Buffer& in) {
        pg::Message m;
        std::size_t length = 0;
        auto next = peer.started ? pg::next_message(in.view(), 16 << 20, m, length)
                                 : pg::next_startup(in.view(), 10000, m, length);
        if (next != pg::Next::message) return std::nullopt;
        std::string text(m.body.substr(0, m.body.find('\0')));
        in.consume(length);
        return text;
    }
    // What SHOW health is answered.
    static std::string health(std::int64_t position_ms, bool primary) {
        std::string position = std::to_string(position_ms);
        std::string seconds =
            position.substr(0, position.size() - 3) + "." + position.substr(position.size() - 3);
        std::string report = "x0=" + seconds + ",x1=" + (primary ? "1" : "0") + ",inflight=0";
        return pg::Writer()
            .row_description({{"health", 25, false}})
            .data_row({report})
            .complete("SHOW")
            .ready()
            .take();
    }
};

class PgHost : public PgStandIn {
  public:
    using PgStandIn::PgStandIn;

  protected:
    bool take(Peer& peer, transport::Buffer& in, std::string& out) override {
        auto next = next_text(peer, in);
        if (!next) return false;
        const std::string& body = *next;
        if (!std::exchange(peer.started, true)) {
            out += pg::Writer().authentication_ok().parameter("server_version", "15").ready().take();
            return true;
        }
        if (body == "SHOW health") {
            ++host_.probes;
            out += health(host_.position(), host_.primary);
            return true;
        }
        ++host_.queries;
        host_.asked.push_back(body);
        host_.came.push_back(std::chrono::steady_clock::now());
        if (host_.silent) {
            peer.waiting = true;
            return true;
        }
        std::string_view statement = pg::read_statement(body).body;
        for (auto& [start, time] : host_.takes)
            if (statement.substr(0, start.size()) == start) {
                work(peer, time, body);
                return true;
            }
        out += answer(body);
        return true;
    }

    // One that takes time takes a core for as long; its answer comes then, if its connection is still there.
    void work(Peer& peer, std::chrono::milliseconds time, const std::string& body) {
        auto run = [this, time, body, weak = std::weak_ptr<transport::Connection>(peer.connection)] {
            ++host_.busy;
            auto timer = std::make_shared<boost::asio::steady_timer>(loop_.io, time);
            timer->async_wait([this, timer, body, weak](const boost::system::error_code& ec) {
                if (ec) return;
                --host_.busy;
                if (auto connection = weak.lock(); connection && connection->open())
                    connection->write(answer(body));
                if (!host_.line.empty() && host_.busy < host_.cores) {
                    auto next = std::move(host_.line.front());
                    host_.line.pop_front();
                    next();
                }
            });
        };
        if (host_.busy < host_.cores)
            run();
        else
            host_.line.push_back(run);
    }

    std::string answer(const std::string& body) {
        pg::Writer w;
        std::string position = std::to_string(host_.position());
        std::string_view statement = pg::read_statement(body).body;
        pg::Verb verb = pg::read_verb(statement);
        if (host_.open && verb.kind == pg::Verb::Kind::other) {
            std::string code = "rows";
            for (auto& [start, said] : host_.says)
                if (statement.substr(0, start.size()) == start) code = said;
            if (code == "rows")
                w.row_description({{"a", 25, false}, {"b", 25, false}})
                    .data_row({"one", std::nullopt})
                    .data_row({host_.primary ? "primary" : "replica", "2"})
                    .complete("SELECT 2");
            else if (code.empty())
                w.complete("DELETE 3");
            else
                w.error("ERROR", code, "as the host says");
            w.parameter("recovery", host_.primary ? "off" : "on").parameter("lsn_ms", position);
            return w.ready().take();
        }
        if (host_.failing)
            w.error("ERROR", "XX000", "broken");
        else if (host_.refusing)
            w.error("ERROR", "53300", "full");
        else if (verb.kind == pg::Verb::Kind::write && !host_.primary)
            w.error("ERROR", "25006", "read-only");
        else if (verb.kind == pg::Verb::Kind::page) {
            w.row_description({{"name", 25, false}, {"content", 17, true}});
            auto rows = host_.page(verb.name, verb.prefix.value_or(""), verb.limit);
            for (auto& row : rows) w.data_row({row.name, row.content});
            w.complete("SELECT " + std::to_string(rows.size()));
        } else {
            if (!verb.long_content.empty()) verb.content = std::string(verb.long_content);
            if (verb.content) host_.ran.push_back(body);
            if (verb.content) host_.rows[verb.name] = pg::unhex(*verb.content).value_or(*verb.content);
            w.row_description({{"content", 17, true}}).data_row({host_.rows[verb.name]});
            if (host_.takes_back.empty())
                w.complete(verb.content ? "INSERT 0 1" : "SELECT 1");
            else
                w.error("ERROR", host_.takes_back, "after the row");
        }
        w.parameter("recovery", host_.primary ? "off" : "on").parameter("lsn_ms", position);
        return w.ready().take();
    }
};

// Classes like a deployment's: a bounded read, a session read, a write.
inline policy::Settings settings() {
    policy::Settings s;
    s.fleet_size = 1, s.health_checks = true, s.cancels = true, s.retry_after = true, s.max_attempts = 10;
    s.max_retry_after = 1s, s.token_source = policy::TokenSource::remembered;
    s.staleness_check = policy::StalenessCheck::wait;
    for (auto [consistency, idempotency] :
         {std::pair{policy::Consistency::bounded, policy::Idempotency::idempotent},
          {policy::Consistency::session, policy::Idempotency::idempotent},
          {policy::Consistency::write, policy::Idempotency::idempotency_key}}) {
        policy::ClassSettings c;
        c.consistency = consistency, c.idempotency = idempotency;
        c.latency_objective = 2s, c.deadline = 4s, c.staleness_bound = 3s, c.deduplication_window = 2s;
        c.deduplication_scope = policy::DeduplicationScope::group;
        s.classes.push_back(c);
    }
    return s;
}
inline adapters::Classes classes() {
    return adapters::Classes({{"stock-view", routing::ClassId{0}, 4s, false, false},
                              {"own-order", routing::ClassId{1}, 4s, false, true},
                              {"scan-write", routing::ClassId{2}, 4s, true, false, true}});
}

// A folder of its own, as $TMPDIR is.
struct Folder {
    Folder() {
        std::string name = (std::filesystem::temp_directory_path() / "indigovane-XXXXXX").string();
        path = ::mkdtemp(name.data());
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string path;
};

// Random steps with a fixed seed: the same on every machine.
class Dice {
  public:
    explicit Dice(std::uint64_t seed) : engine_(seed) {}
    std::size_t below(std::size_t n) { return std::size_t(engine_() % n); }

  private:
    std::mt19937_64 engine_;
};

}  // namespace indigovane::testing
