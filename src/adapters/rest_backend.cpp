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

constexpr http::Limits kLimits{.head = 16384, .body = 8 << 20};
constexpr std::int64_t kPositionMost = 9'000'000'000'000;  // milliseconds

std::optional<std::int64_t> read_position(std::optional<std::string_view> text) {
    std::int64_t ms = 0;
    if (!text) return std::nullopt;
    auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), ms);
    if (error != std::errc() || end != text->data() + text->size() || ms <= 0 || ms > kPositionMost)
        return std::nullopt;
    return ms;
}

// A long value stands in the statement alone.
std::string content_of(const ClientRequest& item) {
    if (item.content || item.statement.empty()) return item.content.value_or("");
    return std::string(
        protocol::pg::read_verb(protocol::pg::read_statement(item.statement).body).long_content);
}

class RestConnection : public BackendConnectionBase {
  public:
    RestConnection(boost::asio::io_context& io, Owner& owner, std::string host)
        : BackendConnectionBase(io, owner, kLimits.head + kLimits.body * 2),
          parser_(kLimits),
          host_(std::move(host)) {}

    void submit(const ClientRequest& item, Duration remaining, std::optional<std::int64_t> needs) override {
        verb_ = item.verb;
        probing_ = false;
        std::string wait = std::to_string(std::max<std::int64_t>(1, remaining.count() / 1000));
        std::string floor = needs ? std::to_string(*needs) : "";
        std::vector<http::Field> fields{
            {"Request-Id", item.id}, {"Request-Class", item.class_name}, {"Request-Timeout-Ms", wait}};
        if (!item.tenant.empty()) fields.push_back({"Tenant", item.tenant});
        if (!item.key.empty()) fields.push_back({"Idempotency-Key", item.key});
        if (needs) fields.push_back({"Min-Position", floor});
        std::string target = "/v1/clusters/" + std::to_string(std::uint32_t(item.group)) + "/kv";
        switch (verb_) {
            case ClientRequest::Verb::lookup:
                send_request(http::write_request("GET", target + "/" + http::percent_encode(item.name), host_,
                                                 fields));
                return;
            case ClientRequest::Verb::write: {
                fields.push_back({"Content-Type", "application/octet-stream"});
                std::string body = rest::raw_content(content_of(item), false);
                if (body.empty()) fields.push_back({"Content-Length", "0"});
                send_request(http::write_request("PUT", target + "/" + http::percent_encode(item.name), host_,
                                                 fields, body));
                return;
            }
            case ClientRequest::Verb::page:
                target +=
                    "?after=" + http::percent_encode(item.name) + "&limit=" + std::to_string(item.limit);
                if (item.prefix) target += "&prefix=" + http::percent_encode(*item.prefix);
                send_request(http::write_request("GET", target, host_, fields));
                return;
            case ClientRequest::Verb::other:
                break;
        }
        // A statement that has no form in this protocol. It never ran, and no other member knows it either.
        state_ = State::awaiting_answer;
        boost::asio::post(connection_->executor(), [weak = weak_from_this()] {
            auto self = std::static_pointer_cast<RestConnection>(weak.lock());
            if (self && self->owner_ && self->state_ == State::awaiting_answer) self->answer(AttemptResult{});
        });
    }

    void probe() override {
        probing_ = true;
        send_request(http::write_request("GET", "/health", host_, {}));
    }

  private:
    void on_connected() override { came_up(); }

    void on_data(transport::Buffer& in) override {
        auto self = shared_from_this();
        while (owner_ && !in.empty())
            if (!take(in, false)) return;
    }

    void on_closed(const transport::error_code& ec) override {
        auto self = shared_from_this();
        // A body may end with its connection.
        if (state_ == State::awaiting_answer && in_ && !in_->empty() && ec == boost::asio::error::eof &&
            take(*in_, true) && !owner_)
            return;
        end(broken());
    }

    bool take(transport::Buffer& in, bool at_end) {
        in_ = &in;
        http::Response response;
        std::size_t length = 0;
        http::Next next = parser_.response(in.view(), at_end, response, length);
        if (next == http::Next::more) return false;
        if (next != http::Next::message || state_ != State::awaiting_answer) {
            end(broken());
            return false;
        }
        if (response.status < 200) {
            in.consume(length);
            return true;
        }
        AttemptResult result = probing_ ? read_health(response) : read_answer(response);
        result.reusable = response.keep_alive && !at_end;
        in.consume(length);
        answer(std::move(result));
        return true;
    }

    AttemptResult read_answer(const http::Response& r) {
        AttemptResult result;
        if (auto role = r.field("member-role"))
            result.role = *role == "primary" ? Role::primary : Role::replica;
        if (auto position = read_position(r.field("data-position"))) {
            result.position_unix_us = *position * 1000;
            result.answer.position_unix_ms = position;
        }
        result.status = AttemptStatus::error;
        if (r.status == 200 || r.status == 201) {
            result.status = AttemptStatus::ok;
            if (verb_ == ClientRequest::Verb::page) {
                auto rows = rest::read_rows(r.body);
                if (!rows) result.status = AttemptStatus::error;
                if (rows) result.answer.rows = std::move(*rows);
            } else {
                result.answer.rows.push_back({{}, r.body});
                if (verb_ == ClientRequest::Verb::write) result.answer.tag = "INSERT 0 1";
            }
        } else if (r.status == 404 && verb_ == ClientRequest::Verb::lookup) {
            result.status = AttemptStatus::ok;  // no such row: an answer like any other
        } else if (r.status == 412 || r.status == 421) {
            result.status = AttemptStatus::miss;
        } else if (r.status == 429 || r.status == 503) {
            result.status = AttemptStatus::rejected;
        }
        return result;
    }

    static AttemptResult read_health(const http::Response& r) {
        AttemptResult result;
        result.status = r.status == 200   ? AttemptStatus::ok
                        : r.status == 503 ? AttemptStatus::rejected
                                          : AttemptStatus::error;
        json body = json::parse(r.body, nullptr, false);
        if (!body.is_object()) return result;
        auto number = [&](const char* name) -> std::optional<double> {
            if (!body.contains(name) || !body[name].is_number()) return std::nullopt;
            return body[name].get<double>();
        };
        if (auto ms = number("position_ms"); ms && *ms > 0 && *ms < double(kPositionMost))
            result.report_position_unix_us = std::int64_t(*ms * 1000);
        if (body.contains("primary") && body["primary"].is_boolean())
            result.report.primary = body["primary"].get<bool>();
        result.report.in_flight = number("inflight");
        return result;
    }

    http::Parser parser_;
    std::string host_;
    transport::Buffer* in_ = nullptr;
    ClientRequest::Verb verb_ = ClientRequest::Verb::other;
    bool probing_ = false;
};

}  // namespace

std::shared_ptr<BackendConnection> RestBackend::open(const std::string& address, Duration timeout,
                                                     BackendConnection::Owner& owner) {
    auto link = std::make_shared<RestConnection>(io_, owner, address);
    link->connect(io_, address, timeout);
    return link;
}

}  // namespace indigovane::adapters
