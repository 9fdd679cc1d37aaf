#include "adapters/pg_front.hpp"

#include <algorithm>

#include "adapters/pg_request.hpp"
#include "adapters/text_values.hpp"
#include "protocol/pg.hpp"

namespace indigovane::adapters {

namespace pg = protocol::pg;
using namespace routing;

namespace {

constexpr std::size_t kMaxStartupBytes = 10000;  // PostgreSQL's own limit
// A value of 64 KiB in bytea's text form, with its statement. Longer messages reserve memory first.
constexpr std::size_t kUsualMessageBytes = 160 * 1024;
constexpr std::size_t kMaxMessageBytes = 2 * PgRequestReader::kMaxValueBytes + 16 * 1024;
constexpr std::uint32_t kByteaType = 17, kTextType = 25;

class PgSession : public Session {
  public:
    PgSession(boost::asio::io_context& io, PgFront& front, const Classes& classes, PgOptions options,
              RequestAdmission& admission, Logger& logger, Statements* statements)
        : Session(io, front, admission,
                  {.unread_bytes = kUsualMessageBytes + 8192,
                   .client_timeout = options.client_timeout,
                   .read_timeout = options.read_timeout}),
          front_(front),
          classes_(classes),
          logger_(logger),
          statements_(statements),
          max_message_bytes_(
              std::min(kMaxMessageBytes, std::max(kUsualMessageBytes, front.max_long_bytes() / 2))) {}

  private:
    // `sync`: messages are skipped up to the next Sync.
    enum class Expects { startup, command, sync };

    bool process_next_message(transport::Buffer& in) override {
        input_ = &in;
        if (skipped_bytes_left_ > 0) return skip_bytes();
        return expects_ == Expects::startup ? read_startup() : read_command();
    }

    bool is_awaiting_first_message() const override { return expects_ == Expects::startup; }
    char wire_state() const override { return char(expects_); }
    std::string wire_note() const override { return user_; }
    void restore(char state, std::string_view note) override {
        user_ = note;
        if (state >= char(Expects::startup) && state <= char(Expects::sync)) expects_ = Expects(state);
    }
    void on_client_timeout() override {
        close_with_error(pg::sqlstate::kProtocolViolation, is_awaiting_first_message()
                                                               ? "no startup packet in time"
                                                               : "the message was not completed in time");
    }
    void on_memory_limit() override {
        close_with_error(pg::sqlstate::kOutOfMemory,
                         "the clients' unread and incomplete messages use too much memory");
    }

    bool read_startup() {
        pg::Message message;
        std::size_t length = 0;
        pg::Next next = pg::next_startup(input_->view(), kMaxStartupBytes, message, length);
        if (next == pg::Next::more) return false;
        if (next != pg::Next::message)
            return close_with_error(pg::sqlstate::kProtocolViolation, "malformed startup packet");
        std::uint32_t code = pg::read_u32(message.body);
        std::string startup_body(message.body);
        input_->consume(length);
        if (code == pg::kSslCode || code == pg::kGssCode) {
            // Only plain TCP is served. Repeated requests are limited: each one restarts the timeout.
            if (++declined_encryption_requests_ > 2)
                return close_with_error(pg::sqlstate::kProtocolViolation,
                                        "too many encryption requests without a startup packet");
            write("N");
            return true;
        }
        if (code == pg::kCancelCode) {  // no session can be cancelled: backend_key(1, 0) is sent to all
            close_gracefully();
            return false;
        }
        if (code >> 16 != 3)
            return close_with_error(pg::sqlstate::kFeatureNotSupported,
                                    "only protocol version 3 is supported");
        read_user(startup_body.substr(4));
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

    // The message is read and dropped. Its client gets the answer at once: it may have sent the whole
    // message.
    void on_capacity_timeout() override {
        if (is_closed()) return;
        skipped_bytes_left_ = long_message_bytes_;
        reject_over_capacity();
        resume_reading();
    }
    bool is_skipping_message() const override { return skipped_bytes_left_ > 0; }
    bool skip_bytes() {
        std::size_t count = std::min(skipped_bytes_left_, input_->size());
        skipped_bytes_left_ -= count;
        input_->consume(count);
        return true;
    }

    bool read_command() {
        pg::Message message;
        std::size_t length = 0;
        pg::Next next = pg::next_message(input_->view(), max_message_bytes_, message, length);
        if (next == pg::Next::more) {
            long_message_bytes_ = length;
            if (length > kUsualMessageBytes) reserve_long_message(length);
            return false;
        }
        if (next == pg::Next::malformed)
            return close_with_error(pg::sqlstate::kProtocolViolation, "malformed message");
        // The header is enough to reject it: no statement of this length can be served, and reading it would
        // take time from the other clients.
        if (next == pg::Next::too_long)
            return close_with_error(pg::sqlstate::kProgramLimit, "the message is too long");
        if (expects_ == Expects::sync && message.type != 'S' && message.type != 'X') {
            input_->consume(length);
            return true;
        }
        switch (message.type) {
            case 'Q':
                query_message_bytes_ = length;
                handle_query(message.body);
                break;
            case 'X':
                close_gracefully();
                return false;
            case 'S':  // answered with ReadyForQuery, also without an extended query before it
                expects_ = Expects::command;
                write(pg::Writer().ready().take());
                break;
            case 'H':
                break;  // Flush: answers are never buffered
            case 'P':
            case 'B':
            case 'D':
            case 'E':
            case 'C':
                // After an error in an extended query, messages up to the next Sync are skipped without an
                // answer.
                reject({pg::sqlstate::kFeatureNotSupported,
                        "the extended query protocol is not supported; use simple queries"},
                       false);
                expects_ = Expects::sync;
                break;
            case 'F':
                reject({pg::sqlstate::kFeatureNotSupported, "function calls are not supported"});
                break;
            case 'd':
            case 'c':
            case 'f':
                break;  // copy data outside a COPY is ignored
            default:
                return close_with_error(pg::sqlstate::kProtocolViolation, "unknown message type");
        }
        if (!is_closed()) input_->consume(length);
        return true;
    }

    void handle_query(std::string_view body) {
        std::string_view sql = body.substr(0, body.find('\0'));
        if (body.find('\0') != body.size() - 1 || body.empty())
            return reject({pg::sqlstate::kProtocolViolation, "a query must end with its only zero byte"});
        if (!pg::is_valid_text(sql))
            return reject({pg::sqlstate::kBadText, "a query must be valid UTF-8 without control characters"});
        pg::Statement statement = pg::read_statement(sql);
        if (statements_ && statements_->open() && PgRequestReader::is_open_form(statement))
            return handle_open_query(sql, statement);
        if (statement.malformed)
            return reject({pg::sqlstate::kSyntaxError, "the statement's comment or a literal is malformed"});
        if (statement.has_several_statements)
            return reject({pg::sqlstate::kSyntaxError, "a query must hold one statement"});
        if (statement.body.empty()) return answer_empty_query();
        if (statement.fields.empty() && answer_locally(statement.body)) return;
        ClientRequest request;
        if (auto rejection = PgRequestReader(classes_).read_known(sql, statement, request))
            return reject(*rejection);
        if (is_open(request.id))
            return reject(
                {pg::sqlstate::kInvalidParameter, "a request with this id is in flight, or may have run"});
        // The request keeps the statement and the values that were read from it.
        if (!has_capacity(sql.size() + std::min(sql.size(), kUsualMessageBytes)))
            return reject_over_capacity();
        submit(std::move(request), query_message_bytes_);
    }

    void reject_over_capacity() {
        write(pg::Writer()
                  .error("ERROR", pg::sqlstate::kTooManyConnections,
                         "the pooler has no memory for another request", "250")
                  .ready()
                  .take());
    }

    void answer_empty_query() {
        if (is_failing_checks())
            return write(pg::Writer()
                             .error("ERROR", pg::sqlstate::kCannotConnectNow,
                                    "this pooler is sending its clients away")
                             .ready()
                             .take());
        write(pg::Writer().empty_query().ready().take());
    }

    // Handles any single statement. Its text is forwarded unchanged. Its analysis, not its comment, decides
    // whether a replica may execute it.
    void handle_open_query(std::string_view sql, pg::Statement& statement) {
        PgRequestReader::drop_foreign_comment(statement);
        const statement::StatementProfile& profile = statements_->analyze(sql, now());
        if (statements_->analyzer().scanner().flaw() == statement::Flaw::empty) return answer_empty_query();
        if (profile.route == statement::Route::refuse) {
            using statement::Kind;
            bool is_unsupported_command = profile.kind == Kind::session || profile.kind == Kind::transaction;
            return reject(
                {is_unsupported_command ? pg::sqlstate::kFeatureNotSupported : pg::sqlstate::kSyntaxError,
                 profile.reason});
        }
        ClientRequest request;
        if (auto rejection = read_open(sql, statement, profile, request)) return reject(*rejection);
        if (is_open(request.id))
            return reject(
                {pg::sqlstate::kInvalidParameter, "a request with this id is in flight, or may have run"});
        if (!has_capacity(2 * sql.size())) return reject_over_capacity();
        submit(std::move(request), query_message_bytes_);
    }

    std::optional<PgRejection> read_open(std::string_view sql, const pg::Statement& statement,
                                         const statement::StatementProfile& profile, ClientRequest& request) {
        if (!statement.field("id")) {
            do request.id = front_.next_request_id();
            while (is_open(request.id));
        }
        PgRequestReader reader(classes_);
        return reader.read_open(sql, statement, profile, {*statements_, user_, cached_peer_address()},
                                request);
    }

    const std::string& cached_peer_address() {
        if (cached_peer_address_.empty()) cached_peer_address_ = peer_address();
        return cached_peer_address_;
    }
    static Time now() {
        return Time(
            std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
    }

    // Reads the user name: it is the tenant of statements whose comment names none.
    void read_user(std::string_view parameters) {
        while (!parameters.empty()) {
            auto name = pg::read_string(parameters), value = pg::read_string(parameters);
            if (!name || !value || name->empty()) return;
            if (*name == "user" && is_plain_token(*value) && value->size() <= 64) user_ = *value;
        }
    }

    // Answers the commands that drivers send when they connect or return a connection to their pool. They
    // have no effect.
    bool answer_locally(std::string_view body) {
        for (auto [text, tag] : {std::pair{"set", "SET"}, {"reset", "RESET"}, {"discard", "DISCARD ALL"}})
            if (PgRequestReader::begins_with_word(body, text)) {
                write(pg::Writer().complete(tag).ready().take());
                return true;
            }
        return false;
    }

    // The DataRow message begins with its length, so that a client recognizes a value that is cut off.
    void on_answer_started(const Answer& answer, std::size_t length) override {
        auto big_endian = [](std::size_t value) {
            return std::string{char(value >> 24), char(value >> 16), char(value >> 8), char(value)};
        };
        is_streaming_value_ = true;
        std::string bytes =
            pg::Writer()
                .row_description({{answer.column.empty() ? "content" : std::string_view(answer.column),
                                   kByteaType, answer.binary}})
                .take();
        stream_response(bytes + 'D' + big_endian(length + 10) + std::string("\0\1", 2) + big_endian(length));
    }
    bool on_answer_piece(std::string_view bytes) override { return stream_response(std::string(bytes)); }
    void on_answer_aborted() override {
        logger_.log(Level::warning, "response_aborted",
                    "a host's value broke off after a part of it had been sent to the client");
        abort_response();
    }

    void on_answer(const Answer& answer) override {
        pg::Writer writer;
        if (std::exchange(is_streaming_value_, false))
            return finish_response(writer.complete(answer.tag).ready().take());
        if (!answer.forwarded_messages.empty())
            return finish_whole_answer(answer.forwarded_messages + writer.ready().take());
        if (answer.rows.size() == 1 && answer.rows[0].name.empty()) {
            writer.row_description({{answer.column.empty() ? "content" : std::string_view(answer.column),
                                     kByteaType, answer.binary}});
            writer.data_row({answer.rows[0].content});
        } else {
            writer.row_description({{"name", kTextType, false}, {"content", kByteaType, answer.binary}});
            for (const Row& row : answer.rows) writer.data_row({row.name, row.content});
        }
        writer.complete(answer.tag.empty() ? "SELECT " + std::to_string(answer.rows.size()) : answer.tag)
            .ready();
        finish_whole_answer(writer.take());
    }
    void finish_whole_answer(std::string bytes) {
        if (has_memory_for_answer(bytes.size())) return finish_response(std::move(bytes));
        finish_response(pg::Writer()
                            .error("ERROR", pg::sqlstate::kOutOfMemory,
                                   "the answers that clients have yet to read use too much memory")
                            .ready()
                            .take());
    }

    void on_final_error(const FinalError& final_error) override {
        pg::Writer writer;
        if (final_error.kind == FinalError::Kind::rejected) {
            std::string retry_after_ms;
            if (final_error.retry_after)
                retry_after_ms = std::to_string(final_error.retry_after->count() / 1000);
            writer.error("ERROR", pg::sqlstate::kTooManyConnections,
                         "no database host can take this statement now", retry_after_ms);
        } else if (final_error.deadline) {
            writer.error("ERROR", pg::sqlstate::kQueryCanceled,
                         "no answer in time; the statement may have run");
        } else {
            writer.error("ERROR", pg::sqlstate::kConnectionFailure, "no answer; the statement may have run");
        }
        finish_response(writer.ready().take());
    }

    void reject(const PgRejection& rejection, bool sends_ready = true) {
        pg::Writer writer;
        writer.error("ERROR", rejection.sqlstate, rejection.text);
        if (sends_ready) writer.ready();
        write(writer.take());
        logger_.log(Level::warning, "rejected", rejection.text,
                    {{"sqlstate", std::string(rejection.sqlstate)}});
    }

    bool close_with_error(std::string_view code, std::string_view text) {
        write(pg::Writer().error("FATAL", code, text).take());
        logger_.log(Level::warning, "fatal", std::string(text), {{"sqlstate", std::string(code)}});
        close_gracefully(transport::Connection::LateInput::discard);
        return false;
    }

    PgFront& front_;
    const Classes& classes_;
    Logger& logger_;
    Statements* statements_;
    std::string user_, cached_peer_address_;
    std::size_t max_message_bytes_;
    std::size_t query_message_bytes_ = 0;  // of the query that is read
    std::size_t long_message_bytes_ = 0;   // of the incomplete message at the front of `input_`
    std::size_t skipped_bytes_left_ = 0;   // of a message that was rejected
    transport::Buffer* input_ = nullptr;   // owned by the connection
    Expects expects_ = Expects::startup;
    int declined_encryption_requests_ = 0;
    bool is_streaming_value_ = false;  // a long value is being sent in pieces
};

}  // namespace

std::shared_ptr<Session> PgFront::create_session() {
    return std::make_shared<PgSession>(io_, *this, classes_, options_, admission_, logger_, statements_);
}

std::string PgFront::next_request_id() {
    return "o" + std::to_string(++last_request_number_);
}

}  // namespace indigovane::adapters
