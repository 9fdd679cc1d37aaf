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
constexpr std::size_t kMaxNameBytes = 1024;  // of a name, a prefix, a session or a tenant

struct Problem {
    int status;
    std::string type, title, detail;
};

class RestSession : public Session {
  public:
    RestSession(boost::asio::io_context& io, RestFront& front, RequestAdmission& admission)
        : Session(io, front, admission,
                  {.unread_bytes = kLimits.head + kLimits.body + 4096,
                   .client_timeout = front.options().request_timeout}),
          front_(front),
          parser_(kLimits) {}

  private:
    bool process_next_message(transport::Buffer& in) override {
        http::Request request;
        std::size_t length = 0;
        switch (parser_.request(in.view(), request, length)) {
            case http::Next::more:
                return false;
            case http::Next::message:
                break;
            case http::Next::head_too_large:
                return close_with_problem({431, "head-too-large", "The request's head is too large", ""});
            case http::Next::body_too_large:
                return close_with_problem({413, "body-too-large", "The request's body is too large", ""});
            case http::Next::not_implemented:
                return close_with_problem(
                    {501, "transfer-coding", "This transfer coding is not supported", ""});
            case http::Next::bad_version:
                return close_with_problem({505, "http-version", "This version of HTTP is not supported", ""});
            case http::Next::bad:
                return close_with_problem({400, "malformed", "The request is malformed", ""});
        }
        keeps_alive_ = request.keep_alive;
        is_head_request_ = request.method == "HEAD";
        is_page_ = false;
        ClientRequest client_request;
        auto problem = read_request(request, client_request);
        in.consume(length);
        if (problem) {
            std::vector<http::Field> fields;
            if (problem->status == 405) fields.push_back({"Allow", "GET, HEAD"});
            respond(*problem, fields);
        } else if (is_health_check_ && is_failing_checks()) {
            respond({503, "sent-away", "This pooler is sending its clients away", ""}, {});
        } else if (is_health_check_) {
            respond(200, {{"Content-Type", "application/json"}}, json{{"status", "serving"}}.dump());
        } else if (is_open(client_request.id)) {
            respond({409, "id", "A request with this id is in flight, or may have run", ""}, {});
        } else if (!has_capacity(client_request.name.size())) {
            respond({503, "refused", "The pooler has no memory for another request",
                     "the request can safely be retried"},
                    {{"Retry-After", "1"}});
        } else {
            submit(std::move(client_request));
        }
        return !is_closed();
    }

    void on_client_timeout() override {
        close_with_problem({408, "half-request", "The request was not complete in time", ""});
    }
    void on_memory_limit() override {
        close_with_problem(
            {503, "memory", "The clients' unread and incomplete requests use too much memory", ""});
    }

    std::optional<Problem> read_request(const http::Request& request, ClientRequest& client_request) {
        is_health_check_ = false;
        auto target = http::read_target(request.target);
        if (!target) return Problem{400, "malformed", "The target is malformed", ""};
        const auto& path = target->segments;
        is_health_check_ = path.size() == 1 && path[0] == "health";
        bool is_rows_path = (path.size() == 4 || path.size() == 5) && path[0] == "v1" &&
                            path[1] == "clusters" && path[3] == "kv";
        if (!is_health_check_ && !is_rows_path)
            return Problem{404, "not-found", "There is no resource at this path", ""};
        if (request.method != "GET" && request.method != "HEAD")
            return Problem{405, "method", "Only GET and HEAD are supported", ""};
        if (is_health_check_) return std::nullopt;
        return read_query(request, *target, client_request);
    }

    std::optional<Problem> read_query(const http::Request& request, const http::Target& target,
                                      ClientRequest& client_request) {
        auto invalid = [](std::string detail) {
            return Problem{400, "parameter", "A parameter is invalid", std::move(detail)};
        };
        is_page_ = target.segments.size() == 4;
        static constexpr std::string_view kParameters[] = {"class",  "session", "tenant", "wait_ms",
                                                           "prefix", "limit",   "cursor"};
        for (std::size_t i = 0; i < target.parameters.size(); ++i) {
            const std::string& name = target.parameters[i].first;
            auto known = std::find(std::begin(kParameters), std::end(kParameters), name);
            if (known == std::end(kParameters) || (!is_page_ && known - std::begin(kParameters) >= 4))
                return invalid("'" + name.substr(0, 64) + "' is not a parameter of this resource");
            for (std::size_t j = 0; j < i; ++j)
                if (target.parameters[j].first == name) return invalid("'" + name + "' is given twice");
            if (name != "cursor" && target.parameters[i].second.size() > kMaxNameBytes)
                return invalid("'" + name + "' is too long");
        }
        auto parameter = [&](std::string_view name) { return target.parameter(name).value_or(""); };
        auto group = parse_number<std::uint32_t>(target.segments[2]);
        if (!group) return Problem{404, "not-found", "The cluster is not a number", ""};
        const ClassInfo* request_class = front_.classes().find(parameter("class"));
        if (!request_class) return invalid("'class' is missing or names no request class");
        if (request_class->is_write)
            return invalid("'class' names a class of writes; only reads are supported");
        query_ = rest::Query{request_class->name, std::string(parameter("session")),
                             std::string(parameter("tenant")), std::string(parameter("prefix")), *group};
        if (request_class->has_session_consistency && query_.session.empty())
            return invalid("'session' is missing; this request class needs it");
        if (!is_plain_token(query_.tenant))
            return invalid("'tenant' may hold only letters, digits and - _ . :");
        client_request.client_timeout = request_class->deadline;
        if (auto wait = target.parameter("wait_ms")) {
            auto wait_ms = parse_number<std::int64_t>(*wait);
            if (!wait_ms || *wait_ms <= 0 || *wait_ms > 3'600'000)
                return invalid("'wait_ms' is out of range");
            client_request.client_timeout =
                std::min<Duration>(client_request.client_timeout, std::chrono::milliseconds(*wait_ms));
        }
        client_request.request_class = request_class->id;
        client_request.class_name = request_class->name;
        client_request.group = GroupId{*group};
        client_request.tenant = query_.tenant;
        if (request_class->has_session_consistency) {
            client_request.session = session_number(query_.session);
            client_request.uses_remembered_token = true;  // no parameter carries one
        }
        auto id = request.field("request-id");
        if (id && (id->empty() || id->size() > 64 || !is_plain_token(*id)))
            return invalid("Request-Id must be 1 to 64 letters, digits or - _ . :");
        client_request.id = id ? std::string(*id) : front_.next_request_id();
        while (!id && is_open(client_request.id)) client_request.id = front_.next_request_id();
        if (!is_page_) {
            client_request.verb = ClientRequest::Verb::lookup;
            client_request.name = target.segments[4];
            if (client_request.name.empty() || client_request.name.size() > kMaxNameBytes ||
                client_request.name.find('\0') != std::string::npos)
                return invalid("the row's name is empty, too long or malformed");
            return std::nullopt;
        }
        page_size_ = front_.options().page_size;
        if (auto limit = target.parameter("limit")) {
            auto size = parse_number<std::uint32_t>(*limit);
            if (!size || *size == 0 || *size > front_.options().max_page_size)
                return invalid("'limit' must lie between 1 and " +
                               std::to_string(front_.options().max_page_size));
            page_size_ = *size;
        }
        client_request.verb = ClientRequest::Verb::page;
        client_request.limit = page_size_ + 1;  // the row beyond the page tells whether a next page exists
        if (query_.prefix.find('\0') != std::string::npos) return invalid("'prefix' is malformed");
        if (!query_.prefix.empty()) client_request.prefix = query_.prefix;
        if (auto cursor = target.parameter("cursor")) {
            auto after = rest::read_cursor(query_, *cursor);
            if (!after)
                return Problem{400, "cursor", "The cursor is damaged or belongs to another query", ""};
            client_request.name = *after;
        }
        return std::nullopt;
    }

    void on_answer(const Answer& answer) override {
        std::string position = answer.position_unix_ms ? std::to_string(*answer.position_unix_ms) : "";
        std::vector<http::Field> fields{{"Cache-Control", "no-store"}};
        if (!position.empty()) fields.push_back({"Data-Position", position});
        if (!is_page_) {
            if (answer.rows.empty())
                return respond_to_submitted({404, "no-row", "There is no row with this name", ""}, fields);
            fields.push_back({"Content-Type", "application/octet-stream"});
            return respond_to_submitted(200, fields,
                                        rest::raw_content(answer.rows[0].content, answer.binary));
        }
        std::vector<Row> rows(
            answer.rows.begin(),
            answer.rows.begin() + std::ptrdiff_t(std::min<std::size_t>(answer.rows.size(), page_size_)));
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
        // Hosts treat names as bytes, but JSON needs UTF-8. Invalid sequences are replaced; by default dump()
        // would throw.
        respond_to_submitted(200, fields, body.dump(-1, ' ', false, json::error_handler_t::replace));
    }

    std::string next_target(const std::string& cursor) const {
        std::string out = "/v1/clusters/" + std::to_string(query_.group) +
                          "/kv?class=" + http::percent_encode(query_.class_name);
        for (auto [name, value] :
             {std::pair{"session", &query_.session}, {"tenant", &query_.tenant}, {"prefix", &query_.prefix}})
            if (!value->empty()) out += "&" + std::string(name) + "=" + http::percent_encode(*value);
        return out + "&limit=" + std::to_string(page_size_) + "&cursor=" + cursor;
    }

    void on_final_error(const FinalError& final_error) override {
        std::string seconds;
        std::vector<http::Field> fields;
        if (final_error.retry_after) {
            // Retry-After takes whole seconds; the time is rounded up.
            seconds = std::to_string((final_error.retry_after->count() + 999'999) / 1'000'000);
            fields.push_back({"Retry-After", seconds});
        }
        if (final_error.deadline)
            respond_to_submitted({504, "deadline", "No database host answered in time", ""}, fields);
        else if (final_error.kind == FinalError::Kind::rejected)
            respond_to_submitted({503, "refused", "No database host can take this request now",
                                  "the request can safely be retried"},
                                 fields);
        else
            respond_to_submitted({502, "failed", "The database host failed", ""}, fields);
    }

    // ---- answers -------------------------------------------------------------------------------

    std::string format_response(int status, std::vector<http::Field> fields, const std::string& body) {
        log(status);
        return http::write_response(status, fields, body, keeps_alive_ && !is_last_answer(),
                                    is_head_request_);
    }
    std::string format_response(const Problem& problem, std::vector<http::Field> fields) {
        json body{{"type", "urn:indigovane:problem:" + problem.type},
                  {"title", problem.title},
                  {"status", problem.status}};
        if (!problem.detail.empty()) body["detail"] = problem.detail;
        fields.push_back({"Content-Type", "application/problem+json"});
        return format_response(problem.status, fields,
                               body.dump(-1, ' ', false, json::error_handler_t::replace));
    }
    void respond(int status, std::vector<http::Field> fields, const std::string& body) {
        write(format_response(status, std::move(fields), body));
        if (!keeps_alive_ || is_last_answer()) close_gracefully();
    }
    void respond(const Problem& problem, std::vector<http::Field> fields) {
        write(format_response(problem, std::move(fields)));
        if (!keeps_alive_ || is_last_answer()) close_gracefully();
    }
    void respond_to_submitted(int status, std::vector<http::Field> fields, const std::string& body) {
        if (!has_memory_for_answer(body.size()))
            return respond_to_submitted(
                {503, "memory", "The answers that clients have yet to read use too much memory", ""},
                {{"Retry-After", "1"}});
        send_last_bytes(format_response(status, std::move(fields), body));
    }
    void respond_to_submitted(const Problem& problem, std::vector<http::Field> fields) {
        send_last_bytes(format_response(problem, std::move(fields)));
    }
    void send_last_bytes(std::string bytes) {
        if (keeps_alive_ && !is_last_answer()) return finish_response(std::move(bytes));
        write(std::move(bytes));
        close_gracefully();
    }
    // Answers and closes the connection: where the next request begins is unknown.
    bool close_with_problem(const Problem& problem) {
        keeps_alive_ = is_head_request_ = false;
        write(format_response(problem, {}));
        close_gracefully(transport::Connection::LateInput::discard);
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
    std::uint32_t page_size_ = 0;
    bool keeps_alive_ = true, is_head_request_ = false, is_page_ = false, is_health_check_ = false;
};

}  // namespace

std::string RestFront::next_request_id() {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last_request_number_));
    return text;
}

std::shared_ptr<Session> RestFront::create_session() {
    return std::make_shared<RestSession>(io_, *this, admission_);
}

}  // namespace indigovane::adapters
