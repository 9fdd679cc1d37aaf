#include "adapters/pg_backend.hpp"

#include <charconv>
#include <cmath>

#include "adapters/link_base.hpp"
#include "protocol/pg.hpp"

namespace indigovane::adapters {

namespace pg = protocol::pg;
using namespace routing;
using starlingpond::Role;
using starlingpond::Status;

namespace {

constexpr std::size_t kMessageLimit = 4 << 20;  // a page of values at their largest

std::optional<double> to_number(std::string_view text) {
    double value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || !std::isfinite(value)) return std::nullopt;
    return value;
}

// name=value pairs set apart by commas. Names that mean nothing here are skipped.
void read_report(std::string_view text, Result& result) {
    while (!text.empty()) {
        std::size_t comma = text.find(',');
        std::string_view part = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
        while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
        std::size_t equals = part.find('=');
        if (equals == std::string_view::npos) continue;
        std::string_view name = part.substr(0, equals);
        auto value = to_number(part.substr(equals + 1));
        if (!value) continue;
        if (name == "x0" && std::fabs(*value) < 9e12)  // seconds here, unlike all other positions
            result.report_position_unix_us = std::int64_t(std::floor(*value * 1e6));
        if (name == "x1") result.report.primary = *value == 1;
        if (name == "inflight" || name == "concurrent") result.report.held = *value;
        if (name == "queue" || name == "depth") result.report.waiting = *value;
        if (name == "util" || name == "load_share") result.report.busy = *value;
    }
}

std::string statement_of(const Item& item) {
    switch (item.verb) {
        case Item::Verb::lookup:
            return "SELECT content FROM kv WHERE name = " + pg::quote(item.name);
        case Item::Verb::write:
            return "INSERT INTO kv (name, content) VALUES (" + pg::quote(item.name) + ", " +
                   pg::quote(item.content.value_or("")) + ") RETURNING content";
        case Item::Verb::page:
            return "SELECT name, content FROM kv WHERE name > " + pg::quote(item.name) +
                   (item.prefix ? " AND starts_with(name, " + pg::quote(*item.prefix) + ")" : "") +
                   " ORDER BY name LIMIT " + std::to_string(item.limit);
        case Item::Verb::other:
            break;
    }
    return {};
}

// The fields of the comment for an item that came in by another wire.
std::string comment_of(const Item& item, std::string_view remaining) {
    std::string out = "/* id=" + item.id + ",c=" + item.class_name;
    if (!item.tenant.empty()) out += ",t=" + item.tenant;
    out.append(",d=").append(remaining);
    if (!item.key.empty()) out += ",k=" + item.key;
    out += ",cluster=" + std::to_string(std::uint32_t(item.group));
    if (item.after_unix_ms) out += ",after=" + std::to_string(*item.after_unix_ms);
    if (item.repeat) out += ",r=1";
    return out + " */ ";
}

class PgLink : public LinkBase {
  public:
    PgLink(boost::asio::io_context& io, Owner& owner) : LinkBase(io, owner, kMessageLimit + 4096) {}

    void submit(const Item& item, Duration remaining, std::optional<std::int64_t>) override {
        auto left = std::max<std::int64_t>(1, remaining.count() / 1000);
        std::string text = std::to_string(left);
        if (item.statement.empty())
            query(comment_of(item, text) + statement_of(item));
        else
            query(pg::with_deadline(item.statement, pg::read_statement(item.statement), text));
        multiple_ = item.verb == Item::Verb::page;
    }
    void probe() override {
        query("SHOW health");
        probing_ = true;
    }

  private:
    void query(const std::string& sql) {
        result_ = Result{};
        got_row_ = got_complete_ = failed_ = probing_ = multiple_ = false;
        ask(pg::Writer().query(sql).take());
    }

    void on_connected() override { connection_->write(pg::Writer().startup("backend", "store").take()); }

    void on_data(transport::Buffer& in) override {
        auto self = shared_from_this();  // the owner may let go of this link on what it is told
        while (owner_) {
            pg::Message message;
            std::size_t length = 0;
            pg::Next next = pg::next_message(in.view(), kMessageLimit, message, length);
            if (next == pg::Next::more) return;
            if (next != pg::Next::message) {
                end(broken());
                return;
            }
            take(message);
            in.consume(length);
            if (message.type == 'Z') at_ready();
        }
    }

    End broken() const override { return turned_away_ ? End::turned_away : LinkBase::broken(); }

    void take(const pg::Message& m) {
        if (m.type == 'S') {
            if (auto p = pg::read_parameter(m.body)) parameter(p->first, p->second);
        } else if (m.type == 'E') {
            error(pg::read_error(m.body));
        } else if (m.type == 'T') {
            if (auto columns = pg::read_columns(m.body); columns && !columns->empty()) {
                result_.answer.column = columns->back().name;
                result_.answer.binary = columns->back().binary;
            }
        } else if (m.type == 'D') {
            row(m.body);
        } else if (m.type == 'C') {
            got_complete_ = true;
            std::string_view body = m.body;
            if (auto tag = pg::read_string(body)) result_.answer.tag = *tag;
        }
        // Authentication, key data and notices say nothing that matters here.
    }

    void parameter(std::string_view name, std::string_view value) {
        if (state_ != State::asked) return;
        if (name == "recovery") result_.role = value == "off" ? Role::primary : Role::replica;
        if (name == "lsn_ms") {
            std::int64_t ms = 0;
            auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), ms);
            if (error == std::errc() && ms > 0 && ms < 9'000'000'000'000) {
                result_.position_unix_us = ms * 1000;
                result_.answer.position_unix_ms = ms;
            }
        }
        if (name == "health") read_report(value, result_);
    }

    void error(const pg::ErrorFields& e) {
        failed_ = true;
        if (e.code == pg::sqlstate::read_only || e.code == pg::sqlstate::snapshot_too_old)
            result_.status = Status::miss;
        else if (e.code == pg::sqlstate::too_many_connections || e.code == pg::sqlstate::cannot_connect_now)
            result_.status = Status::full;
        else
            result_.status = Status::error;
        if (e.severity == "FATAL") {
            result_.reusable = false;
            if (state_ == State::starting && result_.status == Status::full) turned_away_ = true;
            // Its error answers the job; the connection ends with it.
            if (state_ == State::asked) at_ready();
        }
    }

    void row(std::string_view body) {
        auto values = pg::read_values(body);
        if (!values) {
            failed_ = true;
            return;
        }
        if (probing_) {
            for (const auto& value : *values)
                if (value) read_report(*value, result_);
        } else if (multiple_ && values->size() == 2) {
            result_.answer.rows.push_back(
                {std::string((*values)[0].value_or("")), std::string((*values)[1].value_or(""))});
        } else if (values->size() == 1) {
            result_.answer.rows.push_back({{}, std::string(values->front().value_or(""))});
        }
        got_row_ = true;
    }

    void at_ready() {
        if (!owner_) return;
        if (state_ == State::starting) {
            if (failed_)
                end(End::unreachable);
            else
                came_up();
        } else if (state_ == State::asked) {
            if (!failed_)
                result_.status = got_complete_ && (got_row_ || multiple_) ? Status::ok : Status::error;
            answer(std::move(result_));
        }
    }

    Result result_;
    bool probing_ = false, multiple_ = false, got_row_ = false, got_complete_ = false, failed_ = false,
         turned_away_ = false;
};

}  // namespace

std::shared_ptr<Link> PgBackend::open(const std::string& endpoint, Duration timeout, Link::Owner& owner) {
    auto link = std::make_shared<PgLink>(io_, owner);
    link->connect(io_, endpoint, timeout);
    return link;
}

}  // namespace indigovane::adapters
