// What outlasts the process, by way of the store: sessions' commits, excluded endpoints, cost of statement
// shapes, the endpoint list. Opened before anything is served and closed at the end. In an upgrade the
// predecessor closes the store when it is told to stop, and the successor opens it as soon as it can; until
// then the crash marker (store/positions.hpp) says that commits may be missing.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "limits/cost_model.hpp"
#include "program/crash_marker_file.hpp"
#include "program/store_config.hpp"
#include "routing/core.hpp"
#include "store/positions.hpp"
#include "store/thread.hpp"

namespace indigovane::program {

// Belongs to the loop's thread; the store writes on a thread of its own.
class PersistentState {
  public:
    using OnDurable = std::function<void(bool on_disk)>;

    // `scratch`: memory-backed folder, for the crash marker.
    PersistentState(boost::asio::io_context& io, const routing::Clock& clock, StoreConfig config,
                    const std::string& scratch, const std::string& name, routing::Core& core,
                    routing::Logger& logger);
    ~PersistentState();
    PersistentState(const PersistentState&) = delete;
    PersistentState& operator=(const PersistentState&) = delete;

    // `wait`: where another process has it open, it is tried again until that has closed it. Throws
    // ConfigError where it can't be used for another reason.
    void open(bool wait);
    bool is_open() const { return thread_ != nullptr; }
    void flush();  // after each batch of the loop
    void close();  // all that was acknowledged is on disk then

    void commit(std::uint64_t session, routing::Time commit);  // before the client is notified
    void begin_write(std::uint64_t session);
    void end_write(std::uint64_t session);
    // What another process has committed for sessions that go on here.
    void inherit(const policy::SessionTokens& tokens);

    // Strict: `then` is called once it is on disk (true), or can't be for now (false); at once where nothing
    // changes. `readmissions`: when each endpoint was last readmitted.
    void store_excluded_endpoints(const std::set<std::string>& excluded,
                                  const std::map<std::string, routing::Time>& readmissions,
                                  OnDurable then = {});
    // `list` as program/endpoint_list_text.hpp writes it.
    void store_endpoint_list(const std::string& list, std::int64_t revision);
    void store_shape_costs(const std::vector<limits::ShapePrior>& priors);

    // What earlier processes have stored; empty while the store is not open.
    std::vector<limits::ShapePrior> shape_costs() const;
    std::set<std::string> excluded_endpoints() const;
    // The endpoint list, if it is newer than `revision`.
    std::optional<std::string> newer_endpoint_list(std::int64_t revision) const;

  private:
    struct DurableWait {
        std::uint64_t ticket = 0;
        OnDurable then;
    };

    void try_open(bool final_attempt);
    void retry_open_later();
    store::OpenOptions open_options() const;
    std::function<void()> wake_loop();
    void start(const store::RecoveryResult& found);
    void log_start(const store::RecoveryResult& found, const store::Positions::Start& start);
    void start_ticking();
    void notify_durable();
    std::uint64_t now_us() const { return std::uint64_t(clock_.to_unix(clock_.now())); }
    std::uint64_t now_ms() const { return now_us() / 1000; }
    std::uint64_t unix_us(routing::Time at) const;
    std::map<std::string, std::string> host_records(
        const std::set<std::string>& excluded,
        const std::map<std::string, routing::Time>& readmissions) const;

    boost::asio::io_context& io_;
    const routing::Clock& clock_;
    StoreConfig config_;
    CrashMarkerFile crash_marker_;
    routing::Core& core_;
    routing::Logger& logger_;
    std::unique_ptr<store::StoreThread> thread_;  // none: not open
    std::unique_ptr<store::Positions> positions_;
    boost::asio::steady_timer timer_;
    std::vector<DurableWait> durable_waits_;
    policy::SessionTokens inherited_;  // until it is open
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool closed_ = false;
};

}  // namespace indigovane::program
