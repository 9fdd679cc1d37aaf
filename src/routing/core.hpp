// The core: owns requests, attempts, members and timers, and is the only caller of the decision module. It
// has no socket, clock, timer or randomness of its own: calls come in, with the time that its clock tells;
// links, answers and wake-ups go out through interfaces. routing/loop_core.hpp drives it on a real loop;
// whatever else drives it drives the same decisions.
#pragma once

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "routing/interfaces.hpp"
#include "routing/pool.hpp"
#include "routing/request_guard.hpp"
#include "routing/request_log.hpp"
#include "routing/request_statistics.hpp"
#include "routing/site_controller.hpp"

namespace indigovane::routing {

struct CoreLimits {
    Duration connect_timeout = std::chrono::milliseconds(250);
    Duration probe_timeout = std::chrono::milliseconds(250);
    Duration idle_limit = std::chrono::seconds(30);  // members close a connection that stood idle so long
    std::size_t bytes = 64 << 20;                    // of items in hand, all together
    std::size_t links = 256;                         // connections to members, all together
    Duration sweep = std::chrono::seconds(1);        // idle connections and members are looked at this often
    Duration keep_left = std::chrono::seconds(60);   // a member that left the list is known for so long
};

// What the core asks of whoever drives it. Neither call may call back in.
class Driver {
  public:
    virtual void wake() = 0;  // run_batch() soon, after whatever else is ready
    virtual void alarm(
        std::optional<Time> at) = 0;  // and then at the latest; takes the place of the one before

  protected:
    ~Driver() = default;
};

class Core : public RequestAdmission, private Pool::Owner {
  public:
    Core(Driver& driver, const Clock& clock, const policy::Settings& settings, std::uint64_t seed,
         CoreLimits limits, Backend& backend, Logger& logger);
    virtual ~Core();

    RequestId accept(ClientRequest item, Responder& responder) override;
    bool has_capacity(std::size_t bytes) const override { return queued_bytes_ + bytes <= limits_.bytes; }
    bool is_open(const std::string& id) const override { return open_ids_.count(id) > 0; }
    void resume(RequestId id) override;
    void withdraw(RequestId id, Departure departure) override;
    // Other settings and limits from the next batch on. `continues`: for each class the one that it
    // continues.
    void retune(const policy::Settings& settings, std::vector<std::optional<ClassId>> continues,
                Duration connect_timeout, Duration idle_limit);
    // With another process of this pooler: what sessions have written, and who was put back when.
    policy::SessionTokens tokens() const { return policy_.tokens(); }
    void take_over(policy::SessionTokens tokens);
    const std::map<std::string, Time>& put_back() const { return put_back_; }
    void take_over_put_back(const std::string& uid, Time at) {
        put_back_[uid] = std::max(put_back_[uid], at);
    }
    void on_commit(std::function<void(std::uint64_t session, Time commit)> hear) {
        commit_ = std::move(hear);
    }
    // A write of a session has been taken in, and is over: all of it, whatever became of it.
    void on_write(std::function<void(std::uint64_t session, bool begins)> hear) { write_ = std::move(hear); }
    std::vector<EndpointInfo> listed() const;          // members as the list has them now
    void limit(std::size_t links, std::size_t bytes);  // from now on
    void list(policy::EndpointListKind kind, const std::vector<EndpointInfo>& members);
    // These uids are out: whatever list names them, they drain. One that is put back counts as started now,
    // since its operators had it to themselves meanwhile.
    void set_excluded(const std::set<std::string>& excluded_endpoints);
    bool knows(const std::string& uid) const { return uids_.count(uid) > 0; }
    std::string uid(EndpointId id) const {
        const Endpoint* m = endpoint(id);
        return m ? m->info.uid : "";
    }
    void on_follow_list(std::function<void()> follow) { follow_ = std::move(follow); }
    // A group has another primary than before, by an answer or a report that this pooler has had itself.
    void on_primary(std::function<void(const EndpointInfo& endpoint, Time as_of)> hear) {
        primary_observer_ = std::move(hear);
    }
    // Another pooler says so. False: it names no such member, or is too old to be of use.
    bool on_primary_gossip(const std::string& uid, std::uint32_t group, std::int64_t as_of_unix_us);

    // Sites are watched, and given up and taken back as a whole, from now on. At a later call: other
    // settings.
    void watch_sites(const site::Settings& settings, std::vector<site::Demand> classes, std::uint64_t seed);
    const SiteController* sites() const { return sites_.get(); }  // none: not watched
    bool drain_site(std::uint32_t zone, bool on);                 // false: there is none, or it is so already

    // Hands everything that has come in since the last batch to the module in one go, then carries out what
    // came back. Nothing that an action brings about is seen before the next batch.
    void run_batch();
    void timer_expired() { armed_.reset(); }  // the alarm has gone off: run_batch() follows

    // Whatever is in hand or comes yet has its answer by then: the program ends.
    void finish_by(Time at) { finish_by_ = at; }
    void finish_all();

    bool idle() const { return entries_.empty(); }
    std::size_t requests() const { return entries_.size(); }
    std::size_t links() const { return links_; }
    std::size_t members() const { return endpoints_.size(); }
    const RequestGuard::Counts& violations() const { return guard_.violations(); }

  private:
    struct Entry {
        ClientRequest item;
        Responder* responder = nullptr;  // none: the request has its final answer, or its client is gone
        Time arrived{}, deadline{};
        std::size_t bytes = 0;
        std::vector<Attempt> attempts;
        bool over = false;
        bool begun = false;  // part of a long value is with the client
        RetryRule rule;      // by the settings that it came with
        std::optional<std::int64_t>
            newer_commit_unix_ms;  // its session's commit while it waited, a Unix time in ms
        bool out() const;
        bool may_have_run() const;
    };
    struct Endpoint {
        std::unique_ptr<Pool> pool;
        EndpointInfo info;
        bool site_excluded = false;  // its site is given up
        std::optional<Time> let_in;  // after that: it counts as started then
        bool refused_new = false;    // drains or is gone
        std::optional<Time> left;    // when the list ceased to name it, or named it as gone
        std::uint32_t attempts = 0;  // of requests in hand: they refer to it
        std::uint32_t probes = 0;
        std::optional<BackendTask> probe;
    };
    struct TimerEntry {
        Time at;
        std::uint64_t order;
        enum class Kind { module, task, start } kind;  // start: a job is to be on a connection by now
        policy::TimerId timer{};
        EndpointId endpoint{};
        BackendTask task{};
        bool operator>(const TimerEntry& o) const { return at != o.at ? at > o.at : order > o.order; }
    };

    void on_job_end(Pool& pool, const BackendTask& task, AttemptResult result) override;
    void on_job_begun(Pool& pool, const BackendTask& task, const Answer& head, std::size_t length) override;
    bool on_job_piece(const BackendTask& task, std::string_view bytes) override;
    const ClientRequest* may_start(const Pool& pool, BackendTask& task) override;
    bool may_open() override;
    void on_link_gone() override;

    bool plausible(std::optional<std::int64_t> position_unix_us) const;
    static bool plausible(const policy::LoadReport& report);
    void note_primary(EndpointId id, const EndpointInfo& info, Time as_of);
    bool stale(const ClientRequest& item, const BackendTask& task, const AttemptResult& result) const;
    void end_job(EndpointId id, const BackendTask& task, AttemptResult result);
    policy::EndpointEntry entry(EndpointId id, Endpoint& m);  // as the module is to see it
    void leave(Endpoint& m);
    void update_sites();
    void look_at_sites(Time now);
    void abandon_unresponsive(const std::set<EndpointId>& silent);
    void raise_session_position(std::uint64_t session, std::int64_t commit_unix_ms);
    bool give_up(Pool& pool, const BackendTask& task, policy::AttemptStatus out,
                 policy::AttemptStatus waiting);
    void reject_by_site(RequestId id);
    bool close_oldest_idle();
    void sweep(Time now);
    void log_statistics(Time now);
    void carry_out(const policy::Action& action);
    void act(const policy::SendAttempt& send);
    void act(const policy::CancelAttempt& cancel);
    void act(const policy::RejectRequest& refuse);
    void act(const policy::FailRequest& fail);
    void act(const policy::CheckHealth& probe);
    void act(const policy::SetTimer& timer);
    void act(const policy::WatchEndpoints&);
    void act(const policy::LogMessage& line);

    RequestLog::Request describe(const Entry& entry) const;
    void finish(RequestId id, FinalError ending, const char* why);
    void block_attempt(RequestId id, Invariant invariant);
    void forget_if_done(RequestId id);
    void add_timer(TimerEntry alarm);
    void collect_due(Time now);
    void expire(const TimerEntry& alarm);
    void wake();
    void arm();
    Endpoint* endpoint(EndpointId id);
    const Endpoint* endpoint(EndpointId id) const { return const_cast<Core*>(this)->endpoint(id); }

    Driver& driver_;
    const Clock& clock_;
    CoreLimits limits_;
    Backend& backend_;
    Logger& logger_;
    policy::RoutingPolicy policy_;
    policy::Settings settings_;
    std::unique_ptr<SiteController> sites_;    // none: off
    std::vector<RequestId> rejected_by_site_;  // by it, to be answered in the next batch
    std::function<void()> follow_;
    std::function<void(std::uint64_t, Time)> commit_;
    std::function<void(std::uint64_t, bool)> write_;
    std::function<void(const EndpointInfo&, Time)> primary_observer_;
    std::map<std::uint32_t, std::pair<EndpointId, Time>> primaries_;  // by group: who, by evidence as of when
    std::vector<policy::Event> inbox_;
    std::unordered_map<RequestId, Entry> entries_;
    std::unordered_set<std::string> open_ids_;  // as clients name them: owed an answer, or out
    std::vector<RequestId> done_;               // over, but the module may not have heard
    std::map<std::string, EndpointId> uids_;
    std::set<std::string> excluded_endpoints_;
    std::map<std::string, Time> put_back_;
    std::map<EndpointId, Endpoint> endpoints_;
    std::uint32_t next_endpoint_ = 0;  // ids are never used again
    std::priority_queue<TimerEntry, std::vector<TimerEntry>, std::greater<>> timers_;
    std::uint64_t next_request_ = 1, next_timer_ = 0;
    std::optional<Time> armed_;
    Time swept_{}, statistics_logged_at_{}, finish_by_ = Time::max();
    RequestStatistics statistics_;
    RequestLog request_log_;
    RequestGuard guard_;
    std::size_t links_ = 0, queued_bytes_ = 0;
    bool woken_ = false, connection_limit_hit_ = false, serve_due_ = false;
};

}  // namespace indigovane::routing
