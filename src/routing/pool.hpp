// The connections to one member, and the jobs that wait for one.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "routing/interfaces.hpp"

namespace indigovane::routing {

// An attempt or a probe, from the module's action to its outcome.
struct BackendTask {
    bool probe = false;
    RequestId id{};
    std::uint32_t number = 0;  // of the attempt; of the probe
    Time sent{}, until{};
    Time start = Time::max();  // it is not to begin later
    std::optional<std::int64_t> needs;

    bool same(const BackendTask& o) const { return probe == o.probe && id == o.id && number == o.number; }
};

class Pool : private BackendConnection::Owner {
  public:
    class Owner {
      public:
        virtual void on_job_end(Pool& pool, const BackendTask& task, AttemptResult result) = 0;
        virtual void on_job_begun(Pool& pool, const BackendTask& task, const Answer& head,
                                  std::size_t length) = 0;
        virtual bool on_job_piece(const BackendTask& task, std::string_view bytes) = 0;
        // Looked at again right before the first byte: a job that waited for a connection may have been
        // cancelled by then, its time may be up, or the member may drain. Nothing: it may not start. What its
        // answer must have seen may have grown.
        virtual const ClientRequest* may_start(const Pool& pool, BackendTask& task) = 0;
        virtual bool may_open() = 0;  // counts a link that is to be opened
        virtual void on_link_gone() = 0;

      protected:
        ~Owner() = default;
    };

    Pool(EndpointId endpoint, Backend& backend, const Clock& clock, Duration connect_timeout, Owner& owner);
    ~Pool();
    Pool(const Pool&) = delete;
    Pool& operator=(const Pool&) = delete;

    EndpointId endpoint() const { return endpoint_; }
    void set_address(const std::string& address);
    void set_connect_timeout(Duration timeout) { connect_timeout_ = timeout; }

    void submit(const BackendTask& task);
    // Ends a job's wait. Its connection, if it has one, is closed first: nothing of it is out afterwards.
    enum class Given { none, waiting, out };  // what it was: not here, without a connection, or on one
    Given give_up(const BackendTask& task);
    void resume(const BackendTask& task);
    bool waits(const BackendTask& task) const;  // for a connection
    void close_idle(Time idle_since_before);
    bool close_oldest_idle();
    std::optional<Time> oldest_idle() const;
    std::size_t links() const { return links_.size(); }
    std::size_t idle() const { return idle_.size(); }
    std::size_t connecting() const { return connecting_; }
    void serve_waiting();  // room for another link may have come up

  private:
    struct Entry {
        std::shared_ptr<BackendConnection> link;
        std::string address;
        bool up = false;
        std::optional<BackendTask> task;
        Time idle_since{};
    };
    using Entries = std::list<Entry>;

    void on_ready(BackendConnection& link) override;
    void on_result(BackendConnection& link, AttemptResult result) override;
    void on_begun(BackendConnection& link, const Answer& head, std::size_t length) override;
    bool on_piece(BackendConnection& link, std::string_view bytes) override;
    void on_end(BackendConnection& link, BackendConnection::End end) override;

    Entries::iterator find(const BackendConnection& link);
    void put_to_use(Entries::iterator entry);
    void rest(Entries::iterator entry);
    void drop(Entries::iterator entry);
    void open_for_waiting();

    EndpointId endpoint_;
    Backend& backend_;
    const Clock& clock_;
    Duration connect_timeout_;
    Owner& owner_;
    std::string address_;
    Entries links_;
    std::vector<Entries::iterator> idle_;  // the newest last, which is used first
    std::deque<BackendTask> waiting_;      // the oldest first
    std::size_t connecting_ = 0;
};

}  // namespace indigovane::routing
