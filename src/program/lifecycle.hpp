// The program from start to exit: its phases are named states of this one object.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "adapters/control_front.hpp"
#include "adapters/limited_admission.hpp"
#include "adapters/peer_link.hpp"
#include "adapters/statements.hpp"
#include "adapters/syslog_sink.hpp"
#include "program/config.hpp"
#include "program/excluded_endpoints.hpp"
#include "program/log.hpp"
#include "program/persistent_state.hpp"
#include "program/process_handover.hpp"
#include "routing/discovery_client.hpp"
#include "routing/loop_core.hpp"

namespace indigovane::program {

enum class Phase {
    starting,    // nothing listens yet
    inheriting,  // likewise: another process serves, and its listener, positions or the list are yet to come
    serving,     // all is as it should be
    reloading,   // serving, with a new configuration whose discovery has not told its list yet
    refusing,   // operators send clients away: serves all, but says no where it is asked whether to send some
    away,       // the same, and connections close between requests
    lingering,  // told to stop: still takes in and serves what comes, for a moment
    handing_over,  // told to stop in an upgrade: what clients are between requests go to the heir
    draining,      // takes nothing new; finishes what it has
    stopped
};
const char* name(Phase phase);

class Lifecycle : private adapters::Operations, private ProcessHandover::HandoverOwner {
  public:
    // `reread` reads the configuration again, as it is by then; it throws ConfigError where it is bad.
    Lifecycle(const Config& config, std::function<Config()> reread, Log& log);
    ~Lifecycle();
    int run();  // returns the exit status
    Phase phase() const { return phase_; }

  private:
    using Time = routing::Time;
    void start();
    void enter(Phase phase);
    void await_stop();
    void await_reload();
    void on_stop();
    void on_reload();
    void retune(const Config& fresh);
    void retune_statements(const Config& fresh);
    limits::Settings shared_limits() const;
    routing::RequestAdmission& admission();
    void check_drained();
    void watch_excluded_endpoints();
    void open_store();
    void open_peers();
    void keep_list(std::int64_t revision);
    void open_fronts();
    bool may_open_fronts() const;
    void hand_over();
    void begin_drain();
    void bound_drain();

    std::vector<std::pair<std::string, int>> listening_sockets() override;
    policy::SessionTokens tokens() override { return core_->tokens(); }
    std::map<std::string, Time> readmissions() override { return core_->put_back(); }
    void inherit_socket(const std::string& front, transport::Descriptor socket) override;
    void inherit_tokens(policy::SessionTokens tokens) override {
        if (persistent_state_) persistent_state_->inherit(tokens);
        core_->take_over(std::move(tokens));
    }
    void inherit_readmission(const std::string& uid, Time at) override { core_->take_over_put_back(uid, at); }
    void inherit_client(const std::string& front, routing::ClientHandover handover) override;
    void on_process_change() override;
    void on_successor_ready() override;

    Reply check() override;
    Reply set_down(const std::string& uid) override { return set_out(uid, true); }
    Reply set_up(const std::string& uid) override { return set_out(uid, false); }
    Reply set_out(const std::string& uid, bool out);
    Reply drain(bool on) override;
    Reply shapes(std::size_t most) override;
    Reply site_status() override;
    Reply site_plan(const std::string& zone) override;
    Reply site_drain(const std::string& zone, bool on) override;

    Config config_;  // as it holds now
    std::function<Config()> reread_;
    Log& log_;
    boost::asio::io_context io_{1};
    routing::Clock clock_;
    Phase phase_ = Phase::starting;
    std::unique_ptr<adapters::SyslogSink> syslog_;
    std::unique_ptr<routing::Backend> backend_;
    std::unique_ptr<routing::Core> core_;
    std::unique_ptr<routing::DiscoveryClient> discovery_client_;
    std::unique_ptr<PersistentState> persistent_state_;    // none: nothing outlasts the process
    std::unique_ptr<adapters::Statements> statements_;     // none: off
    std::unique_ptr<adapters::LimitedAdmission> limited_;  // none: no limits by cost
    std::vector<std::unique_ptr<routing::Front>> fronts_;
    std::unique_ptr<adapters::ControlFront> control_;
    std::unique_ptr<adapters::PeerLink> peers_;  // none: off
    ExcludedEndpoints excluded_endpoints_;
    ProcessHandover process_handover_;
    std::map<std::string, transport::Descriptor> inherited_;  // listening sockets, by front
    routing::CoreLimits limits_;
    std::size_t clients_ = 0, rest_clients_ = 0, handed_ = 0;
    Time started_{}, shapes_kept_{};
    boost::asio::signal_set stop_signals_, reload_signals_;
    boost::asio::steady_timer timer_, excluded_endpoints_timer_;
    routing::Time drain_until_{};
    bool checking_ = false;  // a look at what is left is due
};

}  // namespace indigovane::program
