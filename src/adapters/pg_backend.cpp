#include "adapters/pg_backend.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "adapters/backend_connection_base.hpp"
#include "adapters/pg_load_report.hpp"
#include "adapters/pg_query_text.hpp"
#include "adapters/pg_sqlstate.hpp"
#include "protocol/pg.hpp"

namespace indigovane::adapters {

namespace pg = protocol::pg;
using namespace routing;
using policy::AttemptStatus;
using policy::Execution;
using policy::Role;

namespace {

// Maximum lengths of a message in an answer. A row may hold a value of 4 MiB, which is twice as long in
// bytea's text form. The second limit is for every other message.
constexpr std::size_t kMaxRowBytes = (8 << 20) + 65536, kMaxOtherMessageBytes = 16 * 1024;
// A row message longer than this is streamed to the client in pieces, if the request allows it.
constexpr std::size_t kLongRowBytes = 64 * 1024;
// The header of a row with one value: type, length, number of values, length of the value.
constexpr std::size_t kLongRowHeaderBytes = 11;
// Bytes of a long value that are read ahead while the client cannot take more.
constexpr std::size_t kMaxUnreadLongValueBytes = 32 * 1024;

// A host's answer has exactly one valid form for each query. Any other answer is malformed: the attempt fails
// as one that may have run, only its evidence of execution is kept, and the connection ends. This prevents a
// client from receiving bytes that belong to no request or to another one, and a request from waiting for the
// end of an answer that has none.
class PgConnection : public BackendConnectionBase {
  public:
    PgConnection(boost::asio::io_context& io, Owner& owner, std::shared_ptr<AnswerMemory> answer_memory)
        : BackendConnectionBase(io, owner, kMaxRowBytes + kMaxOtherMessageBytes, std::move(answer_memory)) {}

    void submit(const ClientRequest& request, Duration remaining, std::optional<std::int64_t>) override {
        auto remaining_ms = std::max<std::int64_t>(1, remaining.count() / 1000);
        std::string deadline_text = std::to_string(remaining_ms);
        verb_ = request.verb;
        row_limit_ = verb_ == ClientRequest::Verb::page ? request.limit : 1;
        may_stream_value_ = request.may_stream_answer && verb_ != ClientRequest::Verb::page;
        if (verb_ == ClientRequest::Verb::other && request.has_no_comment_fields)
            send_query(pg::Writer().query(request.statement).take(), false);
        else if (request.statement.empty())
            send_query(pg::Writer().query(query_text(request, remaining_ms)).take(), false);
        else
            send_query(pg::query_with_deadline(request.statement, pg::read_statement(request.statement),
                                               deadline_text),
                       false);
    }
    void probe() override {
        row_limit_ = 1;
        may_stream_value_ = false;
        send_query(pg::Writer().query("SHOW health").take(), true);
    }

  private:
    // The part of the startup or of an answer that the next message may belong to.
    enum class Part { authentication, greeting, columns, rows, ready };

    void send_query(std::string message, bool is_health_check) {
        result_ = AttemptResult{};
        is_health_check_ = is_health_check;
        value_bytes_left_ = row_count_ = 0;
        has_begun_ = is_paused_ = has_statement_error_ = false;
        connection_->limit_unread(kMaxRowBytes + kMaxOtherMessageBytes);
        connection_->set_read_size(2048);
        expected_part_ = Part::columns;
        send_request(std::move(message));
    }

    void on_connected() override { connection_->write(pg::Writer().startup("backend", "store").take()); }

    void on_data(transport::Buffer& in) override {
        auto self = shared_from_this();  // the owner may release this connection in a callback
        input_ = &in;
        while (owner_ && !in.empty() && !is_paused_ && process_next(in))
            if (connection_->must_yield()) break;
        if (owner_ && state_ == State::awaiting_answer && has_begun_ && has_answer_memory(result_.evidence))
            note_progress();
    }
    // While the client takes no more of a long value, its next bytes are not waited for.
    void note_progress() {
        if (is_paused_)
            ignore_pauses();
        else
            note_incomplete_answer();
    }

    // Processes the next message, or a piece of a long value. False: it is incomplete, or malformed, which
    // ends the connection.
    bool process_next(transport::Buffer& in) {
        if (value_bytes_left_ > 0) return process_piece(in);
        if (state_ == State::idle) return reject("the host sent bytes while no request was in flight");
        has_begun_ = true;
        const char type = in.view()[0];
        if (!may_come(type)) return reject("unexpected message type for this part of the answer");
        if (type == 'D' && may_stream_value_ && is_long_row(in.view())) {
            if (in.size() < kLongRowHeaderBytes) return false;
            const char* problem = begin_long_value(in);
            return !problem || reject(problem);
        }
        pg::Message message;
        std::size_t length = 0;
        pg::Next next =
            pg::next_message(in.view(), type == 'D' ? kMaxRowBytes : kMaxOtherMessageBytes, message, length);
        if (next == pg::Next::more) {
            bool fits = type != 'D' || row_may_fit(in.view());
            return !fits && reject("length of the row and length of its value do not match");
        }
        if (next != pg::Next::message) return reject("message length is invalid or over the limit");
        const char* problem = process_message(message);
        bool is_answer_over = type == 'Z' || (type == 'E' && !result_.reusable);
        in.consume(length);
        if (problem) return reject(problem);
        if (is_skipped(type) && !answer_size_.add_skipped(length))
            return reject("more notices and parameters than an answer may have");
        if (is_answer_over) finish_answer(in.empty());
        return true;
    }
    bool process_piece(transport::Buffer& in) {
        std::size_t count = std::min(value_bytes_left_, in.size());
        value_bytes_left_ -= count;
        is_paused_ = !owner_->on_piece(*this, in.view().substr(0, count));
        if (owner_) in.consume(count);
        return true;
    }
    bool reject(const char* why) {
        malformed(why);
        return false;
    }

    void resume() override {
        if (!owner_ || !std::exchange(is_paused_, false)) return;
        auto self = shared_from_this();
        on_data(*input_);
        if (owner_) connection_->resume();
    }

    // Messages that carry nothing for the client: notices, parameters, the key of the connection.
    static bool is_skipped(char type) { return type == 'N' || type == 'S' || type == 'K'; }

    static bool is_long_row(std::string_view in) {
        return in.size() >= 5 && pg::read_u32(in.substr(1)) > kLongRowBytes;
    }

    // Reads the header of a row with one long value. From here on its pieces go to the client, so that no
    // other attempt can answer the request. Returns what is wrong with the header, or null.
    const char* begin_long_value(transport::Buffer& in) {
        std::size_t length = pg::read_u32(in.view().substr(1));
        if (length + 1 > (result_.answer.binary ? kMaxRowBytes / 2 : kMaxRowBytes) || row_count_ > 0 ||
            in.view().substr(5, 2) != std::string_view("\0\1", 2) || !row_may_fit(in.view()))
            return "long row has invalid lengths or column count, or follows another row";
        in.consume(kLongRowHeaderBytes);
        note_execution('D');
        ++row_count_;
        value_bytes_left_ = length - 10;
        connection_->limit_unread(kMaxUnreadLongValueBytes);
        connection_->set_read_size(kMaxUnreadLongValueBytes / 2);
        owner_->on_begun(*this, result_.answer, value_bytes_left_);
        return nullptr;
    }

    // Whether a message of this type is allowed in the present part.
    bool may_come(char type) const {
        static constexpr std::string_view kMessagesAllowed[] = {"REN", "SKNZE", "TESN", "DCESN", "SNZ"};
        if (forwards_messages() && expected_part_ == Part::columns && type == 'C')
            return true;  // the completion of a statement without rows
        return kMessagesAllowed[std::size_t(expected_part_)].find(type) != std::string_view::npos;
    }

    // A row of one value states its length twice, for the message and for the value. The two are compared
    // before the value has been received. True also for rows with other numbers of values, and if the header
    // is incomplete.
    bool row_may_fit(std::string_view in) const {
        if (forwards_messages() || (verb_ == ClientRequest::Verb::page && !is_health_check_)) return true;
        return in.size() < 11 ||
               std::uint64_t(pg::read_u32(in.substr(1))) == std::uint64_t(pg::read_u32(in.substr(7))) + 10;
    }

    // Fails the task in flight, whose connection cannot be reused; without a task, ends the connection. `why`
    // is a string literal: it is kept until the line is logged.
    void malformed(const char* why) {
        if (state_ != State::awaiting_answer) return end(end_reason_if_lost());
        AttemptResult result;
        result.status = AttemptStatus::error;
        result.evidence = result_.evidence;
        result.reusable = false;
        result.malformed = why;
        complete_task(std::move(result));
    }

    End end_reason_if_lost() const override {
        return is_rejected_ ? End::rejected : BackendConnectionBase::end_reason_if_lost();
    }

    // Records what a message proves about execution. A host sends RowDescription after it has begun to
    // execute, and a row or CommandComplete after it has executed. No later message changes that, not even a
    // rejection.
    void note_execution(char type) {
        if (state_ != State::awaiting_answer) return;
        if (type == 'T') result_.evidence = std::max(result_.evidence, Execution::may_have_run);
        if (type == 'D' || type == 'C') result_.evidence = Execution::ran;
    }

    // Returns what is wrong with the message, or null. So do the functions for the single types of messages
    // below.
    const char* process_message(const pg::Message& message) {
        std::string_view body = message.body;
        note_execution(message.type);
        switch (message.type) {
            case 'R':
                if (body != std::string_view("\0\0\0\0", 4))
                    return "host requests an authentication that is not supported";
                expected_part_ = Part::greeting;
                return nullptr;
            case 'S':
                return process_parameter(body);
            case 'E':
                return process_error(body);
            case 'T':
                return process_columns(body);
            case 'D':
                return process_row(body);
            case 'C':
                return process_completion(body);
            case 'Z':
                return body == "I" ? nullptr : "ReadyForQuery without the idle status";
        }
        return nullptr;  // BackendKeyData and notices are not used
    }

    // A malformed value of a known parameter is ignored, and the answer stays valid.
    const char* process_parameter(std::string_view body) {
        auto parsed = pg::read_parameter(body);
        if (!parsed) return body.substr(0, 6) == "health" ? nullptr : "malformed ParameterStatus";
        auto [name, value] = *parsed;
        if (state_ != State::awaiting_answer) return nullptr;
        if (name == "recovery" && (value == "off" || value == "on"))
            result_.role = value == "off" ? Role::primary : Role::replica;
        if (name == "lsn_ms") {
            std::int64_t ms = 0;
            auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), ms);
            if (error == std::errc() && end == value.data() + value.size() && ms > 0 &&
                ms < 9'000'000'000'000) {
                result_.position_unix_us = ms * 1000;
                result_.answer.position_unix_ms = ms;
            }
        }
        if (name == "health") read_load_report(value, result_);
        return nullptr;
    }

    // Whether the messages of the answer go to the client unchanged. They do for an open statement, whose
    // columns and rows are not known in advance.
    bool forwards_messages() const {
        return verb_ == ClientRequest::Verb::other && !is_health_check_ && state_ == State::awaiting_answer;
    }
    const char* forward_message(const pg::Message& message) {
        if (!answer_size_.add_data(message.body.size() + 5)) return "answer is larger than the limit";
        std::string& out = result_.answer.forwarded_messages;
        auto size = std::uint32_t(message.body.size() + 4);
        out += message.type;
        for (int shift = 24; shift >= 0; shift -= 8) out += char(size >> shift);
        out += message.body;
        return nullptr;
    }
    const char* process_error(std::string_view body) {
        pg::ErrorFields fields = pg::read_error(body);
        if (!is_sqlstate(fields.code)) return "error message without a valid SQLSTATE";
        has_failed_ = true;
        result_.status = attempt_status_of(fields.code);
        if (forwards_messages() && result_.status == AttemptStatus::error && fields.severity != "FATAL" &&
            is_statement_error(fields.code)) {
            has_failed_ = false;
            has_statement_error_ = true;
            expected_part_ = Part::ready;
            return forward_message({'E', body});
        }
        if (fields.severity == "FATAL") {  // ends the answer and the connection
            result_.reusable = false;
            is_rejected_ = state_ == State::starting && result_.status == AttemptStatus::rejected;
        }
        expected_part_ = Part::ready;
        return nullptr;
    }

    const char* process_columns(std::string_view body) {
        auto columns = pg::read_columns(body);
        if (forwards_messages()) {
            if (!columns) return "malformed RowDescription";
            expected_part_ = Part::rows;
            column_count_ = columns->size();
            return forward_message({'T', body});
        }
        bool is_page = verb_ == ClientRequest::Verb::page && !is_health_check_;
        if (!columns || columns->size() != (is_page ? 2 : 1))
            return "malformed RowDescription, or wrong number of columns";
        bool is_known_form = !is_health_check_ && verb_ != ClientRequest::Verb::other;
        if (is_known_form && columns->back().name != "content")
            return "the last column is not named 'content'";
        result_.answer.column = columns->back().name;
        result_.answer.binary = columns->back().binary;
        expected_part_ = Part::rows;
        return nullptr;
    }

    const char* process_row(std::string_view body) {
        auto values = pg::read_values(body);
        if (forwards_messages()) {
            if (!values || values->size() != column_count_) return "malformed row, or wrong number of values";
            ++row_count_;
            return forward_message({'D', body});
        }
        bool is_page = verb_ == ClientRequest::Verb::page && !is_health_check_;
        if (!values || values->size() != (is_page ? 2 : 1)) return "malformed row, or wrong number of values";
        if (!std::all_of(values->begin(), values->end(), [](auto& v) { return v.has_value(); }))
            return "row contains a NULL value";
        if (row_count_++ >= row_limit_) return "more rows than requested";
        if (is_page && !answer_size_.add_data(body.size())) return "page is larger than the limit";
        if (is_health_check_) read_load_report(*values->front(), result_);
        result_.answer.rows.push_back(
            {is_page ? std::string(*values->front()) : std::string(), std::string(*values->back())});
        return nullptr;
    }

    const char* process_completion(std::string_view body) {
        std::string_view full_body = body;
        auto tag = pg::read_string(body);
        if (!tag || !body.empty()) return "malformed CommandComplete";
        if (forwards_messages()) {
            expected_part_ = Part::ready;
            return forward_message({'C', full_body});
        }
        std::string rows = std::to_string(row_count_);
        bool is_known_form = !is_health_check_ && verb_ != ClientRequest::Verb::other;
        if (is_known_form && *tag != (verb_ == ClientRequest::Verb::write ? "INSERT 0 " : "SELECT ") + rows)
            return "CommandComplete does not match the statement and the number of rows";
        result_.answer.tag = *tag;
        expected_part_ = Part::ready;
        return nullptr;
    }

    // Handles the end of the startup or of an answer. `nothing_more`: no received bytes follow it.
    void finish_answer(bool nothing_more) {
        if (state_ == State::starting) {
            if (has_failed_ || !nothing_more)
                end(end_reason_if_lost());
            else
                on_established();
            return;
        }
        bool is_page = verb_ == ClientRequest::Verb::page && !is_health_check_;
        if (!std::exchange(has_failed_, false))
            result_.status =
                is_page || forwards_messages() || row_count_ == 1 ? AttemptStatus::ok : AttemptStatus::error;
        // A failed statement has committed nothing, so a position reported after its error is not that of a
        // commit.
        if (std::exchange(has_statement_error_, false)) result_.position_unix_us.reset();
        // Bytes after an answer belong to no request: the answer is valid, but the connection is not reused.
        result_.reusable = result_.reusable && nothing_more;
        complete_task(std::move(result_));
    }

    Part expected_part_ = Part::authentication;
    AttemptResult result_;
    ClientRequest::Verb verb_ = ClientRequest::Verb::other;
    std::size_t row_limit_ = 1, row_count_ = 0;
    std::size_t value_bytes_left_ = 0;    // bytes of a long value that are not yet received
    transport::Buffer* input_ = nullptr;  // owned by the connection, null until the first bytes
    std::size_t column_count_ = 0;        // of a forwarded answer
    bool may_stream_value_ = false, is_paused_ = false, has_statement_error_ = false;
    bool is_health_check_ = false, has_begun_ = false, has_failed_ = false, is_rejected_ = false;
};

}  // namespace

std::shared_ptr<BackendConnection> PgBackend::open(const std::string& address, Duration timeout,
                                                   BackendConnection::Owner& owner) {
    auto connection = std::make_shared<PgConnection>(io_, owner, answer_memory_);
    connection->connect(io_, address, timeout);
    return connection;
}

}  // namespace indigovane::adapters
