// The store in the life of the program: opened before anything is served, told of what must last, closed at
// the end. In an upgrade the elder closes it when told to stop, and the heir opens it as soon as it can;
// until then the witness says so.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>

#include "limits/cost_model.hpp"
#include "program/store_config.hpp"
#include "routing/core.hpp"
#include "store/positions.hpp"
#include "store/thread.hpp"

namespace indigovane::program {

class PersistentState {
  public:
    // `scratch`: memory-backed, for the witness; it outlasts the process, not the machine.
    PersistentState(boost::asio::io_context& io, const routing::Clock& clock, StoreConfig config,
                    std::string scratch, const std::string& name, routing::Core& core,
                    routing::Logger& logger);
    ~PersistentState();

    // `wait`: another process may have it open still: it is tried again until it has not. Throws ConfigError
    // where it can't be used for another reason.
    void open(bool wait);
    bool is_open() const { return thread_ != nullptr; }
    void carry();  // after each batch of the loop
    void close();  // all that was acknowledged is on disk then

    void commit(std::uint64_t session, routing::Time commit);  // before the client is told
    void begun(std::uint64_t session);
    void ended(std::uint64_t session);
    // What another process has written that goes on here.
    void inherit(const policy::SessionTokens& tokens);
    // Strict: `then` is called once it is on disk (true), or can't be for now (false); at once where nothing
    // changes.
    void hosts(const std::set<std::string>& excluded_endpoints,
               const std::map<std::string, routing::Time>& put_back, std::function<void(bool)> then = {});
    void list(const std::string& members, std::int64_t revision);
    void shapes(const std::vector<limits::CostModel::Prior>& priors);
    // From the last process: costs of shapes, no older than an hour;
    std::vector<limits::CostModel::Prior> shapes() const;
    // hosts taken out, and the list as it was last told, if it is newer than
    // `revision`.
    std::set<std::string> excluded_endpoints() const;
    std::optional<std::string> last_list(std::int64_t revision) const;

  private:
    void try_open(bool first);
    void begin(store::Recovered& found);
    bool keep_witness(store::Witness witness);
    store::Witness read_witness() const;
    std::uint64_t now_us() const { return std::uint64_t(clock_.to_unix(clock_.now())); }
    void watch();
    void tell();

    boost::asio::io_context& io_;
    const routing::Clock& clock_;
    StoreConfig config_;
    std::string witness_path_;
    routing::Core& core_;
    routing::Logger& logger_;
    std::unique_ptr<store::StoreThread> thread_;
    std::unique_ptr<store::Positions> positions_;
    boost::asio::steady_timer timer_;
    std::vector<std::pair<std::uint64_t, std::function<void(bool)>>> waiting_;  // tickets
    policy::SessionTokens inherited_;                                           // until it is open
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool closed_ = false;
};

}  // namespace indigovane::program
