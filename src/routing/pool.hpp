// The connections to one endpoint, and the tasks that wait for one. Runs on the core's thread.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "routing/backend_task.hpp"
#include "routing/connection_budget.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::routing {

class Pool : private BackendConnection::Owner {
  public:
    // Whose tasks they are. Each submitted task ends once, by on_task_end() or by cancel().
    class Owner {
      public:
        virtual void on_task_end(EndpointId endpoint, const BackendTask& task, AttemptResult result) = 0;
        // A long value has begun; its pieces follow, then on_task_end().
        virtual void on_response_started(EndpointId endpoint, const BackendTask& task, const Answer& head,
                                         std::size_t length) = 0;
        // False: no more for now.
        virtual bool on_response_piece(const BackendTask& task, std::string_view bytes) = 0;
        // Called right before an attempt's first byte: while it waited for a connection it may have been
        // cancelled, its time may be up, or the endpoint may drain. None: it may not start. What its answer
        // must have seen may have grown, which the owner writes into the task.
        virtual const ClientRequest* may_start(EndpointId endpoint, BackendTask& task) = 0;

      protected:
        ~Owner() = default;
    };

    // All references must outlive the pool.
    Pool(EndpointId endpoint, Backend& backend, const Clock& clock, Duration connect_timeout, Owner& owner,
         ConnectionBudget& budget);
    virtual ~Pool();
    Pool(const Pool&) = delete;
    Pool& operator=(const Pool&) = delete;

    // Idle connections to another address are closed; busy ones once their task has ended.
    void set_address(const std::string& address);
    void set_connect_timeout(Duration timeout) { connect_timeout_ = timeout; }

    void submit(const BackendTask& task);
    // Where a task was that has been cancelled: unknown here, without a connection, or on one.
    enum class Cancelled { unknown, waiting, sent };
    // Ends a task without on_task_end(). Its connection, if it has one, is closed first: nothing of the task
    // is in flight afterwards. The caller calls serve_waiting().
    Cancelled cancel(const BackendTask& task);
    // There is room for pieces of the task's response again.
    void resume(const BackendTask& task);
    bool is_waiting(const BackendTask& task) const;  // for a connection
    void close_idle(Time idle_since_before);
    // False: no connection is idle.
    bool close_oldest_idle();
    std::optional<Time> oldest_idle() const;  // since when; none: no connection is idle
    std::size_t connections() const { return connections_.size(); }
    std::size_t idle() const { return idle_.size(); }
    std::size_t connecting() const { return connecting_; }
    // Gives waiting tasks the idle connections, and opens one for each of the others.
    void serve_waiting();

  private:
    struct PooledConnection {
        std::shared_ptr<BackendConnection> connection;
        std::string address;
        bool established = false;
        std::optional<BackendTask> task;
        Time idle_since{};
    };
    using Connections = std::list<PooledConnection>;

    void on_ready(BackendConnection& connection) override;
    void on_result(BackendConnection& connection, AttemptResult result) override;
    void on_begun(BackendConnection& connection, const Answer& head, std::size_t length) override;
    bool on_piece(BackendConnection& connection, std::string_view bytes) override;
    void on_end(BackendConnection& connection, BackendConnection::End end) override;

    Connections::iterator find(const BackendConnection& connection);
    void assign_task(Connections::iterator pooled);
    void release(Connections::iterator pooled);
    void close(Connections::iterator pooled);
    void open_for_waiting();

    EndpointId endpoint_;
    Backend& backend_;
    const Clock& clock_;
    Duration connect_timeout_;
    Owner& owner_;
    ConnectionBudget& budget_;
    std::string address_;
    Connections connections_;
    std::vector<Connections::iterator> idle_;  // the newest last, which is used first
    std::deque<BackendTask> waiting_;          // the oldest first
    std::size_t connecting_ = 0;
};

}  // namespace indigovane::routing
