#include "adapters/rest_backend.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

#include "adapters/backend_connection_base.hpp"
#include "adapters/rest.hpp"
#include "protocol/http.hpp"
#include "protocol/pg.hpp"

namespace indigovane::adapters {

namespace http = protocol::http;
using namespace routing;
using nlohmann::json;
using policy::AttemptStatus;
using policy::Role;

namespace {

constexpr http::Limits kLimits{.head = 16384, .body = 8 << 20};  // bytes
constexpr std::int64_t kMaxPositionUnixMs = 9'000'000'000'000;
constexpr int kFirstFinalStatus = 200;  // 1xx responses are interim: RFC 9110, section 15.2

std::optional<std::int64_t> read_position(std::optional<std::string_view> text) {
    std::int64_t ms = 0;
    if (!text) return std::nullopt;
    auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), ms);
    if (error != std::errc() || end != text->data() + text->size() || ms <= 0 || ms > kMaxPositionUnixMs)
        return std::nullopt;
    return ms;
}

// The content to write. A long value is not copied into `content`: it is read from the statement.
std::string content_to_write(const ClientRequest& request) {
    if (request.content || request.statement.empty()) return request.content.value_or("");
    return std::string(
        protocol::pg::read_verb(protocol::pg::read_statement(request.statement).body).long_content);
}

class RestConnection : public BackendConnectionBase {
  public:
    RestConnection(boost::asio::io_context& io, Owner& owner, std::string host,
                   std::shared_ptr<AnswerMemory> answer_memory)
        : BackendConnectionBase(io, owner, kLimits.head + kLimits.body * 2, std::move(answer_memory)),
          parser_(kLimits),
          host_(std::move(host)) {}

    void submit(const ClientRequest& request, Duration remaining,
                std::optional<std::int64_t> min_position_unix_ms) override {
        verb_ = request.verb;
        is_health_check_ = false;
        std::string remaining_ms = std::to_string(std::max<std::int64_t>(1, remaining.count() / 1000));
        std::string min_position = min_position_unix_ms ? std::to_string(*min_position_unix_ms) : "";
        std::vector<http::Field> fields{{"Request-Id", request.id},
                                        {"Request-Class", request.class_name},
                                        {"Request-Timeout-Ms", remaining_ms}};
        if (!request.tenant.empty()) fields.push_back({"Tenant", request.tenant});
        if (!request.key.empty()) fields.push_back({"Idempotency-Key", request.key});
        if (min_position_unix_ms) fields.push_back({"Min-Position", min_position});
        std::string target = "/v1/clusters/" + std::to_string(std::uint32_t(request.group)) + "/kv";
        switch (verb_) {
            case ClientRequest::Verb::lookup:
                send_request(http::write_request("GET", target + "/" + http::percent_encode(request.name),
                                                 host_, fields));
                return;
            case ClientRequest::Verb::write: {
                fields.push_back({"Content-Type", "application/octet-stream"});
                std::string body = rest::raw_content(content_to_write(request), false);
                if (body.empty()) fields.push_back({"Content-Length", "0"});
                send_request(http::write_request("PUT", target + "/" + http::percent_encode(request.name),
                                                 host_, fields, body));
                return;
            }
            case ClientRequest::Verb::page:
                target += "?after=" + http::percent_encode(request.name) +
                          "&limit=" + std::to_string(request.limit);
                if (request.prefix) target += "&prefix=" + http::percent_encode(*request.prefix);
                send_request(http::write_request("GET", target, host_, fields));
                return;
            case ClientRequest::Verb::other:
                break;
        }
        // The statement has no equivalent in this protocol. It never ran, and no other REST host could run it
        // either.
        state_ = State::awaiting_answer;
        boost::asio::post(connection_->executor(), [weak = weak_from_this()] {
            auto self = std::static_pointer_cast<RestConnection>(weak.lock());
            if (self && self->owner_ && self->state_ == State::awaiting_answer)
                self->complete_task(AttemptResult{});
        });
    }

    void probe() override {
        is_health_check_ = true;
        send_request(http::write_request("GET", "/health", host_, {}));
    }

  private:
    void on_connected() override { on_established(); }

    void on_data(transport::Buffer& in) override {
        auto self = shared_from_this();
        while (owner_ && !in.empty() && process_response(in, false))
            if (connection_->must_yield()) return;
        if (owner_ && state_ == State::awaiting_answer && !in.empty() &&
            has_answer_memory(policy::Execution::may_have_run))
            note_incomplete_answer();
    }

    void on_closed(const transport::error_code& ec) override {
        auto self = shared_from_this();
        // A response body without a length ends when the connection closes.
        if (state_ == State::awaiting_answer && input_ && !input_->empty() && ec == boost::asio::error::eof &&
            process_response(*input_, true) && !owner_)
            return;
        BackendConnectionBase::on_closed(ec);
    }

    // Processes one response. False: it is incomplete, or was malformed or not requested, which ends the
    // connection. `at_end`: the host has closed the connection, so that no more bytes follow.
    bool process_response(transport::Buffer& in, bool at_end) {
        input_ = &in;
        http::Response response;
        std::size_t length = 0;
        http::Next next = parser_.response(in.view(), at_end, response, length);
        if (next == http::Next::more) return false;
        if (next != http::Next::message || state_ != State::awaiting_answer) {
            end(end_reason_if_lost());
            return false;
        }
        if (response.status < kFirstFinalStatus) {
            in.consume(length);
            if (answer_size_.add_skipped(length)) return true;
            end(end_reason_if_lost());
            return false;
        }
        AttemptResult result = is_health_check_ ? read_health(response) : read_answer(response);
        result.reusable = response.keep_alive && !at_end;
        in.consume(length);
        complete_task(std::move(result));
        return true;
    }

    AttemptResult read_answer(const http::Response& response) {
        AttemptResult result;
        if (auto role = response.field("member-role"))
            result.role = *role == "primary" ? Role::primary : Role::replica;
        if (auto position = read_position(response.field("data-position"))) {
            result.position_unix_us = *position * 1000;
            result.answer.position_unix_ms = position;
        }
        result.status = AttemptStatus::error;
        if (response.status == 200 || response.status == 201) {
            result.status = AttemptStatus::ok;
            if (verb_ == ClientRequest::Verb::page) {
                auto rows = rest::read_rows(response.body);
                if (!rows) result.status = AttemptStatus::error;
                if (rows) result.answer.rows = std::move(*rows);
            } else {
                result.answer.rows.push_back({{}, response.body});
                if (verb_ == ClientRequest::Verb::write) result.answer.tag = "INSERT 0 1";
            }
        } else if (response.status == 404 && verb_ == ClientRequest::Verb::lookup) {
            result.status = AttemptStatus::ok;  // the row does not exist, which is a valid answer
        } else if (response.status == 412 || response.status == 421) {
            result.status = AttemptStatus::miss;
        } else if (response.status == 429 || response.status == 503) {
            result.status = AttemptStatus::rejected;
        }
        return result;
    }

    static AttemptResult read_health(const http::Response& response) {
        AttemptResult result;
        result.status = response.status == 200   ? AttemptStatus::ok
                        : response.status == 503 ? AttemptStatus::rejected
                                                 : AttemptStatus::error;
        json body = json::parse(response.body, nullptr, false);
        if (!body.is_object()) return result;
        auto number = [&](const char* name) -> std::optional<double> {
            if (!body.contains(name) || !body[name].is_number()) return std::nullopt;
            return body[name].get<double>();
        };
        if (auto ms = number("position_ms"); ms && *ms > 0 && *ms < double(kMaxPositionUnixMs))
            result.report_position_unix_us = std::int64_t(*ms * 1000);
        if (body.contains("primary") && body["primary"].is_boolean())
            result.report.primary = body["primary"].get<bool>();
        result.report.in_flight = number("inflight");
        return result;
    }

    http::Parser parser_;
    std::string host_;
    transport::Buffer* input_ = nullptr;
    ClientRequest::Verb verb_ = ClientRequest::Verb::other;
    bool is_health_check_ = false;
};

}  // namespace

std::shared_ptr<BackendConnection> RestBackend::open(const std::string& address, Duration timeout,
                                                     BackendConnection::Owner& owner) {
    auto connection = std::make_shared<RestConnection>(io_, owner, address, answer_memory_);
    connection->connect(io_, address, timeout);
    return connection;
}

}  // namespace indigovane::adapters
