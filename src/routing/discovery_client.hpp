// Follows the endpoint list of the discovery service over HTTP: it reads the complete list once and then
// sends one watch (long poll) after the other. Received lists and changes go to the core. WatchSchedule
// decides when to call. All calls must be made on the event loop's thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <random>

#include "protocol/http.hpp"
#include "routing/core.hpp"
#include "routing/endpoint_listing.hpp"
#include "routing/watch_schedule.hpp"
#include "transport/connection.hpp"

namespace indigovane::routing {

class DiscoveryClient : private transport::Connection::Handler {
  public:
    using Timing = WatchSchedule::Timing;

    // All references must outlive this object. `seed` seeds the jitter between calls.
    DiscoveryClient(boost::asio::io_context& io, const transport::SocketAddress& address,
                    std::vector<std::string> zones, Core& core, Logger& logger, Timing timing,
                    std::uint64_t seed = 0);
    virtual ~DiscoveryClient();
    DiscoveryClient(const DiscoveryClient&) = delete;
    DiscoveryClient& operator=(const DiscoveryClient&) = delete;

    // Passes the cached list to the core. The list may be old.
    void seed(const EndpointListing& known);
    // Starts to follow the list. A later call while there is no connection calls discovery at once instead of
    // waiting for the retry.
    void follow();
    // Continues at another address, at once and with the complete list, because revisions of the old address
    // mean nothing there. The endpoints stay those last received until that list arrives. If the address
    // changes again before that, only the last address counts.
    void move_to(const transport::SocketAddress& address);
    // Zone numbers of endpoints are indices into `zones`. If the zones have changed, the complete list is
    // requested again, at once if the list is being followed.
    void set_zones(std::vector<std::string> zones);
    // Called with the revision of each list or change after it has been applied.
    void on_list(std::function<void(std::int64_t revision)> observer) {
        list_observer_ = std::move(observer);
    }
    // Whether the complete list has been received from the current address.
    bool has_complete_list() const { return complete_list_received_; }

  private:
    void call();
    void send_request();
    void disconnect();
    void set_timer(std::chrono::milliseconds after, void (DiscoveryClient::*then)());
    void cancel_timer();
    void call_timed_out() {
        call_failed(WatchSchedule::Failure::no_response, "discovery did not answer in time");
    }
    void call_failed(WatchSchedule::Failure failure, const char* why);
    bool read(std::string_view in, bool at_end, std::size_t& length);
    void process(const protocol::http::Response& response);
    void apply(const EndpointListing& list);
    void on_connected() override;
    void on_data(transport::Buffer& in) override;
    void on_closed(const transport::error_code& ec) override;

    boost::asio::io_context& io_;
    transport::SocketAddress address_;
    std::vector<std::string> zones_;
    Core& core_;
    Logger& logger_;
    WatchSchedule schedule_;
    std::shared_ptr<transport::Connection> connection_;
    protocol::http::Parser parser_;
    boost::asio::steady_timer timer_;
    // Incremented whenever the timer is set or cancelled, to recognize handlers that were queued before.
    std::uint64_t timer_generation_ = 0;
    std::minstd_rand random_;
    std::function<void(std::int64_t)> list_observer_;
    bool following_ = false;
    bool call_pending_ = false;
    bool complete_list_received_ = false;
};

}  // namespace indigovane::routing
