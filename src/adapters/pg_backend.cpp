#include "adapters/pg_backend.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <cmath>

#include "adapters/backend_connection_base.hpp"
#include "adapters/pg_load_report.hpp"
#include "adapters/pg_query_text.hpp"
#include "protocol/pg.hpp"

namespace indigovane::adapters {

namespace pg = protocol::pg;
using namespace routing;
using policy::AttemptStatus;
using policy::Execution;
using policy::Role;

namespace {

// What a message of an answer may be long at most: a row, whose value may be 4 MiB, in bytea's text form
// twice as long; all others.
constexpr std::size_t kRowLimit = (8 << 20) + 65536, kOtherLimit = 16 * 1024;
constexpr std::size_t kLongValue = 64 * 1024;   // a value is passed on in pieces from here
constexpr std::size_t kUnreadLong = 32 * 1024;  // of such a value, while there is no room for more
constexpr std::size_t kPageLimit = 4 << 20;     // the rows of a page, all together
// An answer that has begun is written by then. Guards against one that never ends, since its connection stays
// open and silent. Could do harm where a lost packet takes longer to be sent again: the attempt is made anew.
constexpr auto kRestOfAnswer = std::chrono::milliseconds(150);
constexpr auto kRestOfLong =
    std::chrono::milliseconds(5000);  // for the next piece of a long value, if it is read

// A member's answer has exactly one form for each query. Whatever differs from it is spoilt: a failed attempt
// that may have run, which teaches nothing and ends the connection. Guards against passing on what was made
// for no request or for another one, and against waiting for the end of what has none.
class PgConnection : public BackendConnectionBase {
  public:
    PgConnection(boost::asio::io_context& io, Owner& owner)
        : BackendConnectionBase(io, owner, kRowLimit + kOtherLimit), timer_(io) {}

    void submit(const ClientRequest& item, Duration remaining, std::optional<std::int64_t>) override {
        auto left = std::max<std::int64_t>(1, remaining.count() / 1000);
        std::string text = std::to_string(left);
        verb_ = item.verb;
        row_limit_ = verb_ == ClientRequest::Verb::page ? item.limit : 1;
        in_pieces_ = item.may_stream_answer && verb_ != ClientRequest::Verb::page;
        if (verb_ == ClientRequest::Verb::other && item.has_no_comment_fields)
            query(pg::Writer().query(item.statement).take(), false);
        else if (item.statement.empty())
            query(pg::Writer().query(query_text(item, left)).take(), false);
        else
            query(pg::query_with_deadline(item.statement, pg::read_statement(item.statement), text), false);
    }
    void probe() override {
        row_limit_ = 1;
        in_pieces_ = false;
        query(pg::Writer().query("SHOW health").take(), true);
    }

  private:
    enum class Part { authentication, greeting, columns, rows, ready };  // what comes next

    void query(std::string message, bool probing) {
        result_ = AttemptResult{};
        probing_ = probing;
        bytes_ = left_ = rows_ = 0;
        begun_ = paused_ = own_error_ = false;
        connection_->limit_unread(kRowLimit + kOtherLimit);
        connection_->set_read_size(2048);
        part_ = Part::columns;
        send_request(std::move(message));
    }

    void on_connected() override { connection_->write(pg::Writer().startup("backend", "store").take()); }

    void on_data(transport::Buffer& in) override {
        auto self = shared_from_this();  // the owner may let go of this link on what it is told
        in_ = &in;
        while (owner_ && !in.empty() && !paused_) {
            if (left_ > 0) {
                std::size_t count = std::min(left_, in.size());
                left_ -= count;
                paused_ = !owner_->on_piece(*this, in.view().substr(0, count));
                if (owner_) in.consume(count);
                continue;
            }
            if (state_ == State::idle) return malformed("bytes that belong to no request");
            begun_ = true;
            pg::Message m;
            std::size_t length = 0;
            const char type = in.view()[0];
            if (!may_come(type)) return malformed("a message that does not belong here");
            if (type == 'D' && in_pieces_ && is_long(in.view())) {
                if (in.size() < 11) break;
                if (const char* wrong = begin_long(in)) return malformed(wrong);
                continue;
            }
            pg::Next next = pg::next_message(in.view(), type == 'D' ? kRowLimit : kOtherLimit, m, length);
            if (next == pg::Next::more) {
                if (type == 'D' && !row_may_fit(in.view()))
                    return malformed("a row whose lengths do not fit");
                break;
            }
            if (next != pg::Next::message) return malformed("a message too long or with no length");
            const char* wrong = take(m);
            bool over = type == 'Z' || (type == 'E' && !result_.reusable);
            in.consume(length);
            if (wrong) return malformed(wrong);
            if (over) at_end(in.empty());
        }
        if (owner_ && state_ == State::awaiting_answer && begun_ && !paused_) await_rest();
    }

    void resume() override {
        if (!owner_ || !std::exchange(paused_, false)) return;
        auto self = shared_from_this();
        on_data(*in_);
        if (owner_) connection_->resume();
    }

    static bool is_long(std::string_view in) {
        return in.size() >= 5 && pg::read_u32(in.substr(1)) > kLongValue;
    }

    // The head of a row with one long value. From here on its pieces go to the client, and to no other
    // attempt.
    const char* begin_long(transport::Buffer& in) {
        std::size_t length = pg::read_u32(in.view().substr(1));
        if (length + 1 > (result_.answer.binary ? kRowLimit / 2 : kRowLimit) || rows_ > 0 ||
            in.view().substr(5, 2) != std::string_view("\0\1", 2) || !row_may_fit(in.view()))
            return "a long row whose lengths do not fit";
        in.consume(11);
        note_execution('D');
        ++rows_;
        left_ = length - 10;
        connection_->limit_unread(kUnreadLong);
        connection_->set_read_size(kUnreadLong / 2);
        owner_->on_begun(*this, result_.answer, left_);
        return nullptr;
    }

    bool may_come(char type) const {
        static constexpr std::string_view kMessagesAllowed[] = {"REN", "SKNZE", "TESN", "DCESN", "SNZ"};
        if (passes_on() && part_ == Part::columns && type == 'C') return true;  // a statement without rows
        return kMessagesAllowed[std::size_t(part_)].find(type) != std::string_view::npos;
    }

    // A row of one value tells its length twice: the two are compared before the value has come.
    bool row_may_fit(std::string_view in) const {
        if (passes_on() || (verb_ == ClientRequest::Verb::page && !probing_)) return true;
        return in.size() < 11 ||
               std::uint64_t(pg::read_u32(in.substr(1))) == std::uint64_t(pg::read_u32(in.substr(7))) + 10;
    }

    void await_rest() {
        timer_.expires_after(left_ > 0 ? kRestOfLong : kRestOfAnswer);
        timer_.async_wait([weak = weak_from_this(), number = ++waits_](const transport::error_code& ec) {
            auto self = std::static_pointer_cast<PgConnection>(weak.lock());
            if (self && !ec && self->owner_ && number == self->waits_ &&
                self->state_ == State::awaiting_answer && !self->paused_)
                self->malformed("an answer that does not end");
        });
    }

    void malformed(const char* why) {
        ++waits_;
        if (state_ != State::awaiting_answer) return end(broken());
        AttemptResult result;
        result.status = AttemptStatus::error;
        result.evidence = result_.evidence;
        result.reusable = false;
        result.malformed = why;
        answer(std::move(result));
    }

    End broken() const override { return turned_away_ ? End::rejected : BackendConnectionBase::broken(); }

    // A description of rows comes once the host has begun to execute, a row or a completion once it has
    // executed. No later message takes that back, a refusal neither.
    void note_execution(char type) {
        if (state_ != State::awaiting_answer) return;
        if (type == 'T') result_.evidence = std::max(result_.evidence, Execution::may_have_run);
        if (type == 'D' || type == 'C') result_.evidence = Execution::ran;
    }

    // Returns what is wrong with the message, if anything is.
    const char* take(const pg::Message& m) {
        std::string_view body = m.body;
        note_execution(m.type);
        switch (m.type) {
            case 'R':
                if (body != std::string_view("\0\0\0\0", 4)) return "a password is asked for";
                part_ = Part::greeting;
                return nullptr;
            case 'S':
                return parameter(body);
            case 'E':
                return error(body);
            case 'T':
                return columns(body);
            case 'D':
                return row(body);
            case 'C':
                return complete(body);
            case 'Z':
                return body == "I" ? nullptr : "no plain end of the answer";
        }
        return nullptr;  // key data and notices say nothing that matters here
    }

    // What is told beside an answer may be spoilt by itself: it teaches nothing then, and the answer counts.
    const char* parameter(std::string_view body) {
        auto p = pg::read_parameter(body);
        if (!p) return body.substr(0, 6) == "health" ? nullptr : "a parameter that can't be read";
        auto [name, value] = *p;
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

    // Of an open statement nothing is known but its messages' form: they go to the client as they are.
    bool passes_on() const {
        return verb_ == ClientRequest::Verb::other && !probing_ && state_ == State::awaiting_answer;
    }
    const char* pass_on(const pg::Message& m) {
        bytes_ += m.body.size() + 5;
        if (bytes_ > kPageLimit) return "an answer too large";
        std::string& out = result_.answer.forwarded_messages;
        auto size = std::uint32_t(m.body.size() + 4);
        out += m.type;
        for (int shift = 24; shift >= 0; shift -= 8) out += char(size >> shift);
        out += m.body;
        return nullptr;
    }
    // Errors that the statement itself has made: another host would say the same, and nothing of it has taken
    // effect. Anything else (08, 53, 57, 58, XX, ...) is the host's trouble.
    static bool own_error(std::string_view code) {
        static constexpr std::string_view kStatementErrorClasses[] = {
            "0A", "20", "21", "22", "23", "24", "25", "26", "28", "2B", "2D", "2F",
            "34", "38", "39", "3B", "3D", "3F", "40", "42", "44", "54", "55", "P0"};
        return code == pg::sqlstate::kQueryCanceled ||
               std::find(std::begin(kStatementErrorClasses), std::end(kStatementErrorClasses),
                         code.substr(0, 2)) != std::end(kStatementErrorClasses);
    }

    const char* error(std::string_view body) {
        pg::ErrorFields e = pg::read_error(body);
        if (e.code.size() != 5 || !std::all_of(e.code.begin(), e.code.end(), [](char c) {
                return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z');
            }))
            return "an error with no code";
        failed_ = true;
        if (e.code == pg::sqlstate::kReadOnly || e.code == pg::sqlstate::kSnapshotTooOld)
            result_.status = AttemptStatus::miss;
        else if (e.code == pg::sqlstate::kTooManyConnections || e.code == pg::sqlstate::kCannotConnectNow)
            result_.status = AttemptStatus::rejected;
        else
            result_.status = AttemptStatus::error;
        if (passes_on() && result_.status == AttemptStatus::error && e.severity != "FATAL" &&
            own_error(e.code)) {
            failed_ = false;
            own_error_ = true;
            part_ = Part::ready;
            return pass_on({'E', body});
        }
        if (e.severity == "FATAL") {  // it answers the job, and the connection ends with it
            result_.reusable = false;
            turned_away_ = state_ == State::starting && result_.status == AttemptStatus::rejected;
        }
        part_ = Part::ready;
        return nullptr;
    }

    const char* columns(std::string_view body) {
        auto columns = pg::read_columns(body);
        if (passes_on()) {
            if (!columns) return "columns that do not fit";
            part_ = Part::rows;
            column_count_ = columns->size();
            return pass_on({'T', body});
        }
        bool page = verb_ == ClientRequest::Verb::page && !probing_;
        if (!columns || columns->size() != (page ? 2 : 1)) return "columns that do not fit";
        bool known = !probing_ && verb_ != ClientRequest::Verb::other;
        if (known && columns->back().name != "content") return "a column that was not asked for";
        result_.answer.column = columns->back().name;
        result_.answer.binary = columns->back().binary;
        part_ = Part::rows;
        return nullptr;
    }

    const char* row(std::string_view body) {
        auto values = pg::read_values(body);
        if (passes_on()) {
            if (!values || values->size() != column_count_) return "a row that does not fit";
            ++rows_;
            return pass_on({'D', body});
        }
        bool page = verb_ == ClientRequest::Verb::page && !probing_;
        if (!values || values->size() != (page ? 2 : 1)) return "a row that does not fit";
        if (!std::all_of(values->begin(), values->end(), [](auto& v) { return v.has_value(); }))
            return "a row without a value";
        if (rows_++ >= row_limit_) return "more rows than were asked for";
        bytes_ += body.size();
        if (page && bytes_ > kPageLimit) return "a page too large";
        if (probing_) read_load_report(*values->front(), result_);
        result_.answer.rows.push_back(
            {page ? std::string(*values->front()) : std::string(), std::string(*values->back())});
        return nullptr;
    }

    const char* complete(std::string_view body) {
        std::string_view whole = body;
        auto tag = pg::read_string(body);
        if (!tag || !body.empty()) return "an end that can't be read";
        if (passes_on()) {
            part_ = Part::ready;
            return pass_on({'C', whole});
        }
        std::string rows = std::to_string(rows_);
        bool known = !probing_ && verb_ != ClientRequest::Verb::other;
        if (known && *tag != (verb_ == ClientRequest::Verb::write ? "INSERT 0 " : "SELECT ") + rows)
            return "an end that does not fit its rows";
        result_.answer.tag = *tag;
        part_ = Part::ready;
        return nullptr;
    }

    void at_end(bool nothing_more) {
        ++waits_;
        if (state_ == State::starting) {
            if (failed_ || !nothing_more)
                end(broken());
            else
                came_up();
            return;
        }
        bool page = verb_ == ClientRequest::Verb::page && !probing_;
        if (!std::exchange(failed_, false))
            result_.status = page || passes_on() || rows_ == 1 ? AttemptStatus::ok : AttemptStatus::error;
        // A statement that has failed has committed nothing: what stands behind its error is no commit.
        if (std::exchange(own_error_, false)) result_.position_unix_us.reset();
        // What stands behind an answer belongs to no request: the answer counts, the connection ends.
        result_.reusable = result_.reusable && nothing_more;
        answer(std::move(result_));
    }

    boost::asio::steady_timer timer_;
    std::uint64_t waits_ = 0;  // a wait that this has passed is over
    Part part_ = Part::authentication;
    AttemptResult result_;
    ClientRequest::Verb verb_ = ClientRequest::Verb::other;
    std::size_t row_limit_ = 1, rows_ = 0, bytes_ = 0;
    std::size_t left_ = 0;             // of a long value
    transport::Buffer* in_ = nullptr;  // the connection's
    std::size_t column_count_ = 0;     // of an open statement's answer
    bool in_pieces_ = false, paused_ = false, own_error_ = false;
    bool probing_ = false, begun_ = false, failed_ = false, turned_away_ = false;
};

}  // namespace

std::shared_ptr<BackendConnection> PgBackend::open(const std::string& address, Duration timeout,
                                                   BackendConnection::Owner& owner) {
    auto link = std::make_shared<PgConnection>(io_, owner);
    link->connect(io_, address, timeout);
    return link;
}

}  // namespace indigovane::adapters
