#include "lab/host_connection.hpp"

#include <utility>

#include "lab/world.hpp"

namespace indigovane::lab {

using namespace std::chrono_literals;
using policy::AttemptStatus;
using policy::Consistency;
using policy::Role;
using routing::AttemptResult;
using routing::ClientRequest;
using Defect = FleetOptions::Defect;

HostConnection::HostConnection(World& world, std::uint32_t pooler, Host& host, Owner& owner)
    : world_(world), number_(world.network.next_connection()), pooler_(pooler), host_(host), owner_(&owner) {}

void HostConnection::open(Duration timeout) {
    ++world_.summary.connects;
    // A machine that is gone, or out of reach, says nothing.
    if (!host_.up() || !world_.network.response_passes(pooler_, host_)) {
        bool reset = !host_.up() && host_.refuses_connections;
        return end_later(reset ? world_.options.one_way * 2 : timeout);
    }
    incarnation_ = host_.incarnation();
    world_.network.add(host_, *this);
    registered_ = true;
    bool accepted = ++host_.connections <= world_.options.connections;
    // A handshake and the startup: two ways and back.
    world_.timeline.after(world_.options.one_way * 4, Rank::arrival, [weak = weak_from_this(), accepted] {
        auto self = weak.lock();
        if (!self || !self->owner_ || self->up_) return;
        if (!accepted) return std::exchange(self->owner_, nullptr)->on_end(*self, End::rejected);
        self->up_ = true;
        self->owner_->on_ready(*self);
    });
}

void HostConnection::end_later(Duration wait) {
    world_.timeline.after(wait, Rank::arrival, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (self && self->owner_) std::exchange(self->owner_, nullptr)->on_end(*self, End::unreachable);
    });
}

bool HostConnection::may_be_reused() {
    return owner_ && up_ && (incarnation_ == host_.incarnation() || !host_.up());
}

void HostConnection::clear_request() {
    if (request_.empty()) return;
    world_.auditor.attempt_over(request_);
    request_.clear();
}

void HostConnection::close() {
    owner_ = nullptr;
    if (!request_.empty()) {
        clear_request();
        // The host receives it a way's time later, and drops what it has not begun.
        world_.timeline.after(world_.options.one_way, Rank::world,
                              [host = &host_, work = work_, incarnation = incarnation_] {
                                  if (host->incarnation() == incarnation) host->cancel(work);
                              });
    }
    if (!std::exchange(registered_, false)) return;
    world_.network.remove(host_, *this);
    if (incarnation_ == host_.incarnation() && host_.connections > 0) --host_.connections;
}

void HostConnection::on_broken_by_host() {
    registered_ = false;
    clear_request();
    Owner* owner = std::exchange(owner_, nullptr);
    if (!owner) return;
    world_.timeline.after(world_.options.one_way, Rank::arrival, [self = shared_from_this(), owner] {
        owner->on_end(*self, self->up_ ? End::written : End::unreachable);
    });
}

void HostConnection::answer(AttemptResult result) {
    if (!world_.network.response_passes(pooler_, host_)) return;
    world_.timeline.after(world_.options.one_way, Rank::arrival,
                          [weak = weak_from_this(), result = std::move(result)]() mutable {
                              auto self = weak.lock();
                              if (!self || !self->owner_) return;
                              self->clear_request();
                              self->owner_->on_result(*self, std::move(result));
                          });
}

void HostConnection::submit(const ClientRequest& request, Duration, std::optional<std::int64_t> needs) {
    std::uint64_t attempt = ++world_.summary.attempts;
    request_ = request.id;
    Time sent = world_.timeline.now();
    Duration work = world_.options.classes[std::size_t(request.request_class)].work;
    world_.auditor.sent(request.id, pooler_, host_.number, sent);
    world_.auditor.work_sent(host_.number, work, sent);
    if (attempt % 500 == 7) world_.plant_defect(request.id, pooler_, host_.number);
    if (!world_.network.request_passes(pooler_, host_)) return;  // lost on the way
    world_.timeline.after(world_.options.one_way, Rank::world, [weak = weak_from_this(), request, needs] {
        if (auto self = weak.lock()) self->arrive(request, needs);
    });
}

void HostConnection::arrive(const ClientRequest& request, std::optional<std::int64_t> needs) {
    if (gone()) return;
    const ClassOptions& options = world_.options.classes[std::size_t(request.request_class)];
    bool write = options.consistency == Consistency::write;
    AttemptResult rejected;
    rejected.status = AttemptStatus::rejected;
    rejected.role = host_.primary ? Role::primary : Role::replica;
    if (world_.options.answers_tell_position)
        rejected.position_unix_us = world_.clock.to_unix(host_.position());
    if (host_.draining) return answer(rejected);
    bool stale = world_.options.hosts_check_staleness && needs && *rejected.position_unix_us / 1000 < *needs;
    if (!host_.primary && (write || stale)) {
        rejected.status = AttemptStatus::miss;
        return answer(rejected);
    }
    Duration amount(std::int64_t(double(options.work.count()) * world_.work_stream.between(0.5, 1.5)));
    work_ = host_.submit(amount, [weak = weak_from_this(), write] {
        if (auto self = weak.lock()) self->finish_work(write);
    });
    if (work_ == 0) answer(rejected);
}

void HostConnection::finish_work(bool write) {
    if (gone()) return;
    constexpr std::int64_t kWithinMillisecond = 999;  // a commit's position is not on a whole millisecond
    AttemptResult result;
    result.status = AttemptStatus::ok;
    result.role = host_.primary ? Role::primary : Role::replica;
    std::int64_t position = world_.clock.to_unix(host_.position()) + (write ? kWithinMillisecond : 0);
    if (write || world_.options.answers_tell_position) result.position_unix_us = position;
    result.answer.position_unix_ms = position / 1000;
    result.answer.tag = host_.primary ? "primary" : "replica";
    answer(std::move(result));
}

void HostConnection::probe() {
    ++world_.summary.health_checks;
    if (!world_.network.request_passes(pooler_, host_)) return;
    world_.timeline.after(world_.options.one_way, Rank::world, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (!self || self->gone()) return;
        const Host& host = self->host_;
        AttemptResult result;
        result.status = AttemptStatus::ok;
        result.report.primary = host.primary;
        if (self->world_.options.reports_cpu)
            result.report.cpu_utilization = double(host.busy_cores()) / double(self->world_.options.cores);
        else
            result.report.in_flight = double(host.in_flight());
        result.report_position_unix_us = self->world_.clock.to_unix(host.position());
        self->answer(std::move(result));
    });
}

}  // namespace indigovane::lab
