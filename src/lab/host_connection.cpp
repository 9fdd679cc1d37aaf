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
    // A host that is down resets the connection if it refuses connections. Otherwise, and if it is
    // unreachable, the connection times out.
    if (!host_.is_up() || !world_.network.response_passes(pooler_, host_)) {
        bool is_reset = !host_.is_up() && host_.refuses_connections;
        return end_later(is_reset ? world_.options.one_way_delay * 2 : timeout);
    }
    incarnation_ = host_.incarnation();
    world_.network.add(host_, *this);
    is_registered_ = true;
    bool is_accepted = ++host_.connections <= world_.options.max_connections;
    // The TCP handshake and the startup take two round trips.
    world_.timeline.schedule_after(
        world_.options.one_way_delay * 4, EventRank::arrival, [weak = weak_from_this(), is_accepted] {
            auto self = weak.lock();
            if (!self || !self->owner_ || self->is_established_) return;
            if (!is_accepted) return std::exchange(self->owner_, nullptr)->on_end(*self, End::rejected);
            self->is_established_ = true;
            self->owner_->on_ready(*self);
        });
}

void HostConnection::end_later(Duration delay) {
    world_.timeline.schedule_after(delay, EventRank::arrival, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (self && self->owner_) std::exchange(self->owner_, nullptr)->on_end(*self, End::unreachable);
    });
}

bool HostConnection::may_be_reused() {
    return owner_ && is_established_ && (incarnation_ == host_.incarnation() || !host_.is_up());
}

void HostConnection::end_attempt() {
    if (request_id_.empty()) return;
    world_.auditor.attempt_ended(request_id_);
    request_id_.clear();
}

void HostConnection::close() {
    owner_ = nullptr;
    if (!request_id_.empty()) {
        end_attempt();
        // The host learns of the close after the network's delay, and drops the work if it has not started.
        world_.timeline.schedule_after(world_.options.one_way_delay, EventRank::world,
                                       [host = &host_, work = work_number_, incarnation = incarnation_] {
                                           if (host->incarnation() == incarnation) host->cancel(work);
                                       });
    }
    if (!std::exchange(is_registered_, false)) return;
    world_.network.remove(host_, *this);
    if (incarnation_ == host_.incarnation() && host_.connections > 0) --host_.connections;
}

void HostConnection::on_broken_by_host() {
    is_registered_ = false;
    end_attempt();
    Owner* owner = std::exchange(owner_, nullptr);
    if (!owner) return;
    world_.timeline.schedule_after(
        world_.options.one_way_delay, EventRank::arrival, [self = shared_from_this(), owner] {
            owner->on_end(*self, self->is_established_ ? End::written : End::unreachable);
        });
}

void HostConnection::send_result(AttemptResult result) {
    if (!world_.network.response_passes(pooler_, host_)) return;
    world_.timeline.schedule_after(world_.options.one_way_delay, EventRank::arrival,
                                   [weak = weak_from_this(), result = std::move(result)]() mutable {
                                       auto self = weak.lock();
                                       if (!self || !self->owner_) return;
                                       self->end_attempt();
                                       self->owner_->on_result(*self, std::move(result));
                                   });
}

void HostConnection::submit(const ClientRequest& request, Duration,
                            std::optional<std::int64_t> required_position) {
    std::uint64_t attempt = ++world_.summary.attempts;
    request_id_ = request.id;
    Time sent = world_.timeline.now();
    Duration work = world_.options.classes[std::size_t(request.request_class)].work;
    world_.auditor.attempt_sent(request.id, pooler_, host_.number, sent);
    world_.auditor.work_sent(host_.number, work, sent);
    if (attempt % 500 == 7) world_.plant_defect(request.id, pooler_, host_.number);
    if (!world_.network.request_passes(pooler_, host_)) return;  // lost in the network
    world_.timeline.schedule_after(world_.options.one_way_delay, EventRank::world,
                                   [weak = weak_from_this(), request, required_position] {
                                       if (auto self = weak.lock()) self->receive(request, required_position);
                                   });
}

void HostConnection::receive(const ClientRequest& request, std::optional<std::int64_t> required_position) {
    if (is_gone()) return;
    const ClassOptions& options = world_.options.classes[std::size_t(request.request_class)];
    bool is_write = options.consistency == Consistency::write;
    AttemptResult rejected;
    rejected.status = AttemptStatus::rejected;
    rejected.role = host_.is_primary ? Role::primary : Role::replica;
    if (world_.options.answers_tell_position)
        rejected.position_unix_us = world_.clock.to_unix(host_.position());
    if (host_.is_draining) return send_result(rejected);
    bool is_stale = world_.options.hosts_check_staleness && required_position &&
                    *rejected.position_unix_us / 1000 < *required_position;
    if (!host_.is_primary && (is_write || is_stale)) {
        rejected.status = AttemptStatus::miss;
        return send_result(rejected);
    }
    Duration base_time(std::int64_t(double(options.work.count()) * world_.work_stream.between(0.5, 1.5)));
    work_number_ = host_.submit(base_time, [weak = weak_from_this(), is_write] {
        if (auto self = weak.lock()) self->finish_work(is_write);
    });
    if (work_number_ == 0) send_result(rejected);
}

void HostConnection::finish_work(bool is_write) {
    if (is_gone()) return;
    // Added to the position of a commit, in microseconds, because real commits are not on whole milliseconds.
    constexpr std::int64_t kWithinMillisecond = 999;
    AttemptResult result;
    result.status = AttemptStatus::ok;
    result.role = host_.is_primary ? Role::primary : Role::replica;
    std::int64_t position = world_.clock.to_unix(host_.position()) + (is_write ? kWithinMillisecond : 0);
    if (is_write || world_.options.answers_tell_position) result.position_unix_us = position;
    result.answer.position_unix_ms = position / 1000;
    result.answer.tag = host_.is_primary ? "primary" : "replica";
    send_result(std::move(result));
}

void HostConnection::probe() {
    ++world_.summary.health_checks;
    if (!world_.network.request_passes(pooler_, host_)) return;
    world_.timeline.schedule_after(world_.options.one_way_delay, EventRank::world, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (!self || self->is_gone()) return;
        const Host& host = self->host_;
        AttemptResult result;
        result.status = AttemptStatus::ok;
        result.report.primary = host.is_primary;
        if (self->world_.options.reports_cpu)
            result.report.cpu_utilization = double(host.busy_cores()) / double(self->world_.options.cores);
        else
            result.report.in_flight = double(host.in_flight());
        result.report_position_unix_us = self->world_.clock.to_unix(host.position());
        self->send_result(std::move(result));
    });
}

}  // namespace indigovane::lab
