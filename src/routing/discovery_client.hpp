// Follows discovery's list of members by HTTP: the whole list once, then one watch after the other.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>
#include <random>

#include "protocol/http.hpp"
#include "routing/core.hpp"
#include "routing/watch_schedule.hpp"
#include "transport/connection.hpp"

namespace indigovane::routing {

struct EndpointListing {
    std::int64_t revision = 0;
    bool all = false;
    std::vector<EndpointInfo> members;
};
// Throws std::runtime_error on what is no list; entries that name no member are passed over.
EndpointListing read_endpoint_listing(const nlohmann::json& json, const std::vector<std::string>& zones);

class DiscoveryClient : private transport::Connection::Handler {
  public:
    using Timing = WatchSchedule::Timing;
    DiscoveryClient(boost::asio::io_context& io, const transport::SocketAddress& at,
                    std::vector<std::string> zones, Core& core, Logger& logger, Timing timing,
                    std::uint64_t seed = 0);
    ~DiscoveryClient();

    void seed(const EndpointListing& known);  // the list as last held; it may be old
    void follow();                            // from now on; called again: at once, if a retry is due
    // Goes on at another address, at once and with the whole list: revisions mean nothing there. Until that
    // list has come the members are those last told; called again before that, only the last address counts.
    void move_to(const transport::SocketAddress& at);
    // Members are numbered by them: where they have changed, the whole list is asked for at once.
    void set_zones(std::vector<std::string> zones);
    // Called after each list or change that is taken, with its revision.
    void on_list(std::function<void(std::int64_t revision)> hear) { heard_ = std::move(hear); }
    bool told() const { return told_; }  // the address of now has told its whole list

  private:
    void call();
    void disconnect();
    void set_timer(std::chrono::milliseconds after, void (DiscoveryClient::*then)());
    void no_answer() { lost(WatchSchedule::Failure::silent, "no answer"); }
    void lost(WatchSchedule::Failure how, const char* why);
    bool read(std::string_view in, bool at_end, std::size_t& length);
    void take(const protocol::http::Response& response);
    void on_connected() override;
    void on_data(transport::Buffer& in) override;
    void on_closed(const transport::error_code& ec) override;

    boost::asio::io_context& io_;
    transport::SocketAddress at_;
    std::vector<std::string> zones_;
    Core& core_;
    Logger& logger_;
    WatchSchedule watch_;
    std::shared_ptr<transport::Connection> connection_;
    protocol::http::Parser parser_;
    boost::asio::steady_timer timer_;
    std::uint64_t timers_ = 0;  // set so far: a timer that has rung may be out of date when it is heard
    std::minstd_rand random_;
    std::function<void(std::int64_t)> heard_;
    bool following_ = false, called_ = false, told_ = false;
};

}  // namespace indigovane::routing
