// A front with an admission whose answers depend on the request's id.
#pragma once

#include <algorithm>
#include <boost/asio/post.hpp>
#include <map>
#include <set>
#include <string>
#include <type_traits>

#include "adapters/pg_front.hpp"
#include "adapters/rest_front.hpp"
#include "support/harness.hpp"

namespace indigovane::testing {

// The first letter of a request's id selects its answer: 's' served, 'r' rejected, 'd' deadline exceeded, 'h'
// no answer, others failed.
struct ScriptedAdmission : routing::RequestAdmission {
    explicit ScriptedAdmission(Loop& event_loop) : loop(event_loop) {}
    routing::RequestId accept(routing::ClientRequest request, routing::Responder& responder) override {
        routing::RequestId id{++count};
        open[id] = &responder;
        last = request;
        if (request.id[0] != 'h') boost::asio::post(loop.io, [this, id, request] { answer(id, request); });
        return id;
    }
    bool has_capacity(std::size_t bytes) const override { return bytes <= capacity; }
    bool is_open(const std::string& id) const override { return open_ids.count(id) > 0; }
    void resume(routing::RequestId) override { ++resumed; }
    void withdraw(routing::RequestId id, Departure) override { withdrawn += int(open.erase(id)); }
    void answer(routing::RequestId id, const routing::ClientRequest& request) {
        auto it = open.find(id);
        if (it == open.end()) return;
        routing::Responder* responder = it->second;
        open.erase(it);
        routing::Answer answer;
        bool page = request.verb == routing::ClientRequest::Verb::page;
        for (std::uint32_t i = 0; i < (page ? std::min(request.limit, 3u) : 1); ++i)
            answer.rows.push_back({page ? request.name + "x" + std::to_string(i) : "", value});
        switch (request.id[0]) {
            case 's':
                return responder->on_answer(answer);
            case 'r':
                return responder->on_final_error({routing::FinalError::Kind::rejected, false, 250ms});
            case 'd':
                return responder->on_final_error({routing::FinalError::Kind::failed, true, {}});
            default:
                return responder->on_final_error({routing::FinalError::Kind::failed, false, {}});
        }
    }
    Loop& loop;
    std::map<routing::RequestId, routing::Responder*> open;
    routing::ClientRequest last;
    std::uint64_t count = 0;
    int withdrawn = 0;
    int resumed = 0;
    std::string value = "v";
    std::set<std::string> open_ids;
    std::size_t capacity = 1 << 20;  // bytes
};

// One front with a ScriptedAdmission.
template <typename Front>
struct ScriptedFront {
    Loop loop;
    NullLogger logger;
    ScriptedAdmission admission{loop};
    adapters::Classes known = classes();
    Front front;
    template <typename... More>
    explicit ScriptedFront(std::size_t max_connections, More... more)
        : front(loop.io, loopback(), max_connections, known, options(more...), admission, logger) {
        front.start();
    }
    using Options = std::conditional_t<std::is_same_v<Front, adapters::PgFront>, adapters::PgOptions,
                                       adapters::RestOptions>;
    static Options options() { return {}; }
    static Options options(Options given) { return given; }
    // Sends in pieces, so that requests arrive in parts as well as several at once.
    void send(Client& client, std::string bytes, Dice& dice) {
        while (!bytes.empty()) {
            std::size_t count = std::min(bytes.size(), dice.below(4) ? dice.below(200) + 1 : 300000);
            client.send(bytes.substr(0, count));
            bytes.erase(0, count);
            for (std::size_t n = dice.below(3); n > 0; --n) {
                loop.io.restart();
                loop.io.poll();
            }
        }
    }
};
using ScriptedPgFront = ScriptedFront<adapters::PgFront>;
using ScriptedRestFront = ScriptedFront<adapters::RestFront>;

// A bounded read of one row.
inline std::string sql(std::string id, std::string more = "") {
    return "/* id=" + id + ",c=stock-view,t=a,d=900,cluster=1" + more +
           " */ SELECT content FROM kv WHERE name = 'a'";
}

}  // namespace indigovane::testing
