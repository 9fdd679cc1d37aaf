#include "routing/pool.hpp"

#include <algorithm>

namespace indigovane::routing {

using policy::AttemptStatus;

namespace {
AttemptStatus status_of(BackendConnection::End end) {
    switch (end) {
        case BackendConnection::End::rejected:
            return AttemptStatus::rejected;
        case BackendConnection::End::written:
            return AttemptStatus::reset;
        case BackendConnection::End::unopened:
            return AttemptStatus::not_started;
        case BackendConnection::End::unreachable:
        case BackendConnection::End::unwritten:
            break;
    }
    return AttemptStatus::unreachable;
}
}  // namespace

Pool::Pool(EndpointId endpoint, Backend& backend, const Clock& clock, Duration connect_timeout, Owner& owner,
           ConnectionBudget& budget)
    : endpoint_(endpoint),
      backend_(backend),
      clock_(clock),
      connect_timeout_(connect_timeout),
      owner_(owner),
      budget_(budget) {}

Pool::~Pool() {
    for (PooledConnection& pooled : connections_) pooled.connection->close();
}

void Pool::set_address(const std::string& address) {
    if (address == address_) return;
    address_ = address;
    while (close_oldest_idle()) {
    }
}

void Pool::submit(const BackendTask& task) {
    waiting_.push_back(task);
    serve_waiting();
}

void Pool::serve_waiting() {
    while (!waiting_.empty() && !idle_.empty()) {
        auto pooled = idle_.back();
        // Bytes that arrived after an answer would be read as part of the next answer, and a request written
        // to a connection that the host has closed would be lost. The endpoint's address may also have
        // changed since the connection was opened.
        if (!pooled->connection->may_be_reused() || pooled->address != address_) {
            close(pooled);
            continue;
        }
        idle_.pop_back();
        assign_task(pooled);
    }
    open_for_waiting();
}

void Pool::open_for_waiting() {
    while (connecting_ < waiting_.size() && budget_.acquire()) {
        ++connecting_;
        connections_.push_back(
            {backend_.open(address_, connect_timeout_, *this), address_, false, std::nullopt, {}});
    }
}

// Gives the connection the oldest waiting task that may still start. The connection becomes idle if there is
// none.
void Pool::assign_task(Connections::iterator pooled) {
    while (!waiting_.empty()) {
        BackendTask task = waiting_.front();
        waiting_.pop_front();
        if (task.is_health_check) {
            pooled->task = task;
            pooled->connection->probe();
            return;
        }
        StartDecision start = owner_.may_start(endpoint_, task);
        if (!start.request) {
            owner_.on_task_end(endpoint_, task, result_without_answer(start.status));
            continue;
        }
        pooled->task = task;
        pooled->connection->submit(*start.request, task.deadline - clock_.now(),
                                   task.required_position_unix_ms);
        return;
    }
    release(pooled);
}

void Pool::release(Connections::iterator pooled) {
    pooled->idle_since = clock_.now();
    idle_.push_back(pooled);
}

Pool::Cancelled Pool::cancel(const BackendTask& task) {
    auto waiting =
        std::ranges::find_if(waiting_, [&](const BackendTask& other) { return other.is_same_task(task); });
    if (waiting != waiting_.end()) {
        waiting_.erase(waiting);
        return Cancelled::waiting;
    }
    auto busy = std::ranges::find_if(connections_, [&](const PooledConnection& pooled) {
        return pooled.task && pooled.task->is_same_task(task);
    });
    if (busy == connections_.end()) return Cancelled::unknown;
    close(busy);
    return Cancelled::sent;
}

bool Pool::is_waiting(const BackendTask& task) const {
    return std::ranges::any_of(waiting_, [&](const BackendTask& other) { return other.is_same_task(task); });
}

void Pool::close_idle(Time idle_since_before) {
    while (!idle_.empty() && idle_.front()->idle_since < idle_since_before) close_oldest_idle();
}

bool Pool::close_oldest_idle() {
    if (idle_.empty()) return false;
    auto oldest = idle_.front();
    close(oldest);
    return true;
}

std::optional<Time> Pool::oldest_idle() const {
    if (idle_.empty()) return std::nullopt;
    return idle_.front()->idle_since;
}

Pool::Connections::iterator Pool::find(const BackendConnection& connection) {
    return std::ranges::find_if(
        connections_, [&](const PooledConnection& pooled) { return pooled.connection.get() == &connection; });
}

void Pool::close(Connections::iterator pooled) {
    if (!pooled->is_established) --connecting_;
    std::erase(idle_, pooled);
    pooled->connection->close();
    connections_.erase(pooled);
    budget_.release();
}

void Pool::on_ready(BackendConnection& connection) {
    auto pooled = find(connection);
    if (pooled == connections_.end()) return;
    pooled->is_established = true;
    --connecting_;
    assign_task(pooled);
}

void Pool::on_result(BackendConnection& connection, AttemptResult result) {
    auto pooled = find(connection);
    if (pooled == connections_.end() || !pooled->task) return;
    BackendTask task = *pooled->task;
    pooled->task.reset();
    if (result.reusable)
        release(pooled);
    else
        close(pooled);
    owner_.on_task_end(endpoint_, task, std::move(result));
    serve_waiting();
}

void Pool::on_begun(BackendConnection& connection, const Answer& head, std::size_t length) {
    auto pooled = find(connection);
    if (pooled != connections_.end() && pooled->task)
        owner_.on_response_started(endpoint_, *pooled->task, head, length);
}

bool Pool::on_piece(BackendConnection& connection, std::string_view bytes) {
    auto pooled = find(connection);
    return pooled == connections_.end() || !pooled->task || owner_.on_response_piece(*pooled->task, bytes);
}

void Pool::resume(const BackendTask& task) {
    for (PooledConnection& pooled : connections_)
        if (pooled.task && pooled.task->is_same_task(task)) {
            auto connection = pooled.connection;  // kept alive, since resume() may end it
            return connection->resume();
        }
}

void Pool::on_pause(BackendConnection& connection, Duration pause) {
    auto pooled = find(connection);
    if (pooled == connections_.end() || !pooled->task) return;
    BackendTask task = *pooled->task;  // the owner may cancel it
    owner_.on_answer_paused(endpoint_, task, pause);
}

void Pool::on_end(BackendConnection& connection, BackendConnection::End end) {
    auto pooled = find(connection);
    if (pooled == connections_.end()) return;
    std::optional<BackendTask> task = pooled->task;
    // If a connection was never established, the oldest waiting task ends, because one connection was opened
    // for each waiting task.
    if (!pooled->is_established && !task && waiting_.size() >= connecting_) {
        task = waiting_.front();
        waiting_.pop_front();
    }
    close(pooled);
    if (task) owner_.on_task_end(endpoint_, *task, result_without_answer(status_of(end)));
    serve_waiting();
}

}  // namespace indigovane::routing
