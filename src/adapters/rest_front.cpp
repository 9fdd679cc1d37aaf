#include "adapters/rest_front.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "adapters/rest.hpp"
#include "adapters/text_values.hpp"
#include "protocol/http.hpp"

namespace indigovane::adapters {

namespace http = protocol::http;
using namespace routing;
using nlohmann::json;

namespace {

constexpr http::Limits kLimits{.head = 8192, .body = 16384};
constexpr std::size_t kNameMost = 1024;  // of names, prefixes and sessions, in bytes

struct Problem {
    int status;
    std::string type, title, detail;
};

class RestSession : public Session {
  public:
    RestSession(boost::asio::io_context& io, RestFront& front, RequestAdmission& admission)
        : Session(
              io, front, admission,
              {.unread = kLimits.head + kLimits.body + 4096, .client_timeout = front.options().half_request}),
          front_(front),
          parser_(kLimits) {}

  private:
    bool step(transport::Buffer& in) override {
        http::Request request;
        std::size_t length = 0;
        switch (parser_.request(in.view(), request, length)) {
            case http::Next::more:
                return false;
            case http::Next::message:
                break;
            case http::Next::head_too_large:
                return hang_up({431, "head-too-large", "The request's head is too large", ""});
            case http::Next::body_too_large:
                return hang_up({413, "body-too-large", "The request's body is too large", ""});
            case http::Next::not_implemented:
                return hang_up({501, "transfer-coding", "This transfer coding is not known", ""});
            case http::Next::bad_version:
                return hang_up({505, "http-version", "This version of HTTP is not spoken", ""});
            case http::Next::bad:
                return hang_up({400, "malformed", "The request is malformed", ""});
        }
        keep_alive_ = request.keep_alive;
        head_only_ = request.method == "HEAD";
        page_ = false;
        ClientRequest item;
        auto problem = read(request, item);
        in.consume(length);
        if (problem) {
            std::vector<http::Field> more;
            if (problem->status == 405) more.push_back({"Allow", "GET, HEAD"});
            reply(*problem, more);
        } else if (health_ && refusing()) {
            reply({503, "sent-away", "Clients are sent away", ""}, {});
        } else if (health_) {
            respond(200, {{"Content-Type", "application/json"}}, json{{"status", "serving"}}.dump());
        } else if (is_open(item.id)) {
            reply({409, "id", "A request of this id is in hand", ""}, {});
        } else if (!has_capacity(item.name.size())) {
            reply({503, "refused", "Too much is in hand", "trying again is harmless"},
                  {{"Retry-After", "1"}});
        } else {
            submit(std::move(item));
        }
        return !over();
    }

    void on_impatient() override { hang_up({408, "half-request", "The request did not end in time", ""}); }
    void on_no_memory() override { hang_up({503, "memory", "Too much is unread or unfinished", ""}); }

    std::optional<Problem> read(const http::Request& request, ClientRequest& item) {
        health_ = false;
        auto target = http::read_target(request.target);
        if (!target) return Problem{400, "malformed", "The target is malformed", ""};
        const auto& path = target->segments;
        health_ = path.size() == 1 && path[0] == "health";
        bool rows = (path.size() == 4 || path.size() == 5) && path[0] == "v1" && path[1] == "clusters" &&
                    path[3] == "kv";
        if (!health_ && !rows) return Problem{404, "not-found", "There is nothing here", ""};
        if (request.method != "GET" && request.method != "HEAD")
            return Problem{405, "method", "Only queries are served here", ""};
        if (health_) return std::nullopt;
        return read_query(request, *target, item);
    }

    std::optional<Problem> read_query(const http::Request& request, const http::Target& target,
                                      ClientRequest& item) {
        auto invalid = [](std::string detail) {
            return Problem{400, "parameter", "A parameter is invalid", std::move(detail)};
        };
        page_ = target.segments.size() == 4;
        static constexpr std::string_view kParameters[] = {"class",  "session", "tenant", "wait_ms",
                                                           "prefix", "limit",   "cursor"};
        for (std::size_t i = 0; i < target.parameters.size(); ++i) {
            const std::string& name = target.parameters[i].first;
            auto at = std::find(std::begin(kParameters), std::end(kParameters), name);
            if (at == std::end(kParameters) || (!page_ && at - std::begin(kParameters) >= 4))
                return invalid("'" + name.substr(0, 64) + "' is not known");
            for (std::size_t j = 0; j < i; ++j)
                if (target.parameters[j].first == name) return invalid("'" + name + "' is given twice");
            if (name != "cursor" && target.parameters[i].second.size() > kNameMost)
                return invalid("'" + name + "' is too long");
        }
        auto parameter = [&](std::string_view name) { return target.parameter(name).value_or(""); };
        auto group = whole<std::uint32_t>(target.segments[2]);
        if (!group) return Problem{404, "not-found", "There is no such cluster", ""};
        const ClassInfo* request_class = front_.classes().find(parameter("class"));
        if (!request_class) return invalid("'class' names no class of request");
        if (request_class->write) return invalid("'class' names a class of writes");
        query_ = rest::Query{request_class->name, std::string(parameter("session")),
                             std::string(parameter("tenant")), std::string(parameter("prefix")), *group};
        if (request_class->session && query_.session.empty())
            return invalid("this class of request needs a 'session'");
        if (!plain(query_.tenant)) return invalid("'tenant' is no name");
        item.client_timeout = request_class->deadline;
        if (auto wait = target.parameter("wait_ms")) {
            auto ms = whole<std::int64_t>(*wait);
            if (!ms || *ms <= 0 || *ms > 3'600'000) return invalid("'wait_ms' is out of range");
            item.client_timeout = std::min<Duration>(item.client_timeout, std::chrono::milliseconds(*ms));
        }
        item.request_class = request_class->id;
        item.class_name = request_class->name;
        item.group = GroupId{*group};
        item.tenant = query_.tenant;
        if (request_class->session) item.session = session_number(query_.session);
        auto id = request.field("request-id");
        if (id && (id->empty() || id->size() > 64 || !plain(*id)))
            return invalid("Request-Id must be 1 to 64 letters, digits or marks");
        item.id = id ? std::string(*id) : front_.next_id();
        while (!id && is_open(item.id)) item.id = front_.next_id();
        if (!page_) {
            item.verb = ClientRequest::Verb::lookup;
            item.name = target.segments[4];
            if (item.name.empty() || item.name.size() > kNameMost ||
                item.name.find('\0') != std::string::npos)
                return invalid("the row's name is empty, too long or malformed");
            return std::nullopt;
        }
        size_ = front_.options().page_size;
        if (auto limit = target.parameter("limit")) {
            auto size = whole<std::uint32_t>(*limit);
            if (!size || *size == 0 || *size > front_.options().page_size_most)
                return invalid("'limit' must lie between 1 and " +
                               std::to_string(front_.options().page_size_most));
            size_ = *size;
        }
        item.verb = ClientRequest::Verb::page;
        item.limit = size_ + 1;  // one more tells whether a next page exists
        if (query_.prefix.find('\0') != std::string::npos) return invalid("'prefix' is malformed");
        if (!query_.prefix.empty()) item.prefix = query_.prefix;
        if (auto cursor = target.parameter("cursor")) {
            auto after = rest::read_cursor(query_, *cursor);
            if (!after) return Problem{400, "cursor", "The cursor is not one of this query", ""};
            item.name = *after;
        }
        return std::nullopt;
    }

    void on_answer(const Answer& answer) override {
        std::string position = answer.position_unix_ms ? std::to_string(*answer.position_unix_ms) : "";
        std::vector<http::Field> fields{{"Cache-Control", "no-store"}};
        if (!position.empty()) fields.push_back({"Data-Position", position});
        if (!page_) {
            if (answer.rows.empty())
                return finish({404, "no-row", "There is no row of this name", ""}, fields);
            fields.push_back({"Content-Type", "application/octet-stream"});
            return finish(200, fields, rest::raw_content(answer.rows[0].content, answer.binary));
        }
        std::vector<Row> rows(answer.rows.begin(), answer.rows.begin() + std::ptrdiff_t(std::min<std::size_t>(
                                                                             answer.rows.size(), size_)));
        for (Row& row : rows) row.content = rest::raw_content(row.content, answer.binary);
        json body{{"items", rest::write_rows(rows)}, {"next", nullptr}};
        std::string link;
        if (answer.rows.size() > rows.size() && !rows.empty()) {
            std::string cursor = rest::write_cursor(query_, rows.back().name);
            body["next"] = cursor;
            link = "<" + next_target(cursor) + ">; rel=\"next\"";
            fields.push_back({"Link", link});
        }
        fields.push_back({"Content-Type", "application/json"});
        // Names are bytes to the hosts; JSON wants UTF-8, so what is none is replaced, not thrown at us.
        finish(200, fields, body.dump(-1, ' ', false, json::error_handler_t::replace));
    }

    std::string next_target(const std::string& cursor) const {
        std::string out = "/v1/clusters/" + std::to_string(query_.group) +
                          "/kv?class=" + http::percent_encode(query_.class_name);
        for (auto [name, value] :
             {std::pair{"session", &query_.session}, {"tenant", &query_.tenant}, {"prefix", &query_.prefix}})
            if (!value->empty()) out += "&" + std::string(name) + "=" + http::percent_encode(*value);
        return out + "&limit=" + std::to_string(size_) + "&cursor=" + cursor;
    }

    void on_final_error(const FinalError& ending) override {
        std::string seconds;
        std::vector<http::Field> fields;
        if (ending.retry_after) {
            // Whole seconds, rounded up: what the field can say.
            seconds = std::to_string((ending.retry_after->count() + 999'999) / 1'000'000);
            fields.push_back({"Retry-After", seconds});
        }
        if (ending.deadline)
            finish({504, "deadline", "No host answered in time", ""}, fields);
        else if (ending.kind == FinalError::Kind::rejected)
            finish({503, "refused", "No host can take this now", "trying again is harmless"}, fields);
        else
            finish({502, "failed", "The host failed", ""}, fields);
    }

    // ---- answers -------------------------------------------------------------------------------

    std::string message(int status, std::vector<http::Field> fields, const std::string& body) {
        log(status);
        return http::write_response(status, fields, body, keep_alive_ && !retiring(), head_only_);
    }
    std::string message(const Problem& p, std::vector<http::Field> fields) {
        json body{{"type", "urn:indigovane:problem:" + p.type}, {"title", p.title}, {"status", p.status}};
        if (!p.detail.empty()) body["detail"] = p.detail;
        fields.push_back({"Content-Type", "application/problem+json"});
        return message(p.status, fields, body.dump(-1, ' ', false, json::error_handler_t::replace));
    }
    void respond(int status, std::vector<http::Field> fields, const std::string& body) {
        write(message(status, std::move(fields), body));
        if (!keep_alive_ || retiring()) leave();
    }
    void reply(const Problem& p, std::vector<http::Field> fields) {
        write(message(p, std::move(fields)));
        if (!keep_alive_ || retiring()) leave();
    }
    void finish(int status, std::vector<http::Field> fields, const std::string& body) {
        last(message(status, std::move(fields), body));
    }
    void finish(const Problem& p, std::vector<http::Field> fields) { last(message(p, std::move(fields))); }
    void last(std::string bytes) {
        if (keep_alive_ && !retiring()) return answered(std::move(bytes));
        write(std::move(bytes));
        leave();
    }
    // Where the next request begins is not known after this.
    bool hang_up(const Problem& p) {
        keep_alive_ = head_only_ = false;
        write(message(p, {}));
        leave(transport::Connection::LateInput::discard);
        return false;
    }

    void log(int status) {
        front_.logger().log(status >= 500 ? Level::warning : Level::info, "rest", "answered",
                            {{"status", std::to_string(status)},
                             {"class", query_.class_name},
                             {"cluster", std::to_string(query_.group)}});
    }

    RestFront& front_;
    http::Parser parser_;
    rest::Query query_;
    std::uint32_t size_ = 0;
    bool keep_alive_ = true, head_only_ = false, page_ = false, health_ = false;
};

}  // namespace

std::string RestFront::next_id() {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++ids_));
    return text;
}

std::shared_ptr<Session> RestFront::open() {
    return std::make_shared<RestSession>(io_, *this, admission_);
}

}  // namespace indigovane::adapters
