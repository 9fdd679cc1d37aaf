// The connections to one endpoint, and the tasks that wait for a connection. All calls are made on the core's
// thread.
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
    // Whether an attempt may start.
    struct StartDecision {
        const ClientRequest* request = nullptr;  // to be sent; nullptr: the attempt must not start
        // How the attempt ends if it must not start.
        policy::AttemptStatus status = policy::AttemptStatus::not_started;
    };

    // The owner of the tasks. Each submitted task ends exactly once, by on_task_end() or by cancel().
    class Owner {
      public:
        virtual void on_task_end(EndpointId endpoint, const BackendTask& task, AttemptResult result) = 0;
        // A long value of `length` bytes has started. Calls of on_response_piece() follow, and then
        // on_task_end().
        virtual void on_response_started(EndpointId endpoint, const BackendTask& task, const Answer& head,
                                         std::size_t length) = 0;
        // False: the owner accepts no more until it calls resume().
        virtual bool on_response_piece(const BackendTask& task, std::string_view bytes) = 0;
        // No byte of the task's answer has come for `pause`, after some had. Called again while the pause
        // goes on.
        virtual void on_answer_paused(EndpointId endpoint, const BackendTask& task, Duration pause) = 0;
        // Called right before an attempt's first byte is written. While the attempt waited for a connection,
        // it may have been cancelled, its deadline may have passed, the endpoint may have started to drain or
        // its data may have become too old. The position that the answer must have reached may have increased
        // meanwhile; the owner then updates it in the task.
        virtual StartDecision may_start(EndpointId endpoint, BackendTask& task) = 0;

      protected:
        ~Owner() = default;
    };

    // All references must outlive the pool.
    Pool(EndpointId endpoint, Backend& backend, const Clock& clock, Duration connect_timeout, Owner& owner,
         ConnectionBudget& budget);
    virtual ~Pool();
    Pool(const Pool&) = delete;
    Pool& operator=(const Pool&) = delete;

    // Sets the endpoint's address. Idle connections to another address are closed now, and busy ones after
    // their task has ended.
    void set_address(const std::string& address);
    void set_connect_timeout(Duration timeout) { connect_timeout_ = timeout; }

    void submit(const BackendTask& task);
    // The state of a task when it was cancelled: not in this pool, waiting for a connection, or sent on one.
    enum class Cancelled { unknown, waiting, sent };
    // Ends a task without on_task_end(). The task's connection, if it has one, is closed, so that the task is
    // not in flight afterwards. The caller must then call serve_waiting().
    Cancelled cancel(const BackendTask& task);
    // The owner has room for pieces of the task's response again.
    void resume(const BackendTask& task);
    // Whether the task waits for a connection.
    bool is_waiting(const BackendTask& task) const;
    // Closes the connections that became idle before this time.
    void close_idle(Time idle_since_before);
    // Closes the connection that has been idle longest. False: no connection is idle.
    bool close_oldest_idle();
    // Since when the connection that has been idle longest is idle; nullopt: no connection is idle.
    std::optional<Time> oldest_idle() const;
    std::size_t connections() const { return connections_.size(); }
    std::size_t idle() const { return idle_.size(); }
    std::size_t connecting() const { return connecting_; }
    // Assigns idle connections to waiting tasks, and opens a connection for each of the other tasks as far as
    // the budget allows.
    void serve_waiting();

  private:
    struct PooledConnection {
        std::shared_ptr<BackendConnection> connection;
        std::string address;
        bool is_established = false;
        std::optional<BackendTask> task;
        Time idle_since{};
    };
    using Connections = std::list<PooledConnection>;

    void on_ready(BackendConnection& connection) override;
    void on_result(BackendConnection& connection, AttemptResult result) override;
    void on_begun(BackendConnection& connection, const Answer& head, std::size_t length) override;
    bool on_piece(BackendConnection& connection, std::string_view bytes) override;
    void on_pause(BackendConnection& connection, Duration pause) override;
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
    // In the order in which they became idle. The last one is used first.
    std::vector<Connections::iterator> idle_;
    std::deque<BackendTask> waiting_;  // the oldest first
    std::size_t connecting_ = 0;       // connections that are not established yet
};

}  // namespace indigovane::routing
