#include "routing/pool.hpp"

#include <algorithm>

namespace indigovane::routing {

using starlingpond::Status;

namespace {
Result ended(Status status) {
    Result result;
    result.status = status;
    result.reusable = false;
    return result;
}

Status status_of(Link::End end) {
    switch (end) {
        case Link::End::turned_away:
            return Status::full;
        case Link::End::written:
            return Status::reset;
        case Link::End::unopened:
            return Status::moot;
        case Link::End::unreachable:
        case Link::End::unwritten:
            break;
    }
    return Status::unreachable;
}
}  // namespace

Pool::Pool(MemberId member, Backend& backend, const Clock& clock, Duration connect_timeout, Owner& owner)
    : member_(member), backend_(backend), clock_(clock), connect_timeout_(connect_timeout), owner_(owner) {}

Pool::~Pool() {
    for (Entry& e : links_) e.link->close();
}

void Pool::set_endpoint(const std::string& endpoint) {
    if (endpoint == endpoint_) return;
    endpoint_ = endpoint;
    while (close_oldest_idle()) {
    }
}

void Pool::submit(const Job& job) {
    waiting_.push_back(job);
    serve_waiting();
}

void Pool::serve_waiting() {
    while (!waiting_.empty() && !idle_.empty()) {
        auto entry = idle_.back();
        // Guards against what came behind an answer, which would be taken for the next one, and against
        // writing to a connection whose other side has closed.
        // A member may have moved while the connection was at work, too.
        if (!entry->link->quiet() || entry->endpoint != endpoint_) {
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
            {backend_.open(endpoint_, connect_timeout_, *this), endpoint_, false, std::nullopt, {}});
    }
}

// Gives the link the oldest job that may still start; with none left it is idle.
void Pool::put_to_use(Entries::iterator entry) {
    while (!waiting_.empty()) {
        Job job = waiting_.front();
        waiting_.pop_front();
        if (job.probe) {
            entry->job = job;
            entry->link->probe();
            return;
        }
        const Item* item = owner_.may_start(*this, job);
        if (!item) {
            owner_.on_job_end(*this, job, ended(Status::moot));
            continue;
        }
        entry->job = job;
        entry->link->submit(*item, job.until - clock_.now(), job.needs);
        return;
    }
    rest(entry);
}

void Pool::rest(Entries::iterator entry) {
    entry->idle_since = clock_.now();
    idle_.push_back(entry);
}

Pool::Given Pool::give_up(const Job& job) {
    auto w = std::find_if(waiting_.begin(), waiting_.end(), [&](const Job& j) { return j.same(job); });
    if (w != waiting_.end()) {
        waiting_.erase(w);
        return Given::waiting;
    }
    auto e =
        std::find_if(links_.begin(), links_.end(), [&](const Entry& x) { return x.job && x.job->same(job); });
    if (e == links_.end()) return Given::none;
    drop(e);
    return Given::out;
}

bool Pool::waits(const Job& job) const {
    return std::any_of(waiting_.begin(), waiting_.end(), [&](const Job& j) { return j.same(job); });
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

Pool::Entries::iterator Pool::find(const Link& link) {
    return std::find_if(links_.begin(), links_.end(), [&](const Entry& e) { return e.link.get() == &link; });
}

void Pool::drop(Entries::iterator entry) {
    if (!entry->up) --connecting_;
    std::erase(idle_, entry);
    entry->link->close();
    links_.erase(entry);
    owner_.on_link_gone();
}

void Pool::on_ready(Link& link) {
    auto entry = find(link);
    if (entry == links_.end()) return;
    entry->up = true;
    --connecting_;
    put_to_use(entry);
}

void Pool::on_result(Link& link, Result result) {
    auto entry = find(link);
    if (entry == links_.end() || !entry->job) return;
    Job job = *entry->job;
    entry->job.reset();
    if (result.reusable)
        rest(entry);
    else
        drop(entry);
    owner_.on_job_end(*this, job, std::move(result));
    serve_waiting();
}

void Pool::on_begun(Link& link, const Answer& head, std::size_t length) {
    auto entry = find(link);
    if (entry != links_.end() && entry->job) owner_.on_job_begun(*this, *entry->job, head, length);
}

bool Pool::on_piece(Link& link, std::string_view bytes) {
    auto entry = find(link);
    return entry == links_.end() || !entry->job || owner_.on_job_piece(*entry->job, bytes);
}

void Pool::resume(const Job& job) {
    for (Entry& e : links_)
        if (e.job && e.job->same(job)) {
            auto link = e.link;  // it may end on what it has
            return link->resume();
        }
}

void Pool::on_end(Link& link, Link::End end) {
    auto entry = find(link);
    if (entry == links_.end()) return;
    std::optional<Job> job = entry->job;
    // A link that never came up takes the oldest waiting job with it: one link was opened for each.
    if (!entry->up && !job && waiting_.size() >= connecting_) {
        job = waiting_.front();
        waiting_.pop_front();
    }
    drop(entry);
    if (job) owner_.on_job_end(*this, *job, ended(status_of(end)));
    serve_waiting();
}

}  // namespace indigovane::routing
