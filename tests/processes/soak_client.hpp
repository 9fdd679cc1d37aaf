// A client of a soak run: one connection, one request at a time, driven by ticks. It may write its request in
// pieces, close in the middle, stop half-way and stay, or idle until the pooler ends its connection.
#pragma once

#include "processes/soak_host.hpp"

namespace indigovane::testing {

// What a client sees of its pooler.
struct SoakPooler {
    std::optional<transport::SocketAddress> at;  // none: not serving
    int life = 0;
    SteadyTime terminated_at{};  // SIGTERM; the epoch: not sent
    bool killed = false;         // this life
};

class SoakClient : private transport::Connection::Handler {
  public:
    SoakClient(Loop& loop, SoakRecord& record, SoakPooler& pooler, std::size_t number, std::uint64_t seed)
        : loop_(loop), record_(record), pooler_(pooler), number_(number), random_(seed) {}
    ~SoakClient() { drop(); }

    double leaves = 0;      // share of requests that are left in the middle
    bool stopping = false;  // no new request

    bool busy() const { return !id_.empty(); }

    void tick(SteadyTime now) {
        if (!connection_) {
            if (pooler_.at && now >= next_ && !stopping) connect();
            return;
        }
        if (busy()) return wait(now);
        if (greeted_ && now >= next_ && !stopping) send_request(now);
    }

  private:
    void connect() {
        life_ = pooler_.life;
        greeted_ = false;
        in_.clear();
        connection_ = std::make_shared<transport::Connection>(loop_.io);
        connection_->connect(*pooler_.at, std::chrono::milliseconds(500), *this);
    }
    void drop() {
        if (connection_) connection_->detach(), connection_->close();
        connection_.reset();
        greeted_ = false;
    }
    void on_connected() override {
        connection_->established();
        connection_->write(pg::Writer().startup("backend", "store").take());
    }

    std::string key() const {
        char text[17];
        std::snprintf(text, sizeof text, "%016zx", number_ * 8 + 1 + std::size_t(key_));
        return text;
    }

    void send_request(SteadyTime now) {
        cls_ = SoakClass(random_() % 4);
        key_ = int(random_() % 3);
        char id[17];
        std::snprintf(id, sizeof id, "%08zx%08x", number_ + 1, unsigned(++requests_));
        id_ = id;
        sent_ = now;
        leaves_at_ =
            double(random_() % 1000) < leaves * 1000 ? now + Millis(1 + random_() % 100) : SteadyTime{};
        write(now);
    }

    void write(SteadyTime now) {
        const SoakClassRule& rule = rule_of(cls_);
        auto left = std::chrono::duration_cast<Millis>(sent_ + rule.deadline - now);
        std::string head =
            "/* id=" + id_ + ",c=" + rule.name + ",d=" + std::to_string(std::max<long>(1, left.count())) +
            ",cluster=" + std::to_string(group()) + (rule.has_idempotency_key ? ",k=" + id_ : "") + " */ ";
        bool writes = cls_ == SoakClass::write || cls_ == SoakClass::book;
        if (writes) ++version_[key_];
        char content[9];
        std::snprintf(content, sizeof content, "%08x", unsigned(version_[key_]));
        std::string statement = writes ? head + "INSERT INTO kv (name, content) VALUES ('" + key() +
                                             "', '\\x" + content + "') RETURNING content"
                                       : head + "SELECT content FROM kv WHERE name = '" + key() + "'";
        needs_ = acknowledged_[key_];
        record_.sent(id_, cls_, now);
        connection_->write(pg::Writer().query(statement).take());
    }
    unsigned group() const { return unsigned(number_ % 4); }

    void wait(SteadyTime now) {
        if (leaves_at_ != SteadyTime{} && now >= leaves_at_) {
            record_.left(id_, now);
            id_.clear();
            drop();
            next_ = now + Millis(20);
            return;
        }
        // A client keeps waiting well beyond its time: what comes late is judged, what never comes is lost.
        if (now > sent_ + rule_of(cls_).deadline + Millis(2500)) {
            excuse_or("never answered");
            drop();
        }
    }

    void excuse_or(const char* how) {
        bool excused = pooler_.killed || pooler_.life != life_;
        if (excused)
            ++record_.excused;
        else
            record_.breach(how, id_);
        id_.clear();
    }

    void on_data(transport::Buffer& b) override {
        in_ += b.view();
        b.consume(b.size());
        std::size_t length = 0;
        pg::Message m;
        while (connection_ && pg::next_message(in_, 1 << 20, m, length) == pg::Next::message) {
            if (m.type == 'E') code_ = pg::read_error(m.body).code;
            if (m.type == 'D') value_ = (*pg::read_values(m.body))[0].value_or("");
            bool over = m.type == 'Z' || (m.type == 'E' && pg::read_error(m.body).severity == "FATAL");
            in_.erase(0, length);
            if (over) ended(std::chrono::steady_clock::now());
        }
    }

    void ended(SteadyTime now) {
        next_ = now + Millis(10 + random_() % 60);
        std::string code = std::exchange(code_, ""), value = std::exchange(value_, "");
        if (!std::exchange(greeted_, true) && !busy()) return;
        if (!busy()) return;
        record_.answered(id_, code, now);
        if (code.empty()) check(value);
        id_.clear();
    }

    // Rule: a session reads its own writes that were acknowledged before the read was sent.
    void check(const std::string& value) {
        int version = 0;
        for (unsigned char c : value) version = version << 8 | c;
        if (cls_ == SoakClass::write || cls_ == SoakClass::book) {
            acknowledged_[key_] = {version, life_};
            if (version != version_[key_]) record_.breach("another's answer", id_);
        } else if (cls_ == SoakClass::own && needs_.life == life_ && version < needs_.version) {
            record_.breach("stale", id_);
        }
    }

    void on_closed(const transport::error_code&) override {
        auto now = std::chrono::steady_clock::now();
        connection_->detach();
        connection_.reset();
        greeted_ = false;
        next_ = now + Millis(20);
        if (!busy()) return;
        // Only a close that crosses the request on its way is none of the pooler's: then it was never read.
        bool ending = pooler_.terminated_at != SteadyTime{} && now < sent_ + Millis(40);
        bool was_read = !record_.request(id_).attempts.empty();
        if (ending && !was_read && !pooler_.killed) {
            ++record_.excused;
            record_.left(id_, now);  // an attempt from now on would mean that it was read
            id_.clear();
            return;
        }
        excuse_or("its connection was closed unanswered");
    }

    struct Acknowledged {
        int version = 0, life = 0;
    };
    Loop& loop_;
    SoakRecord& record_;
    SoakPooler& pooler_;
    std::size_t number_;
    std::mt19937_64 random_;
    std::shared_ptr<transport::Connection> connection_;
    std::string in_, id_, code_, value_;
    SoakClass cls_{};
    int key_ = 0, requests_ = 0, life_ = 0;
    int version_[3] = {};
    Acknowledged acknowledged_[3], needs_;
    SteadyTime sent_{}, next_{}, leaves_at_{};
    bool greeted_ = false;
};

}  // namespace indigovane::testing
