#include "adapters/pg_front.hpp"

#include <algorithm>

#include "adapters/pg_request.hpp"
#include "adapters/text_values.hpp"
#include "protocol/pg.hpp"

namespace indigovane::adapters {

namespace pg = protocol::pg;
using namespace routing;

namespace {

constexpr std::size_t kStartupLimit = 10000;       // as PostgreSQL has it
constexpr std::size_t kUsualMessage = 160 * 1024;  // 64 KiB in bytea's text form, and what stands round it
constexpr std::size_t kMessageLimit = 2 * PgRequestReader::kMaxValueBytes + 16 * 1024;
constexpr std::uint32_t kByteaType = 17, kTextType = 25;

class PgSession : public Session {
  public:
    PgSession(boost::asio::io_context& io, PgFront& client_listener, const Classes& classes,
              PgOptions options, RequestAdmission& admission, Logger& logger, Statements* statements)
        : Session(io, client_listener, admission,
                  {.unread = kUsualMessage + 8192,
                   .client_timeout = options.client_timeout,
                   .reading = options.reading}),
          front_(client_listener),
          classes_(classes),
          logger_(logger),
          statements_(statements),
          longest_(std::min(kMessageLimit, std::max(kUsualMessage, client_listener.long_most() / 2))) {}

  private:
    enum class Expects { startup, command, sync };

    bool step(transport::Buffer& in) override {
        in_ = &in;
        return expects_ == Expects::startup ? startup() : command();
    }

    bool unfinished() const override { return expects_ == Expects::startup; }
    char wire_state() const override { return char(expects_); }
    std::string wire_note() const override { return user_; }
    void restore(char state, std::string_view note) override {
        user_ = note;
        if (state >= char(Expects::startup) && state <= char(Expects::sync)) expects_ = Expects(state);
    }
    void on_impatient() override {
        fatal(pg::sqlstate::kProtocolViolation, unfinished() ? "no startup packet" : "half a message");
    }
    void on_no_memory() override { fatal(pg::sqlstate::kOutOfMemory, "too much is unread or unfinished"); }

    bool startup() {
        pg::Message m;
        std::size_t length = 0;
        pg::Next next = pg::next_startup(in_->view(), kStartupLimit, m, length);
        if (next == pg::Next::more) return false;
        if (next != pg::Next::message)
            return fatal(pg::sqlstate::kProtocolViolation, "malformed startup packet");
        std::uint32_t code = pg::read_u32(m.body);
        std::string m_copy(m.body);
        in_->consume(length);
        if (code == pg::kSslCode || code == pg::kGssCode) {
            // Plain TCP only. Asking again and again would be a way to stay without ever starting.
            if (++declined_ > 2) return fatal(pg::sqlstate::kProtocolViolation, "no startup packet");
            write("N");
            return true;
        }
        if (code == pg::kCancelCode) {  // no keys are handed out that it could name
            leave();
            return false;
        }
        if (code >> 16 != 3)
            return fatal(pg::sqlstate::kFeatureNotSupported, "only protocol 3 is spoken here");
        read_user(m_copy.substr(4));
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
        pg::Next next = pg::next_message(in_->view(), longest_, m, length);
        if (next == pg::Next::more) {
            if (length > kUsualMessage) expect(length);
            return false;
        }
        if (next == pg::Next::malformed) return fatal(pg::sqlstate::kProtocolViolation, "malformed message");
        // Nothing so long can be of use, and reading past it would cost all others: the header is enough.
        if (next == pg::Next::too_long) return fatal(pg::sqlstate::kProgramLimit, "the message is too long");
        if (expects_ == Expects::sync && m.type != 'S' && m.type != 'X') {
            in_->consume(length);
            return true;
        }
        switch (m.type) {
            case 'Q':
                length_ = length;
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
                reject({pg::sqlstate::kFeatureNotSupported, "only simple queries are served"}, false);
                expects_ = Expects::sync;
                break;
            case 'F':
                reject({pg::sqlstate::kFeatureNotSupported, "function calls are not served"});
                break;
            case 'd':
            case 'c':
            case 'f':
                break;  // copy data outside a copy is passed over
            default:
                return fatal(pg::sqlstate::kProtocolViolation, "unknown message type");
        }
        if (!over()) in_->consume(length);
        return true;
    }

    void query(std::string_view body) {
        std::string_view sql = body.substr(0, body.find('\0'));
        if (body.find('\0') != body.size() - 1 || body.empty())
            return reject({pg::sqlstate::kProtocolViolation, "a query ends with its only zero byte"});
        if (!pg::is_valid_text(sql)) return reject({pg::sqlstate::kBadText, "a query is plain UTF-8"});
        pg::Statement statement = pg::read_statement(sql);
        if (statements_ && statements_->open() && PgRequestReader::is_open_form(statement))
            return open_query(sql, statement);
        if (statement.malformed)
            return reject({pg::sqlstate::kSyntaxError, "the comment or a literal is malformed"});
        if (statement.has_several_statements)
            return reject({pg::sqlstate::kSyntaxError, "a query holds one statement"});
        if (statement.body.empty()) return empty();
        if (statement.fields.empty() && local(statement.body)) return;
        ClientRequest request;
        if (auto rejection = PgRequestReader(classes_).read_known(sql, statement, request))
            return reject(*rejection);
        if (is_open(request.id))
            return reject({pg::sqlstate::kInvalidParameter, "a request of this id is in hand"});
        // The request keeps the statement and what was read from it.
        if (!has_capacity(sql.size() + std::min(sql.size(), kUsualMessage))) return too_much();
        submit(std::move(request), length_);
    }

    void too_much() {
        write(pg::Writer()
                  .error("ERROR", pg::sqlstate::kTooManyConnections, "too much is in hand", "250")
                  .ready()
                  .take());
    }

    void empty() {
        if (refusing())
            return write(pg::Writer()
                             .error("ERROR", pg::sqlstate::kCannotConnectNow, "clients are sent away")
                             .ready()
                             .take());
        write(pg::Writer().empty_query().ready().take());
    }

    // Any single statement. It is passed on as it is; what it does, not what its client says, decides whether
    // a replica may have it.
    void open_query(std::string_view sql, pg::Statement& statement) {
        PgRequestReader::drop_foreign_comment(statement);
        const statement::StatementProfile& profile = statements_->analyze(sql, now());
        if (statements_->analyzer().scanner().flaw() == statement::Flaw::empty) return empty();
        if (profile.route == statement::Route::refuse) {
            using statement::Kind;
            bool known = profile.kind == Kind::session || profile.kind == Kind::transaction;
            return reject(
                {known ? pg::sqlstate::kFeatureNotSupported : pg::sqlstate::kSyntaxError, profile.reason});
        }
        ClientRequest request;
        if (auto rejection = read_open(sql, statement, profile, request)) return reject(*rejection);
        if (is_open(request.id))
            return reject({pg::sqlstate::kInvalidParameter, "a request of this id is in hand"});
        if (!has_capacity(2 * sql.size())) return too_much();
        submit(std::move(request), length_);
    }

    std::optional<PgRejection> read_open(std::string_view sql, const pg::Statement& statement,
                                         const statement::StatementProfile& profile, ClientRequest& request) {
        if (!statement.field("id")) {
            do request.id = front_.next_id();
            while (is_open(request.id));
        }
        PgRequestReader reader(classes_);
        return reader.read_open(sql, statement, profile, {*statements_, user_, peer_name()}, request);
    }

    const std::string& peer_name() {
        if (peer_name_.empty()) peer_name_ = peer();
        return peer_name_;
    }
    static Time now() {
        return Time(
            std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }

    // Whoever has no tenant in its statements has its user's name for one.
    void read_user(std::string_view parameters) {
        while (!parameters.empty()) {
            auto name = pg::read_string(parameters), value = pg::read_string(parameters);
            if (!name || !value || name->empty()) return;
            if (*name == "user" && plain(*value) && value->size() <= 64) user_ = *value;
        }
    }

    // What drivers send of themselves when they connect or hand a connection back. It changes nothing here.
    bool local(std::string_view body) {
        for (auto [text, tag] : {std::pair{"set", "SET"}, {"reset", "RESET"}, {"discard", "DISCARD ALL"}})
            if (PgRequestReader::begins_with_word(body, text)) {
                write(pg::Writer().complete(tag).ready().take());
                return true;
            }
        return false;
    }

    // The head of a message tells its length, so that a value which breaks off can't be taken for a whole
    // one.
    void on_answer_started(const Answer& answer, std::size_t length) override {
        auto u32 = [](std::size_t v) {
            return std::string{char(v >> 24), char(v >> 16), char(v >> 8), char(v)};
        };
        begun_ = true;
        std::string bytes =
            pg::Writer()
                .row_description({{answer.column.empty() ? "content" : std::string_view(answer.column),
                                   kByteaType, answer.binary}})
                .take();
        pass_on(bytes + 'D' + u32(length + 10) + std::string("\0\1", 2) + u32(length));
    }
    bool on_answer_piece(std::string_view bytes) override { return pass_on(std::string(bytes)); }
    void on_answer_aborted() override {
        logger_.log(Level::warning, "response_aborted",
                    "a value broke off after its beginning had been passed on");
        break_off();
    }

    void on_answer(const Answer& answer) override {
        pg::Writer w;
        if (std::exchange(begun_, false)) return answered(w.complete(answer.tag).ready().take());
        if (!answer.forwarded_messages.empty()) return answered(answer.forwarded_messages + w.ready().take());
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

    void on_final_error(const FinalError& ending) override {
        pg::Writer w;
        if (ending.kind == FinalError::Kind::rejected) {
            std::string after;
            if (ending.retry_after) after = std::to_string(ending.retry_after->count() / 1000);
            w.error("ERROR", pg::sqlstate::kTooManyConnections, "no database host can take this now", after);
        } else if (ending.deadline) {
            w.error("ERROR", pg::sqlstate::kQueryCanceled, "no answer in time; the statement may have run");
        } else {
            w.error("ERROR", pg::sqlstate::kConnectionFailure, "no answer; the statement may have run");
        }
        answered(w.ready().take());
    }

    void reject(const PgRejection& rejection, bool ready = true) {
        pg::Writer w;
        w.error("ERROR", rejection.sqlstate, rejection.text);
        if (ready) w.ready();
        write(w.take());
        logger_.log(Level::warning, "rejected", rejection.text,
                    {{"sqlstate", std::string(rejection.sqlstate)}});
    }

    bool fatal(std::string_view code, std::string_view text) {
        write(pg::Writer().error("FATAL", code, text).take());
        logger_.log(Level::warning, "fatal", std::string(text), {{"sqlstate", std::string(code)}});
        leave(transport::Connection::LateInput::discard);
        return false;
    }

    PgFront& front_;
    const Classes& classes_;
    Logger& logger_;
    Statements* statements_;
    std::string user_, peer_name_;
    std::size_t longest_;              // message
    std::size_t length_ = 0;           // of the query at hand
    transport::Buffer* in_ = nullptr;  // the connection's
    Expects expects_ = Expects::startup;
    int declined_ = 0;
    bool begun_ = false;  // a long value, whose pieces are passed on as they come
};

}  // namespace

std::shared_ptr<Session> PgFront::open() {
    return std::make_shared<PgSession>(io_, *this, classes_, options_, admission_, logger_, statements_);
}

std::string PgFront::next_id() {
    return "o" + std::to_string(++ids_);
}

}  // namespace indigovane::adapters
