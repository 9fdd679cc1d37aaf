#include "routing/discovery_client.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace indigovane::routing {

using policy::EndpointListKind;
using policy::EndpointState;
using protocol::http::Next;
using protocol::http::Response;

EndpointListing read_endpoint_listing(const nlohmann::json& json, const std::vector<std::string>& zones) {
    if (!json.is_object() || !json.contains("targets") || !json["targets"].is_array())
        throw std::runtime_error("no list of members");
    EndpointListing list;
    try {
        list.revision = json.value("rev", std::int64_t(0));
        list.all = json.value("all", false);
        for (const auto& t : json["targets"]) {
            if (!t.is_object() || !t.contains("uid")) continue;
            EndpointInfo m;
            m.uid = t.at("uid").get<std::string>();
            m.address = t.value("endpoint", std::string());
            auto zone = std::find(zones.begin(), zones.end(), t.value("az", std::string()));
            m.zone = std::uint32_t(zone - zones.begin());
            m.group = t.value("pod_group", std::uint32_t(0));
            std::string state = t.value("state", std::string("ready"));
            m.state = state == "ready"      ? EndpointState::ready
                      : state == "draining" ? EndpointState::draining
                                            : EndpointState::gone;
            if (t.contains("recovery")) m.primary = t["recovery"] == "off" || t["recovery"] == false;
            double boot = t.value("boot_ms", 0.0);
            m.boot_unix_ms = std::int64_t(std::clamp(boot, 0.0, 9e12));
            list.members.push_back(std::move(m));
        }
    } catch (const nlohmann::json::exception& error) {
        throw std::runtime_error(error.what());
    }
    return list;
}

DiscoveryClient::DiscoveryClient(boost::asio::io_context& io, const transport::SocketAddress& at,
                                 std::vector<std::string> zones, Core& core, Logger& logger, Timing timing,
                                 std::uint64_t seed)
    : io_(io),
      at_(at),
      zones_(std::move(zones)),
      core_(core),
      logger_(logger),
      watch_(timing),
      parser_({.head = 16384, .body = 4 << 20}),
      timer_(io),
      random_(std::minstd_rand::result_type(seed ^ seed >> 32)) {}

DiscoveryClient::~DiscoveryClient() {
    if (connection_) connection_->close();
}

void DiscoveryClient::seed(const EndpointListing& known) {
    core_.list(EndpointListKind::cached, known.members);
    if (watch_.timing().from_known && known.all) watch_.know(known.revision);
}

void DiscoveryClient::follow() {
    if (std::exchange(following_, true) && connection_) return;
    call();
}

void DiscoveryClient::move_to(const transport::SocketAddress& at) {
    if (at == at_) return;  // the watch goes on
    at_ = at;
    disconnect();
    watch_.restart();
    told_ = false;
    if (following_) call();
}

void DiscoveryClient::set_zones(std::vector<std::string> zones) {
    if (zones == zones_) return;
    zones_ = std::move(zones);
    watch_.forget();
    if (!following_) return;
    disconnect();
    call();
}

void DiscoveryClient::disconnect() {
    if (connection_) connection_->close();
    connection_.reset();
    called_ = false;
    timer_.cancel();
    ++timers_;
}

// Guards against a ring that was already on its way when its timer was cancelled or set again: it would end
// the next call, at another address even.
void DiscoveryClient::set_timer(std::chrono::milliseconds after, void (DiscoveryClient::*then)()) {
    timer_.expires_after(after);
    timer_.async_wait([this, then, number = ++timers_](const transport::error_code& ec) {
        if (!ec && number == timers_) (this->*then)();
    });
}

void DiscoveryClient::call() {
    if (!connection_) {
        parser_ = protocol::http::Parser({.head = 16384, .body = 4 << 20});
        connection_ = std::make_shared<transport::Connection>(io_);
        connection_->limit_unread(5 << 20);
        connection_->connect(at_, watch_.timing().connect, *this);
        return;
    }
    if (called_ || !connection_->open()) return;
    called_ = true;
    WatchSchedule::Call call = watch_.next();
    std::string target = "/catalog/members";
    if (call.from)
        target += "?from=" + std::to_string(*call.from) + "&hold_ms=" + std::to_string(call.hold.count());
    connection_->write(protocol::http::write_request(
        "GET", target, at_.address().to_string() + ":" + std::to_string(at_.port()), {}));
    // A silent agent keeps its connection open: only the clock tells.
    set_timer(call.client_timeout, &DiscoveryClient::no_answer);
}

void DiscoveryClient::lost(WatchSchedule::Failure how, const char* why) {
    logger_.log(Level::warning, "discovery", "the list of members can't be followed now", {{"why", why}});
    disconnect();
    set_timer(watch_.failed(how, double(random_() - random_.min()) / double(random_.max() - random_.min())),
              &DiscoveryClient::call);
}

void DiscoveryClient::on_connected() {
    connection_->established();
    call();
}

void DiscoveryClient::on_data(transport::Buffer& in) {
    auto keep = connection_;
    while (connection_ == keep && !in.empty()) {
        std::size_t length = 0;
        if (!read(in.view(), false, length)) return;
        if (connection_ == keep) in.consume(length);
    }
}

// False: more is to come, or the call is lost.
bool DiscoveryClient::read(std::string_view in, bool at_end, std::size_t& length) {
    Response response;
    Next next = parser_.response(in, at_end, response, length);
    if (next == Next::more) return false;
    if (next != Next::message || !called_) {
        lost(WatchSchedule::Failure::cut, "malformed answer");
        return false;
    }
    if (response.status < 200) return true;
    called_ = false;
    timer_.cancel();
    ++timers_;
    take(response);
    return true;
}

// An answer may have no length and end with its connection. A reset is no end.
void DiscoveryClient::on_closed(const transport::error_code& ec) {
    auto keep = connection_;
    std::string_view in = keep->unread();
    std::size_t length = 0;
    while (ec == boost::asio::error::eof && called_ && !in.empty()) {
        if (!read(in, true, length)) break;
        in.remove_prefix(length);
    }
    if (connection_ == keep) lost(WatchSchedule::Failure::cut, ec.message().c_str());
}

void DiscoveryClient::take(const Response& response) {
    if (response.status != 200) return lost(WatchSchedule::Failure::refused, "refused");
    try {
        EndpointListing list = read_endpoint_listing(nlohmann::json::parse(response.body), zones_);
        bool first = !watch_.revision();
        // Changes that are older than what is held would undo it: what holds now is in the whole list.
        if (!first && !list.all && list.revision < *watch_.revision())
            throw std::runtime_error("changes older than the list held");
        if (list.all || !list.members.empty() || first)
            core_.list(list.all || first ? EndpointListKind::full : EndpointListKind::changes, list.members);
        watch_.answered(list.revision);
        told_ = true;
        if (heard_ && (list.all || !list.members.empty() || first)) heard_(list.revision);
    } catch (const std::exception& error) {
        watch_.forget();
        return lost(WatchSchedule::Failure::cut, error.what());
    }
    if (!response.keep_alive || !connection_->open()) disconnect();
    call();
}

}  // namespace indigovane::routing
