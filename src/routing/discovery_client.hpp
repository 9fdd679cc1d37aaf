// Follows discovery's endpoint list by HTTP: the complete list once, then one watch (long poll) after the
// other. What it receives goes to the core. WatchSchedule decides when to call. Runs on the loop's thread.
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

    // All references must outlive this object. `seed`: of the jitter between calls.
    DiscoveryClient(boost::asio::io_context& io, const transport::SocketAddress& at,
                    std::vector<std::string> zones, Core& core, Logger& logger, Timing timing,
                    std::uint64_t seed = 0);
    virtual ~DiscoveryClient();
    DiscoveryClient(const DiscoveryClient&) = delete;
    DiscoveryClient& operator=(const DiscoveryClient&) = delete;

    // Hands the core the list as last cached; it may be old.
    void seed(const EndpointListing& known);
    // Follows the list from now on; called again: at once, if a retry is due.
    void follow();
    // Goes on at another address, at once and with the complete list: revisions mean nothing there. Until
    // that list has come the endpoints are those last received; called again before that, only the last
    // address counts.
    void move_to(const transport::SocketAddress& at);
    // Endpoints are numbered by zones: where these have changed, the complete list is asked for at once.
    void set_zones(std::vector<std::string> zones);
    // Called after each list or change that is taken, with its revision.
    void on_list(std::function<void(std::int64_t revision)> observer) {
        list_observer_ = std::move(observer);
    }
    // Whether the address of now has sent its complete list.
    bool has_complete_list() const { return complete_list_received_; }

  private:
    void call();
    void send_request();
    void disconnect();
    void set_timer(std::chrono::milliseconds after, void (DiscoveryClient::*then)());
    void cancel_timer();
    void call_timed_out() { call_failed(WatchSchedule::Failure::no_response, "no answer"); }
    void call_failed(WatchSchedule::Failure failure, const char* why);
    bool read(std::string_view in, bool at_end, std::size_t& length);
    void process(const protocol::http::Response& response);
    void apply(const EndpointListing& list);
    void on_connected() override;
    void on_data(transport::Buffer& in) override;
    void on_closed(const transport::error_code& ec) override;

    boost::asio::io_context& io_;
    transport::SocketAddress at_;
    std::vector<std::string> zones_;
    Core& core_;
    Logger& logger_;
    WatchSchedule schedule_;
    std::shared_ptr<transport::Connection> connection_;
    protocol::http::Parser parser_;
    boost::asio::steady_timer timer_;
    std::uint64_t timer_generation_ = 0;  // a timer's handler may already be queued when it is set again
    std::minstd_rand random_;
    std::function<void(std::int64_t)> list_observer_;
    bool following_ = false;
    bool call_pending_ = false;
    bool complete_list_received_ = false;
};

}  // namespace indigovane::routing
