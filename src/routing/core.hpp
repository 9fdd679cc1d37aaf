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
#include "routing/ledger.hpp"
#include "routing/pool.hpp"
#include "routing/request_guard.hpp"
#include "routing/request_log.hpp"
#include "routing/site_shell.hpp"

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

class Core : public Intake, private Pool::Owner {
  public:
    Core(Driver& driver, const Clock& clock, const starlingpond::Settings& settings, std::uint64_t seed,
         CoreLimits limits, Backend& backend, Logger& logger);
    virtual ~Core();

    RequestId accept(Item item, Responder& responder) override;
    bool has_room(std::size_t bytes) const override { return held_bytes_ + bytes <= limits_.bytes; }
    bool is_open(const std::string& id) const override { return open_ids_.count(id) > 0; }
    void resume(RequestId id) override;
    void withdraw(RequestId id, Departure departure) override;
    // Other settings and limits from the next batch on. `continues`: for each class the one that it
    // continues.
    void retune(const starlingpond::Settings& settings, std::vector<std::optional<ClassId>> continues,
                Duration connect_timeout, Duration idle_limit);
    // With another process of this pooler: what sessions have written, and who was put back when.
    starlingpond::Tokens tokens() const { return brain_.tokens(); }
    void take_over(starlingpond::Tokens tokens);
    const std::map<std::string, Time>& put_back() const { return put_back_; }
    void take_over_put_back(const std::string& uid, Time at) {
        put_back_[uid] = std::max(put_back_[uid], at);
    }
    void on_commit(std::function<void(std::uint64_t session, Time commit)> hear) {
        commit_ = std::move(hear);
    }
    // A write of a session has been taken in, and is over: all of it, whatever became of it.
    void on_write(std::function<void(std::uint64_t session, bool begins)> hear) { write_ = std::move(hear); }
    std::vector<MemberInfo> listed() const;            // members as the list has them now
    void limit(std::size_t links, std::size_t bytes);  // from now on
    void list(starlingpond::ListKind kind, const std::vector<MemberInfo>& members);
    // These uids are out: whatever list names them, they drain. One that is put back counts as started now,
    // since its operators had it to themselves meanwhile.
    void lay_over(const std::set<std::string>& taken_out);
    bool knows(const std::string& uid) const { return uids_.count(uid) > 0; }
    std::string uid(MemberId id) const {
        const Member* m = member(id);
        return m ? m->info.uid : "";
    }
    void on_follow_list(std::function<void()> follow) { follow_ = std::move(follow); }
    // A group has another primary than before, by an answer or a report that this pooler has had itself.
    void on_primary(std::function<void(const MemberInfo& member, Time as_of)> hear) {
        primary_ = std::move(hear);
    }
    // Another pooler says so. False: it names no such member, or is too old to be of use.
    bool hear_primary(const std::string& uid, std::uint32_t group, std::int64_t as_of_unix_us);

    // Sites are watched, and given up and taken back as a whole, from now on. At a later call: other
    // settings.
    void watch_sites(const site::Settings& settings, std::vector<site::Demand> classes, std::uint64_t seed);
    const SiteShell* sites() const { return sites_.get(); }  // none: not watched
    bool drain_site(std::uint32_t zone, bool on);            // false: there is none, or it is so already

    // Hands everything that has come in since the last batch to the module in one go, then carries out what
    // came back. Nothing that an action brings about is seen before the next batch.
    void run_batch();
    void rang() { armed_.reset(); }  // the alarm has gone off: run_batch() follows

    // Whatever is in hand or comes yet has its answer by then: the program ends.
    void finish_by(Time at) { finish_by_ = at; }
    void finish_all();

    bool idle() const { return entries_.empty(); }
    std::size_t requests() const { return entries_.size(); }
    std::size_t links() const { return links_; }
    std::size_t members() const { return members_.size(); }
    const RequestGuard::Counts& violations() const { return guard_.violations(); }

  private:
    struct Entry {
        Item item;
        Responder* responder = nullptr;  // none: the request has its final answer, or its client is gone
        Time arrived{}, deadline{};
        std::size_t bytes = 0;
        std::vector<Attempt> attempts;
        bool over = false;
        bool begun = false;                     // part of a long value is with the client
        RepeatRule rule;                        // by the settings that it came with
        std::optional<std::int64_t> overtaken;  // its session's commit while it waited, a Unix time in ms
        bool out() const;
        bool may_have_run() const;
    };
    struct Member {
        std::unique_ptr<Pool> pool;
        MemberInfo info;
        bool held_out = false;       // its site is given up
        std::optional<Time> let_in;  // after that: it counts as started then
        bool refused_new = false;    // drains or is gone
        std::optional<Time> left;    // when the list ceased to name it, or named it as gone
        std::uint32_t attempts = 0;  // of requests in hand: they refer to it
        std::uint32_t probes = 0;
        std::optional<Job> probe;
    };
    struct Alarm {
        Time at;
        std::uint64_t order;
        enum class Kind { module, job, start } kind;  // start: a job is to be on a connection by now
        starlingpond::TimerId timer{};
        MemberId member{};
        Job job{};
        bool operator>(const Alarm& o) const { return at != o.at ? at > o.at : order > o.order; }
    };

    void on_job_end(Pool& pool, const Job& job, Result result) override;
    void on_job_begun(Pool& pool, const Job& job, const Answer& head, std::size_t length) override;
    bool on_job_piece(const Job& job, std::string_view bytes) override;
    const Item* may_start(const Pool& pool, Job& job) override;
    bool may_open() override;
    void on_link_gone() override;

    bool plausible(std::optional<std::int64_t> position_unix_us) const;
    static bool plausible(const starlingpond::Report& report);
    void note_primary(MemberId id, const MemberInfo& info, Time as_of);
    bool stale(const Item& item, const Job& job, const Result& result) const;
    void end_job(MemberId id, const Job& job, Result result);
    starlingpond::ListEntry entry(MemberId id, Member& m);  // as the module is to see it
    void leave(Member& m);
    void tell_sites();
    void look_at_sites(Time now);
    void rescue(const std::set<MemberId>& silent);
    void overtake(std::uint64_t session, std::int64_t commit_unix_ms);
    bool give_up(Pool& pool, const Job& job, starlingpond::Status out, starlingpond::Status waiting);
    void turn_away(RequestId id);
    bool close_oldest_idle();
    void sweep(Time now);
    void tell(Time now);
    void carry_out(const starlingpond::Action& action);
    void act(const starlingpond::Send& send);
    void act(const starlingpond::Cancel& cancel);
    void act(const starlingpond::Refuse& refuse);
    void act(const starlingpond::Fail& fail);
    void act(const starlingpond::Probe& probe);
    void act(const starlingpond::SetTimer& timer);
    void act(const starlingpond::FollowList&);
    void act(const starlingpond::Log& line);

    RequestLog::Request describe(const Entry& entry) const;
    void finish(RequestId id, Ending ending, const char* why);
    void hold_back(RequestId id, Invariant invariant);
    void forget_if_done(RequestId id);
    void set_alarm(Alarm alarm);
    void collect_due(Time now);
    void ring(const Alarm& alarm);
    void wake();
    void arm();
    Member* member(MemberId id);
    const Member* member(MemberId id) const { return const_cast<Core*>(this)->member(id); }

    Driver& driver_;
    const Clock& clock_;
    CoreLimits limits_;
    Backend& backend_;
    Logger& logger_;
    starlingpond::Brain brain_;
    starlingpond::Settings settings_;
    std::unique_ptr<SiteShell> sites_;    // none: off
    std::vector<RequestId> turned_away_;  // by it, to be answered in the next batch
    std::function<void()> follow_;
    std::function<void(std::uint64_t, Time)> commit_;
    std::function<void(std::uint64_t, bool)> write_;
    std::function<void(const MemberInfo&, Time)> primary_;
    std::map<std::uint32_t, std::pair<MemberId, Time>> primaries_;  // by group: who, by evidence as of when
    std::vector<starlingpond::Event> inbox_;
    std::unordered_map<RequestId, Entry> entries_;
    std::unordered_set<std::string> open_ids_;  // as clients name them: owed an answer, or out
    std::vector<RequestId> done_;               // over, but the module may not have heard
    std::map<std::string, MemberId> uids_;
    std::set<std::string> taken_out_;
    std::map<std::string, Time> put_back_;
    std::map<MemberId, Member> members_;
    std::uint32_t next_member_ = 0;  // ids are never used again
    std::priority_queue<Alarm, std::vector<Alarm>, std::greater<>> alarms_;
    std::uint64_t next_request_ = 1, next_alarm_ = 0;
    std::optional<Time> armed_;
    Time swept_{}, told_{}, finish_by_ = Time::max();
    Ledger ledger_;
    RequestLog request_log_;
    RequestGuard guard_;
    std::size_t links_ = 0, held_bytes_ = 0;
    bool woken_ = false, starved_ = false, serve_due_ = false;
};

}  // namespace indigovane::routing
