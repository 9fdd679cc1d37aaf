#include "routing/pool.hpp"

#include <algorithm>

namespace indigovane::routing {

using policy::AttemptStatus;

namespace {
AttemptResult ended(AttemptStatus status) {
    AttemptResult result;
    result.status = status;
    result.reusable = false;
    return result;
}

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

Pool::Pool(EndpointId endpoint, Backend& backend, const Clock& clock, Duration connect_timeout, Owner& owner)
    : endpoint_(endpoint),
      backend_(backend),
      clock_(clock),
      connect_timeout_(connect_timeout),
      owner_(owner) {}

Pool::~Pool() {
    for (Entry& e : links_) e.link->close();
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
        auto entry = idle_.back();
        // Guards against what came behind an answer, which would be taken for the next one, and against
        // writing to a connection whose other side has closed.
        // A member may have moved while the connection was at work, too.
        if (!entry->link->quiet() || entry->address != address_) {
            drop(entry);
            continue;
        }
        idle_.pop_back();
        put_to_use(entry);
    }
    open_for_waiting();
}

void Pool::open_for_waiting() {
    while (connecting_ < waiting_.size() && owner_.may_open()) {
        ++connecting_;
        links_.push_back(
            {backend_.open(address_, connect_timeout_, *this), address_, false, std::nullopt, {}});
    }
}

// Gives the link the oldest job that may still start; with none left it is idle.
void Pool::put_to_use(Entries::iterator entry) {
    while (!waiting_.empty()) {
        BackendTask task = waiting_.front();
        waiting_.pop_front();
        if (task.probe) {
            entry->task = task;
            entry->link->probe();
            return;
        }
        const ClientRequest* item = owner_.may_start(*this, task);
        if (!item) {
            owner_.on_job_end(*this, task, ended(AttemptStatus::not_started));
            continue;
        }
        entry->task = task;
        entry->link->submit(*item, task.until - clock_.now(), task.needs);
        return;
    }
    rest(entry);
}

void Pool::rest(Entries::iterator entry) {
    entry->idle_since = clock_.now();
    idle_.push_back(entry);
}

Pool::Given Pool::give_up(const BackendTask& task) {
    auto w =
        std::find_if(waiting_.begin(), waiting_.end(), [&](const BackendTask& j) { return j.same(task); });
    if (w != waiting_.end()) {
        waiting_.erase(w);
        return Given::waiting;
    }
    auto e = std::find_if(links_.begin(), links_.end(),
                          [&](const Entry& x) { return x.task && x.task->same(task); });
    if (e == links_.end()) return Given::none;
    drop(e);
    return Given::out;
}

bool Pool::waits(const BackendTask& task) const {
    return std::any_of(waiting_.begin(), waiting_.end(), [&](const BackendTask& j) { return j.same(task); });
}

void Pool::close_idle(Time idle_since_before) {
    while (!idle_.empty() && idle_.front()->idle_since < idle_since_before) close_oldest_idle();
}

bool Pool::close_oldest_idle() {
    if (idle_.empty()) return false;
    auto entry = idle_.front();
    drop(entry);
    return true;
}

std::optional<Time> Pool::oldest_idle() const {
    if (idle_.empty()) return std::nullopt;
    return idle_.front()->idle_since;
}

Pool::Entries::iterator Pool::find(const BackendConnection& link) {
    return std::find_if(links_.begin(), links_.end(), [&](const Entry& e) { return e.link.get() == &link; });
}

void Pool::drop(Entries::iterator entry) {
    if (!entry->up) --connecting_;
    std::erase(idle_, entry);
    entry->link->close();
    links_.erase(entry);
    owner_.on_link_gone();
}

void Pool::on_ready(BackendConnection& link) {
    auto entry = find(link);
    if (entry == links_.end()) return;
    entry->up = true;
    --connecting_;
    put_to_use(entry);
}

void Pool::on_result(BackendConnection& link, AttemptResult result) {
    auto entry = find(link);
    if (entry == links_.end() || !entry->task) return;
    BackendTask task = *entry->task;
    entry->task.reset();
    if (result.reusable)
        rest(entry);
    else
        drop(entry);
    owner_.on_job_end(*this, task, std::move(result));
    serve_waiting();
}

void Pool::on_begun(BackendConnection& link, const Answer& head, std::size_t length) {
    auto entry = find(link);
    if (entry != links_.end() && entry->task) owner_.on_job_begun(*this, *entry->task, head, length);
}

bool Pool::on_piece(BackendConnection& link, std::string_view bytes) {
    auto entry = find(link);
    return entry == links_.end() || !entry->task || owner_.on_job_piece(*entry->task, bytes);
}

void Pool::resume(const BackendTask& task) {
    for (Entry& e : links_)
        if (e.task && e.task->same(task)) {
            auto link = e.link;  // it may end on what it has
            return link->resume();
        }
}

void Pool::on_end(BackendConnection& link, BackendConnection::End end) {
    auto entry = find(link);
    if (entry == links_.end()) return;
    std::optional<BackendTask> task = entry->task;
    // A link that never came up takes the oldest waiting job with it: one link was opened for each.
    if (!entry->up && !task && waiting_.size() >= connecting_) {
        task = waiting_.front();
        waiting_.pop_front();
    }
    drop(entry);
    if (task) owner_.on_job_end(*this, *task, ended(status_of(end)));
    serve_waiting();
}

}  // namespace indigovane::routing
