// A stand-in discovery service that answers watches when its list changes.
#pragma once

#include <set>
#include <string>
#include <utility>

#include "protocol/http.hpp"
#include "support/harness.hpp"

namespace indigovane::testing {

// Discovery as one pooler sees it. A watch is answered when there is a new list.
class ListHost : public StandIn {
  public:
    using StandIn::StandIn;
    void publish(std::string list) {
        targets_ = std::move(list);
        ++revision_;
        for (Peer* p : std::exchange(watches_, {})) p->connection->write(reply());
    }

    bool watched() const { return !watches_.empty(); }  // of the newest list

  protected:
    bool take(Peer& peer, transport::Buffer& in, std::string& out) override {
        http::Request r;
        std::size_t length = 0;
        if (http::Parser({65536, 8 << 20}).request(in.view(), r, length) != http::Next::message) return false;
        if (r.target.find("from=" + std::to_string(revision_)) == std::string_view::npos)
            out += reply();
        else
            watches_.insert(&peer);
        in.consume(length);
        return true;
    }
    void left(Peer& peer) override { watches_.erase(&peer); }

  private:
    std::string reply() const {
        return http::write_response(
            200, {},
            "{\"rev\":" + std::to_string(revision_) + ",\"all\":true,\"targets\":[" + targets_ + "]}", true);
    }
    std::string targets_;
    int revision_ = 1;
    std::set<Peer*> watches_;
};

}  // namespace indigovane::testing
