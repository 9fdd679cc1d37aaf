// A host of a soak run: a primary or a replica of one group that executes, lags, rejects and fails as its
// faults of the moment say, and records what it did.
#pragma once

#include "processes/soak_record.hpp"
#include "support/harness.hpp"

namespace indigovane::testing {

// Commits of one group's primary, by key.
struct SoakStore {
    struct Commit {
        std::int64_t at_unix_ms;
        std::string content;
    };
    std::map<std::string, std::vector<Commit>> commits;
    std::map<std::string, std::string> by_idempotency_key;
    int index(const std::string& key, std::int64_t position_unix_ms) const {
        auto it = commits.find(key);
        int newest = -1;
        if (it == commits.end()) return newest;
        for (std::size_t i = 0; i < it->second.size(); ++i)
            if (it->second[i].at_unix_ms <= position_unix_ms) newest = int(i);
        return newest;
    }
};

// Faults of a host; several at once. Shares are of the statements.
struct SoakFaults {
    bool hangs = false;           // accepts statements and answers none
    bool down = false;            // resets every connection
    bool closes_idle = false;     // after each answer
    Millis slow{0};               // more than usual
    Millis lag{0};                // of a replica
    double refuses = 0;           // 53300 before anything is executed
    double errors_after_row = 0;  // the row, then an error
    double resets_before = 0;     // executed, then reset without an answer
    double resets_within = 0;     // ... after half of the answer
    double stops_within = 0;      // half of the answer, then nothing
    double garbage = 0;           // executed, an answer of the wrong form
    double closes_at_answer = 0;  // the answer, and the end in the same moment
    double errs = 0;              // XX000
    double pauses = 0;            // half of the answer, and the rest 200 ms later
    double dribbles = 0;          // the answer as single bytes
    double never_ends = 0;        // the beginning of the answer, then notices without an end
};

class SoakHost : public PgStandIn {
  public:
    SoakHost(Loop& loop, Host& base, SoakRecord& record, SoakStore& store, std::size_t number,
             std::uint64_t seed)
        : PgStandIn(loop, base), record_(record), store_(store), number_(number), random_(seed) {}

    // All connections are reset.
    void reset_every_connection() {
        auto now = std::chrono::steady_clock::now();
        for (const auto& [peer, what] : in_flight_) record_.attempt_closed(what.first, what.second, now);
        in_flight_.clear();
        reset_all();
    }

    SoakFaults faults;

  protected:
    struct Work {
        std::string id, body;
        std::size_t attempt;
        std::weak_ptr<transport::Connection> connection;
    };

    bool take(Peer& peer, transport::Buffer& in, std::string& out) override {
        auto body = next_text(peer, in);
        if (!body) return false;
        if (faults.down) {
            reset(*peer.connection);
            return false;
        }
        if (!std::exchange(peer.started, true)) {
            out += pg::Writer().authentication_ok().ready().take();
            return true;
        }
        if (*body == "SHOW health") {
            if (!faults.hangs) out += health(position(), host_.primary);
            return true;
        }
        begin(peer, *body);
        return true;
    }
    void left(Peer& peer) override {
        auto it = in_flight_.find(&peer);
        if (it == in_flight_.end()) return;
        record_.attempt_closed(it->second.first, it->second.second, std::chrono::steady_clock::now());
        in_flight_.erase(it);
    }

  private:
    std::int64_t now_unix_ms() const { return host_.clock.to_unix(host_.clock.now()) / 1000; }
    std::int64_t position() const { return now_unix_ms() - (host_.primary ? 0 : faults.lag.count()); }
    bool draw(double share) { return share > 0 && double(random_() % 100000) < share * 100000; }

    void reset_at_work(const Work& work, transport::Connection& connection) {
        record_.attempt_closed(work.id, work.attempt, std::chrono::steady_clock::now());
        reset(connection);
    }

    void begin(Peer& peer, const std::string& body) {
        pg::Statement statement = pg::read_statement(body);
        std::string id(statement.field("id").value_or(""));
        Millis deadline(std::atoi(std::string(statement.field("d").value_or("0")).c_str()));
        std::size_t attempt =
            record_.attempt_started(id, number_, deadline, std::chrono::steady_clock::now());
        in_flight_[&peer] = {id, attempt};
        if (faults.hangs) return;
        Work work{id, body, attempt, peer.connection};
        call_later(Millis(1 + random_() % 12) + faults.slow, [this, work] { finish(work); });
    }

    void finish(const Work& work) {
        auto connection = work.connection.lock();
        // A statement whose connection is closed may be dropped or may run.
        if (!connection || !connection->open()) {
            if (random_() % 2) execute(work);
            return;
        }
        if (draw(faults.refuses)) return reject(work, *connection, "53300");
        if (draw(faults.errs)) return answer(work, *connection, error("XX000"));
        pg::Statement statement = pg::read_statement(work.body);
        pg::Verb verb = pg::read_verb(statement.body);
        if (verb.content && !host_.primary) return reject(work, *connection, "25006");
        // Hosts check session reads for themselves, but know of a commit 100 ms late.
        if (!verb.content && statement.field("c") == "own" &&
            store_.index(verb.name, position()) < store_.index(verb.name, now_unix_ms() - 100))
            return reject(work, *connection, "72000");
        deliver(work, *connection, execute(work));
    }

    void deliver(const Work& work, transport::Connection& connection, std::string bytes) {
        if (draw(faults.resets_before)) return reset_at_work(work, connection);
        if (draw(faults.garbage)) return answer(work, connection, pg::Writer().complete("SELECT 7").take());
        if (draw(faults.resets_within)) {
            connection.write(bytes.substr(0, bytes.size() / 2));
            return reset_at_work(work, connection);
        }
        if (draw(faults.stops_within)) return connection.write(bytes.substr(0, bytes.size() / 2));
        if (draw(faults.never_ends)) return write_notices(work.connection);
        if (draw(faults.dribbles)) return write_in_pieces(work, bytes, 1, Millis(2));
        if (draw(faults.pauses)) return write_in_pieces(work, bytes, bytes.size() / 2 + 1, Millis(200));
        if (draw(faults.errors_after_row)) {
            pg::Writer w;
            w.row_description({{"content", 17, true}}).data_row({"taken back"});
            w.error("ERROR", random_() % 2 ? "53300" : "57P03", "after the row");
            return answer(work, connection, w.ready().take());
        }
        answer(work, connection, std::move(bytes));
        if (draw(faults.closes_at_answer) || faults.closes_idle)
            connection.close_after_writing(transport::Connection::LateInput::unread);
    }

    // Writes pieces of that many bytes, with `pause` between them.
    void write_in_pieces(const Work& work, const std::string& bytes, std::size_t piece, Millis pause) {
        auto connection = work.connection.lock();
        if (!connection || !connection->open()) return;
        if (bytes.size() <= piece) return answer(work, *connection, bytes);
        connection->write(bytes.substr(0, piece));
        call_later(pause, [this, work, rest = bytes.substr(piece), piece, pause] {
            write_in_pieces(work, rest, piece, pause);
        });
    }
    // Writes notices for as long as the connection is open, a batch each time that the last one is gone.
    void write_notices(const std::weak_ptr<transport::Connection>& weak) {
        constexpr std::size_t kBatchBytes = 64 * 1024;
        auto connection = weak.lock();
        if (!connection || !connection->open()) return;
        if (connection->all_written()) {
            std::string notice =
                pg::Writer().plain('N', std::string("SNOTICE\0C00000\0Mgoes on\0\0", 25)).take();
            std::string batch;
            while (batch.size() < kBatchBytes) batch += notice;
            connection->write(std::move(batch));
        }
        call_later(Millis(1), [this, weak] { write_notices(weak); });
    }
    void call_later(Millis time, std::function<void()> what) {
        auto timer = std::make_shared<boost::asio::steady_timer>(loop_.io, time);
        timer->async_wait([timer, what = std::move(what)](const boost::system::error_code& ec) {
            if (!ec) what();
        });
    }

    static std::string error(const char* code) {
        return pg::Writer().error("ERROR", code, "as scripted").ready().take();
    }
    void answer(const Work& work, transport::Connection& connection, std::string bytes) {
        record_.ended(work.id, work.attempt);
        connection.write(std::move(bytes));
    }
    void reject(const Work& work, transport::Connection& connection, const char* code) {
        record_.executed(work.id, work.attempt, Executed::never);
        answer(work, connection, error(code));
    }

    // Runs the statement; its answer.
    std::string execute(const Work& work) {
        pg::Statement statement = pg::read_statement(work.body);
        pg::Verb verb = pg::read_verb(statement.body);
        record_.executed(work.id, work.attempt, Executed::yes);
        std::int64_t reported_position = position();
        std::string content;
        if (verb.content) {
            content = pg::unhex(*verb.content).value_or(*verb.content);
            std::string key(statement.field("k").value_or(""));
            if (key.empty() || store_.by_idempotency_key.emplace(key, work.id).second) {
                reported_position = now_unix_ms() + 1;
                store_.commits[verb.name].push_back({reported_position, content});
            }
        } else if (int i = store_.index(verb.name, reported_position); i >= 0) {
            content = store_.commits[verb.name][std::size_t(i)].content;
        }
        pg::Writer w;
        w.row_description({{"content", 17, true}}).data_row({content});
        w.complete(verb.content ? "INSERT 0 1" : "SELECT 1");
        w.parameter("recovery", host_.primary ? "off" : "on")
            .parameter("lsn_ms", std::to_string(reported_position));
        return w.ready().take();
    }

    SoakRecord& record_;
    SoakStore& store_;
    std::size_t number_;
    std::mt19937_64 random_;
    std::map<Peer*, std::pair<std::string, std::size_t>> in_flight_;
};

}  // namespace indigovane::testing
