#include "routing/discovery_client.hpp"

#include <boost/asio/error.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace indigovane::routing {

using policy::EndpointListKind;
using protocol::http::Next;
using protocol::http::Response;

namespace {
constexpr std::size_t kMaxHeadBytes = 16 << 10;
constexpr std::size_t kMaxBodyBytes = 4 << 20;
constexpr std::size_t kMaxUnreadBytes = 5 << 20;  // room for the largest body and its head
constexpr int kFirstFinalStatus = 200;            // 1xx responses are interim: RFC 9110, section 15.2
constexpr int kStatusOk = 200;
constexpr int kSeedHalf = 32;

protocol::http::Parser make_parser() {
    return protocol::http::Parser({.head = kMaxHeadBytes, .body = kMaxBodyBytes});
}
}  // namespace

DiscoveryClient::DiscoveryClient(boost::asio::io_context& io, const transport::SocketAddress& address,
                                 std::vector<std::string> zones, Core& core, Logger& logger, Timing timing,
                                 std::uint64_t seed)
    : io_(io),
      address_(address),
      zones_(std::move(zones)),
      core_(core),
      logger_(logger),
      schedule_(timing),
      parser_(make_parser()),
      timer_(io),
      random_(std::minstd_rand::result_type(seed ^ seed >> kSeedHalf)) {}

DiscoveryClient::~DiscoveryClient() {
    if (connection_) connection_->close();
}

void DiscoveryClient::seed(const EndpointListing& known) {
    core_.apply_endpoint_list(EndpointListKind::cached, known.members);
    if (schedule_.timing().from_known && known.is_complete) schedule_.know(known.revision);
}

void DiscoveryClient::follow() {
    if (std::exchange(following_, true) && connection_) return;
    call();
}

void DiscoveryClient::move_to(const transport::SocketAddress& address) {
    if (address == address_) return;  // the current watch continues
    address_ = address;
    disconnect();
    schedule_.restart();
    complete_list_received_ = false;
    if (following_) call();
}

void DiscoveryClient::set_zones(std::vector<std::string> zones) {
    if (zones == zones_) return;
    zones_ = std::move(zones);
    schedule_.forget();
    if (!following_) return;
    disconnect();
    call();
}

void DiscoveryClient::disconnect() {
    if (connection_) connection_->close();
    connection_.reset();
    call_pending_ = false;
    cancel_timer();
}

void DiscoveryClient::cancel_timer() {
    timer_.cancel();
    ++timer_generation_;
}

// The handler of a timer that was cancelled or set again may already be queued. It would end the next call,
// even one to another address, so only the handler of the latest timer has an effect.
void DiscoveryClient::set_timer(std::chrono::milliseconds after, void (DiscoveryClient::*then)()) {
    timer_.expires_after(after);
    timer_.async_wait([this, then, generation = ++timer_generation_](const transport::error_code& ec) {
        if (!ec && generation == timer_generation_) (this->*then)();
    });
}

void DiscoveryClient::call() {
    if (!connection_) {
        parser_ = make_parser();
        connection_ = std::make_shared<transport::Connection>(io_);
        connection_->limit_unread(kMaxUnreadBytes);
        connection_->connect(address_, schedule_.timing().connect, *this);
        return;
    }
    if (!call_pending_ && connection_->open()) send_request();
}

void DiscoveryClient::send_request() {
    call_pending_ = true;
    WatchSchedule::Call call = schedule_.next();
    std::string target = "/catalog/members";
    if (call.from)
        target += "?from=" + std::to_string(*call.from) + "&hold_ms=" + std::to_string(call.hold.count());
    connection_->write(protocol::http::write_request(
        "GET", target, address_.address().to_string() + ":" + std::to_string(address_.port()), {}));
    // An unresponsive discovery agent may keep its connection open, so only a timeout reveals it.
    set_timer(call.client_timeout, &DiscoveryClient::call_timed_out);
}

void DiscoveryClient::call_failed(WatchSchedule::Failure failure, const char* why) {
    logger_.log(Level::warning, "discovery", "a call to the discovery service failed", {{"why", why}});
    disconnect();
    double draw = double(random_() - random_.min()) / double(random_.max() - random_.min());
    set_timer(schedule_.failed(failure, draw), &DiscoveryClient::call);
}

void DiscoveryClient::on_connected() {
    connection_->established();
    call();
}

void DiscoveryClient::on_data(transport::Buffer& in) {
    auto connection = connection_;
    while (connection_ == connection && !in.empty()) {
        std::size_t length = 0;
        if (!read(in.view(), false, length)) return;
        if (connection_ == connection) in.consume(length);
        if (connection->must_yield()) return;
    }
}

// Parses one response at the start of `in` and sets `length` to its size. False: the response is incomplete,
// or the call has failed.
bool DiscoveryClient::read(std::string_view in, bool at_end, std::size_t& length) {
    Response response;
    Next next = parser_.response(in, at_end, response, length);
    if (next == Next::more) return false;
    if (next != Next::message || !call_pending_) {
        call_failed(WatchSchedule::Failure::cut, "malformed HTTP response");
        return false;
    }
    if (response.status < kFirstFinalStatus) return true;
    call_pending_ = false;
    cancel_timer();
    process(response);
    return true;
}

// A response without a length ends where the connection is closed, but not where it is reset.
void DiscoveryClient::on_closed(const transport::error_code& ec) {
    auto connection = connection_;
    std::string_view in = connection->unread();
    std::size_t length = 0;
    while (ec == boost::asio::error::eof && call_pending_ && !in.empty()) {
        if (!read(in, true, length)) break;
        in.remove_prefix(length);
    }
    if (connection_ == connection) call_failed(WatchSchedule::Failure::cut, ec.message().c_str());
}

void DiscoveryClient::process(const Response& response) {
    if (response.status != kStatusOk) return call_failed(WatchSchedule::Failure::refused, "refused");
    try {
        apply(read_endpoint_listing(nlohmann::json::parse(response.body), zones_));
    } catch (const std::exception& error) {
        schedule_.forget();
        return call_failed(WatchSchedule::Failure::cut, error.what());
    }
    if (!response.keep_alive || !connection_->open()) disconnect();
    call();
}

void DiscoveryClient::apply(const EndpointListing& list) {
    bool is_first = !schedule_.revision();
    // Changes that are older than the list in use would undo newer ones. The failed call makes the next one
    // ask for the complete list, which holds the current state.
    if (!is_first && !list.is_complete && list.revision < *schedule_.revision())
        throw std::runtime_error("the changes are older than the current endpoint list");
    bool is_complete = list.is_complete || is_first;
    bool is_empty = !is_complete && list.members.empty();
    if (!is_empty)
        core_.apply_endpoint_list(is_complete ? EndpointListKind::full : EndpointListKind::changes,
                                  list.members);
    schedule_.answered(list.revision);
    complete_list_received_ = true;
    if (list_observer_ && !is_empty) list_observer_(list.revision);
}

}  // namespace indigovane::routing
