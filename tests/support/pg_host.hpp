// Stand-in hosts that speak PostgreSQL's protocol.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "protocol/pg.hpp"
#include "support/stand_in_host.hpp"

namespace indigovane::testing {

namespace pg = protocol::pg;

// A stand-in that speaks PostgreSQL's protocol: framing, and the report of a host's state.
class PgStandIn : public StandIn {
  public:
    using StandIn::StandIn;

  protected:
    // Consumes the next complete message of `in`: a startup packet first, then messages with a text. Nothing:
    // more bytes are needed.
    static std::optional<std::string> next_text(const Peer& peer, transport::Buffer& in) {
        pg::Message message;
        std::size_t length = 0;
        auto next = peer.started ? pg::next_message(in.view(), 16 << 20, message, length)
                                 : pg::next_startup(in.view(), 10000, message, length);
        if (next != pg::Next::message) return std::nullopt;
        std::string text(message.body.substr(0, message.body.find('\0')));
        in.consume(length);
        return text;
    }
    // The answer of SHOW health.
    static std::string health(std::int64_t position_ms, bool primary) {
        std::string position = std::to_string(position_ms);
        std::string seconds =
            position.substr(0, position.size() - 3) + "." + position.substr(position.size() - 3);
        std::string report = "x0=" + seconds + ",x1=" + (primary ? "1" : "0") + ",inflight=0";
        return pg::Writer()
            .row_description({{"health", 25, false}})
            .data_row({report})
            .complete("SHOW")
            .ready()
            .take();
    }
};

class PgHost : public PgStandIn {
  public:
    using PgStandIn::PgStandIn;

  protected:
    bool take(Peer& peer, transport::Buffer& in, std::string& out) override {
        auto next = next_text(peer, in);
        if (!next) return false;
        const std::string& body = *next;
        if (!std::exchange(peer.started, true)) {
            out += pg::Writer().authentication_ok().parameter("server_version", "15").ready().take();
            return true;
        }
        if (body == "SHOW health") {
            ++host_.probes;
            out += health(host_.position(), host_.primary);
            return true;
        }
        ++host_.queries;
        host_.asked.push_back(body);
        host_.query_times.push_back(std::chrono::steady_clock::now());
        if (host_.silent) {
            peer.waiting = true;
            return true;
        }
        std::string_view statement = pg::read_statement(body).body;
        for (auto& [prefix, time] : host_.duration_by_prefix)
            if (statement.starts_with(prefix)) {
                execute(peer, time, body);
                return true;
            }
        out += answer(body);
        return true;
    }

    // Uses a core for `time`, then answers if the connection is still open; queued while no core is free.
    void execute(Peer& peer, std::chrono::milliseconds time, const std::string& body) {
        auto run = [this, time, body, weak = std::weak_ptr<transport::Connection>(peer.connection)] {
            ++host_.busy_cores;
            auto timer = std::make_shared<boost::asio::steady_timer>(loop_.io, time);
            timer->async_wait([this, timer, body, weak](const boost::system::error_code& ec) {
                if (ec) return;
                --host_.busy_cores;
                if (auto connection = weak.lock(); connection && connection->open())
                    connection->write(answer(body));
                if (!host_.waiting_for_core.empty() && host_.busy_cores < host_.cores) {
                    auto next = std::move(host_.waiting_for_core.front());
                    host_.waiting_for_core.pop_front();
                    next();
                }
            });
        };
        if (host_.busy_cores < host_.cores)
            run();
        else
            host_.waiting_for_core.push_back(run);
    }

    std::string answer(const std::string& body) {
        pg::Writer out;
        const std::string position = std::to_string(host_.position());
        std::string_view statement = pg::read_statement(body).body;
        pg::Verb verb = pg::read_verb(statement);
        if (host_.accepts_any_statement && verb.kind == pg::Verb::Kind::other)
            answer_any(statement, out);
        else if (host_.failing)
            out.error("ERROR", "XX000", "broken");
        else if (host_.rejecting)
            out.error("ERROR", "53300", "full");
        else if (verb.kind == pg::Verb::Kind::write && !host_.primary)
            out.error("ERROR", "25006", "read-only");
        else if (verb.kind == pg::Verb::Kind::page)
            answer_page(verb, out);
        else
            answer_row(body, verb, out);
        out.parameter("recovery", host_.primary ? "off" : "on").parameter("lsn_ms", position);
        return out.ready().take();
    }

  private:
    void answer_any(std::string_view statement, pg::Writer& out) {
        std::optional<std::string> sqlstate;
        for (auto& [prefix, scripted] : host_.sqlstate_by_prefix)
            if (statement.starts_with(prefix)) sqlstate = scripted;
        if (!sqlstate)
            out.row_description({{"a", 25, false}, {"b", 25, false}})
                .data_row({"one", std::nullopt})
                .data_row({host_.primary ? "primary" : "replica", "2"})
                .complete("SELECT 2");
        else if (sqlstate->empty())
            out.complete("DELETE 3");
        else
            out.error("ERROR", *sqlstate, "as the host says");
    }
    void answer_page(const pg::Verb& verb, pg::Writer& out) {
        out.row_description({{"name", 25, false}, {"content", 17, true}});
        auto rows = host_.page(verb.name, verb.prefix.value_or(""), verb.limit);
        for (auto& row : rows) out.data_row({row.name, row.content});
        out.complete("SELECT " + std::to_string(rows.size()));
    }
    void answer_row(const std::string& body, pg::Verb verb, pg::Writer& out) {
        if (!verb.long_content.empty()) verb.content = std::string(verb.long_content);
        if (verb.content) {
            host_.executed_writes.push_back(body);
            host_.rows[verb.name] = pg::unhex(*verb.content).value_or(*verb.content);
        }
        out.row_description({{"content", 17, true}}).data_row({host_.rows[verb.name]});
        if (host_.sqlstate_after_row.empty())
            out.complete(verb.content ? "INSERT 0 1" : "SELECT 1");
        else
            out.error("ERROR", host_.sqlstate_after_row, "after the row");
    }
};

}  // namespace indigovane::testing
