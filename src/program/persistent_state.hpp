// The state that outlasts the process in the store: sessions' commits, excluded endpoints, costs of statement
// shapes and the endpoint list. The store is opened before anything is served and closed at the end. In an
// upgrade the predecessor closes the store when it is asked to stop, and the successor opens it as soon as it
// can. Until then the crash marker (store/positions.hpp) records that commits may be missing.
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

// Not synchronized: use it on the event loop's thread only. The store writes on a thread of its own.
class PersistentState {
  public:
    // `on_disk` is false if the records can't be written to disk for now.
    using OnDurable = std::function<void(bool on_disk)>;

    // `scratch` is the memory-backed folder for the crash marker.
    PersistentState(boost::asio::io_context& io, const routing::Clock& clock, StoreConfig config,
                    const std::string& scratch, const std::string& name, routing::Core& core,
                    routing::Logger& logger);
    ~PersistentState();
    PersistentState(const PersistentState&) = delete;
    PersistentState& operator=(const PersistentState&) = delete;

    // Opens the store. If another process has it open and `wait_until_unlocked` is set, opening is retried
    // until that process has closed it. Throws ConfigError if the store can't be used.
    void open(bool wait_until_unlocked);
    bool is_open() const { return thread_ != nullptr; }
    // Called after each batch of the loop.
    void flush();
    // Closes the store. All acknowledged records are on disk then, unless the log line says otherwise.
    void close();

    // Called before the client is notified of the commit.
    void commit(std::uint64_t session, routing::Time commit);
    // Called when a write of the session is accepted, and when nothing of it is in flight any more.
    void begin_write(std::uint64_t session);
    void end_write(std::uint64_t session);
    // Records commits of another process for sessions that continue here.
    void inherit(const policy::SessionTokens& tokens);

    // Calls `on_durable` once the change is on disk or can't be written for now; at once if nothing changes.
    // `readmissions` says when each endpoint was last readmitted.
    void store_excluded_endpoints(const std::set<std::string>& excluded,
                                  const std::map<std::string, routing::Time>& readmissions,
                                  OnDurable on_durable = {});
    // `list` has the form that write_endpoint_list() writes.
    void store_endpoint_list(const std::string& list, std::int64_t revision);
    void store_shape_costs(const std::vector<limits::ShapePrior>& priors);

    // What earlier processes have stored. All are empty while the store is not open.
    std::vector<limits::ShapePrior> shape_costs() const;
    std::set<std::string> excluded_endpoints() const;
    // The stored endpoint list, if it is newer than `revision`.
    std::optional<std::string> newer_endpoint_list(std::int64_t revision) const;

  private:
    struct DurableWait {
        std::uint64_t ticket = 0;
        OnDurable on_durable;
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
    std::unique_ptr<store::StoreThread> thread_;  // empty while the store is not open
    std::unique_ptr<store::Positions> positions_;
    boost::asio::steady_timer timer_;
    std::vector<DurableWait> durable_waits_;
    // Commits received before the store is open.
    policy::SessionTokens inherited_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool is_closed_ = false;
};

}  // namespace indigovane::program
