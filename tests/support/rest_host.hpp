// A stand-in host that speaks REST.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "adapters/rest.hpp"
#include "protocol/http.hpp"
#include "support/stand_in_host.hpp"

namespace indigovane::testing {

namespace http = protocol::http;
using nlohmann::json;

class RestHost : public StandIn {
  public:
    using StandIn::StandIn;

  protected:
    bool take(Peer& peer, transport::Buffer& in, std::string& out) override {
        http::Request request;
        std::size_t length = 0;
        auto next = http::Parser({65536, 8 << 20}).request(in.view(), request, length);
        if (next != http::Next::message) return false;
        auto target = *http::read_target(request.target);
        if (target.segments[0] == "health") {
            out += health();
        } else {
            ++host_.queries;
            host_.asked.push_back(std::string(request.method) + " " + std::string(request.target));
            if (host_.silent)
                peer.waiting = true;
            else
                out += answer(request, target);
        }
        in.consume(length);
        return true;
    }

  private:
    std::string health() const {
        json body{{"position_ms", host_.position()}, {"primary", host_.primary}, {"inflight", 0}};
        return http::write_response(200, {}, body.dump(), true);
    }
    std::string answer(const http::Request& request, const http::Target& target) {
        const std::string position = std::to_string(host_.position());
        const std::vector<http::Field> fields{{"Data-Position", position},
                                              {"Member-Role", host_.primary ? "primary" : "replica"}};
        auto response = [&](int status, const std::string& body = "") {
            return http::write_response(status, fields, body, true);
        };
        if (host_.failing) return response(500);
        if (host_.rejecting) return response(503);
        if (request.method == "PUT" && !host_.primary) return response(421);
        if (request.method == "PUT")
            return response(200, store(target.segments[4], std::string(request.body)));
        auto min_position = request.field("min-position");
        const bool stale = min_position && std::stoll(std::string(*min_position)) > host_.position();
        if (host_.checks && stale) return response(412);
        const bool single_row = target.segments.size() == 5;
        if (!single_row) return response(200, page(target));
        auto row = host_.rows.find(target.segments[4]);
        if (row == host_.rows.end()) return response(404);
        return response(200, row->second);
    }
    const std::string& store(const std::string& name, std::string content) {
        std::string& row = host_.rows[name];
        row = std::move(content);
        return row;
    }
    std::string page(const http::Target& target) const {
        std::string after(*target.parameter("after"));
        std::string prefix(target.parameter("prefix").value_or(""));
        std::size_t limit = std::stoul(std::string(*target.parameter("limit")));
        return json{{"items", adapters::rest::write_rows(host_.page(after, prefix, limit))}}.dump();
    }
};

}  // namespace indigovane::testing
