#include "adapters/pg_front.hpp"

#include <algorithm>
#include <charconv>

#include "protocol/pg.hpp"

namespace indigovane::adapters {

namespace pg = protocol::pg;
using namespace routing;

namespace {

constexpr std::size_t kStartupLimit = 10000;       // as PostgreSQL has it
constexpr std::size_t kMessageLimit = 160 * 1024;  // 64 KiB in bytea's text form, and what stands round it
constexpr std::size_t kSkipLimit = 16 << 20;       // a message up to this long is read past
constexpr std::uint32_t kByteaType = 17, kTextType = 25;

template <typename T>
std::optional<T> whole(std::string_view text) {
    T value{};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return value;
}

bool word(std::string_view text, std::string_view expected) {
    return text.size() >= expected.size() &&
           std::equal(expected.begin(), expected.end(), text.begin(),
                      [](char a, char b) { return std::tolower(std::uint8_t(b)) == a; }) &&
           (text.size() == expected.size() || !std::isalnum(std::uint8_t(text[expected.size()])));
}

struct Rejection {
    std::string_view code;
    std::string text;
};

class PgSession : public Session {
  public:
    PgSession(boost::asio::io_context& io, Door& door, const Classes& classes, Intake& intake, Logger& logger)
        : Session(io, door, intake, {.unread = kMessageLimit + 8192}), classes_(classes), logger_(logger) {}

  private:
    enum class Expects { startup, command, rest_of_message, sync };

    bool step(transport::Buffer& in) override {
        in_ = &in;
        switch (expects_) {
            case Expects::startup:
                return startup();
            case Expects::rest_of_message:
                return skip();
            case Expects::command:
            case Expects::sync:
                return command();
        }
        return false;
    }

    bool startup() {
        pg::Message m;
        std::size_t length = 0;
        pg::Next next = pg::next_startup(in_->view(), kStartupLimit, m, length);
        if (next == pg::Next::more) return false;
        if (next != pg::Next::message)
            return fatal(pg::sqlstate::protocol_violation, "malformed startup packet");
        std::uint32_t code = pg::read_u32(m.body);
        in_->consume(length);
        if (code == pg::kSslCode || code == pg::kGssCode) {
            write("N");  // plain TCP only
            return true;
        }
        if (code == pg::kCancelCode) {  // no keys are handed out that it could name
            leave();
            return false;
        }
        if (code >> 16 != 3)
            return fatal(pg::sqlstate::feature_not_supported, "only protocol 3 is spoken here");
        write(pg::Writer()
                  .authentication_ok()
                  .parameter("server_version", "15.0 (indigovane)")
                  .parameter("server_encoding", "UTF8")
                  .parameter("client_encoding", "UTF8")
                  .parameter("DateStyle", "ISO, MDY")
                  .parameter("integer_datetimes", "on")
                  .parameter("standard_conforming_strings", "on")
                  .backend_key(1, 0)
                  .ready()
                  .take());
        expects_ = Expects::command;
        return true;
    }

    bool command() {
        pg::Message m;
        std::size_t length = 0;
        pg::Next next = pg::next_message(in_->view(), kMessageLimit, m, length);
        if (next == pg::Next::more) return false;
        if (next == pg::Next::malformed) return fatal(pg::sqlstate::protocol_violation, "malformed message");
        if (next == pg::Next::too_long) {
            if (length > kSkipLimit) return fatal(pg::sqlstate::program_limit, "the message is too long");
            to_skip_ = length;
            after_skip_ = expects_;
            expects_ = Expects::rest_of_message;
            return true;
        }
        if (expects_ == Expects::sync && m.type != 'S' && m.type != 'X') {
            in_->consume(length);
            return true;
        }
        switch (m.type) {
            case 'Q':
                query(m.body);
                break;
            case 'X':
                leave();
                return false;
            case 'S':  // after what the extended protocol began; by itself it is answered likewise
                expects_ = Expects::command;
                write(pg::Writer().ready().take());
                break;
            case 'H':
                break;  // nothing is ever held back
            case 'P':
            case 'B':
            case 'D':
            case 'E':
            case 'C':
                // Its errors are followed by silence up to the next Sync.
                reject({pg::sqlstate::feature_not_supported, "only simple queries are served"}, false);
                expects_ = Expects::sync;
                break;
            case 'F':
                reject({pg::sqlstate::feature_not_supported, "function calls are not served"});
                break;
            case 'd':
            case 'c':
            case 'f':
                break;  // copy data outside a copy is passed over
            default:
                return fatal(pg::sqlstate::protocol_violation, "unknown message type");
        }
        if (!over()) in_->consume(length);
        return true;
    }

    bool skip() {
        std::size_t count = std::min(to_skip_, in_->size());
        in_->consume(count);
        to_skip_ -= count;
        if (to_skip_ > 0) return false;
        expects_ = after_skip_;
        if (expects_ == Expects::sync) return true;  // silence up to Sync, whatever the length
        reject({pg::sqlstate::program_limit, "the statement is too long"});
        return true;
    }

    void query(std::string_view body) {
        std::string_view sql = body.substr(0, body.find('\0'));
        if (body.find('\0') != body.size() - 1 || body.empty())
            return reject({pg::sqlstate::protocol_violation, "a query ends with its only zero byte"});
        pg::Statement statement = pg::read_statement(sql);
        if (statement.malformed)
            return reject({pg::sqlstate::syntax_error, "the comment or a literal is malformed"});
        if (statement.several) return reject({pg::sqlstate::syntax_error, "a query holds one statement"});
        if (statement.body.empty()) {
            write(pg::Writer().empty_query().ready().take());
            return;
        }
        if (statement.fields.empty() && local(statement.body)) return;
        Item item;
        if (auto rejection = read_item(sql, statement, item)) return reject(*rejection);
        // The item keeps the statement and what was read from it.
        if (!has_room(2 * sql.size())) {
            write(pg::Writer()
                      .error("ERROR", pg::sqlstate::too_many_connections, "too much is in hand", "250")
                      .ready()
                      .take());
            return;
        }
        ask(std::move(item));
    }

    // What drivers send of themselves when they connect or hand a connection back. It changes nothing here.
    bool local(std::string_view body) {
        for (auto [text, tag] : {std::pair{"set", "SET"}, {"reset", "RESET"}, {"discard", "DISCARD ALL"}})
            if (word(body, text)) {
                write(pg::Writer().complete(tag).ready().take());
                return true;
            }
        return false;
    }

    std::optional<Rejection> read_item(std::string_view sql, const pg::Statement& s, Item& item) {
        auto invalid = [](std::string text) {
            return Rejection{pg::sqlstate::invalid_parameter, std::move(text)};
        };
        auto id = s.field("id"), name = s.field("c"), cluster = s.field("cluster");
        if (!id || id->empty() || id->size() > 64) return invalid("the comment names no request (id)");
        if (!name) return invalid("the comment names no class (c)");
        const ClassInfo* cls = classes_.find(*name);
        if (!cls) return invalid("class '" + std::string(name->substr(0, 64)) + "' is unknown");
        if (!cluster) return invalid("the comment names no group (cluster)");
        auto group = whole<std::uint32_t>(*cluster);
        if (!group) return invalid("the group (cluster) is no number");
        item.patience = cls->deadline;
        if (auto d = s.field("d")) {
            auto wait = whole<std::int64_t>(*d);
            // None left is no mistake: the request is refused like any that comes too late.
            if (!wait || *wait < 0 || *wait > 3'600'000) return invalid("the wait (d) is out of range");
            item.patience = std::chrono::milliseconds(*wait);
        }
        if (auto after = s.field("after")) {
            auto position = whole<std::int64_t>(*after);
            if (!position || *position < 0 || *position > 9'000'000'000'000)
                return invalid("the position (after) is out of range");
            if (*position > 0) item.after_unix_ms = *position;
        }
        pg::Verb verb = pg::read_verb(s.body);
        item.verb = verb.kind == pg::Verb::Kind::lookup  ? Item::Verb::lookup
                    : verb.kind == pg::Verb::Kind::write ? Item::Verb::write
                    : verb.kind == pg::Verb::Kind::page  ? Item::Verb::page
                                                         : Item::Verb::other;
        item.name = std::move(verb.name);
        item.content = std::move(verb.content);
        item.prefix = std::move(verb.prefix);
        item.limit = verb.limit;
        item.id = *id;
        item.tenant = s.field("t").value_or("");
        item.key = s.field("k").value_or("");
        item.class_name = cls->name;
        item.cls = cls->id;
        item.group = GroupId{*group};
        item.repeat = s.field("r") == "1";
        if (cls->write || cls->session) item.session = session_number(item.name);
        item.statement = sql;
        return std::nullopt;
    }

    void served(const Answer& answer) override {
        pg::Writer w;
        if (answer.rows.size() == 1 && answer.rows[0].name.empty()) {
            w.row_description({{answer.column.empty() ? "content" : std::string_view(answer.column),
                                kByteaType, answer.binary}});
            w.data_row({answer.rows[0].content});
        } else {
            w.row_description({{"name", kTextType, false}, {"content", kByteaType, answer.binary}});
            for (const Row& row : answer.rows) w.data_row({row.name, row.content});
        }
        w.complete(answer.tag.empty() ? "SELECT " + std::to_string(answer.rows.size()) : answer.tag).ready();
        answered(w.take());
    }

    void ended(const Ending& ending) override {
        pg::Writer w;
        if (ending.kind == Ending::Kind::refused) {
            std::string after;
            if (ending.retry_after) after = std::to_string(ending.retry_after->count() / 1000);
            w.error("ERROR", pg::sqlstate::too_many_connections, "no database host can take this now", after);
        } else if (ending.deadline) {
            w.error("ERROR", pg::sqlstate::query_canceled, "no answer in time; the statement may have run");
        } else {
            w.error("ERROR", pg::sqlstate::connection_failure, "no answer; the statement may have run");
        }
        answered(w.ready().take());
    }

    void reject(const Rejection& rejection, bool ready = true) {
        pg::Writer w;
        w.error("ERROR", rejection.code, rejection.text);
        if (ready) w.ready();
        write(w.take());
        logger_.log(Level::warning, "rejected", rejection.text, {{"sqlstate", std::string(rejection.code)}});
    }

    bool fatal(std::string_view code, std::string_view text) {
        write(pg::Writer().error("FATAL", code, text).take());
        logger_.log(Level::warning, "fatal", std::string(text), {{"sqlstate", std::string(code)}});
        leave();
        return false;
    }

    const Classes& classes_;
    Logger& logger_;
    transport::Buffer* in_ = nullptr;  // the connection's
    Expects expects_ = Expects::startup, after_skip_ = Expects::command;
    std::size_t to_skip_ = 0;
};

}  // namespace

std::shared_ptr<Session> PgFront::open(boost::asio::ip::tcp::socket socket) {
    auto session = std::make_shared<PgSession>(io_, *this, classes_, intake_, logger_);
    session->begin(std::move(socket));
    return session;
}

}  // namespace indigovane::adapters
