// Who may go now, who waits, who is refused. Hierarchical start-time fair queueing (Goyal, Vin, Cheng, 1996)
// over laundries, weighted by share, and within each over two lanes; caps on shapes beside it.
//
// Invariants: a request is waiting, in flight, or forgotten. The work in flight of a group is the sum of the
// charges of its requests in flight. Whoever waits is heard of again by release(), once.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limits/cost_model.hpp"
#include "limits/heavy_hitters.hpp"
#include "limits/types.hpp"

namespace indigovane::limits {

struct Arrival {
    std::uint64_t id = 0;  // the caller's; not in use
    std::uint32_t group = 0;
    std::string_view tenant;
    ShapeId shape;
    Duration estimate{};      // where nothing is known of the shape
    bool privileged = false;  // a write or a session read: may use the reserve
    Time deadline{};
};

enum class Admission : std::uint8_t { go, wait, refuse };
enum class Cause : std::uint8_t { none, queue_full, share_full, too_late, waited, quarantined };
const char* name(Cause cause);

struct AdmissionDecision {
    std::uint64_t id = 0;
    Admission word = Admission::go;
    Cause cause = Cause::none;
    std::optional<Duration> retry_after;
};

class Limiter {
  public:
    explicit Limiter(const Settings& settings);
    ~Limiter();

    // The verdict on this one. Others that may go now are told by release().
    AdmissionDecision arrive(const Arrival& arrival, Time now);
    // One in flight has ended, or one that waits has left. Unknown ids change nothing.
    void finish(std::uint64_t id, End end, std::uint64_t bytes, Time now);
    // Appends the verdicts that have become due: go or refuse, never wait.
    void release(Time now, std::vector<AdmissionDecision>& out);
    std::optional<Time> next() const;  // release() is due by then, if nothing else happens
    // What is in flight and waits goes on under the new settings; costs are kept.
    void set(const Settings& settings);

    bool idle() const { return entries_.empty(); }
    std::size_t waiting() const { return waiting_; }
    std::size_t in_flight() const { return entries_.size() - waiting_; }
    Duration work(std::uint32_t group) const;  // in flight

    std::vector<CostModel::Prior> priors(std::size_t most) const { return costs_.priors(most); }
    void learn(const CostModel::Prior& prior, Time now) { costs_.learn(prior, now); }

    struct Line {
        ShapeId shape;
        std::string tenant;
        Duration work{};  // lately, by the heavy hitters' sketch
        CostModel::View view;
        unsigned cap = 0, in_flight = 0;
    };
    std::vector<Line> top(std::size_t most, Time now) const;
    struct Counts {
        std::uint64_t went = 0, waited = 0, refused = 0, capped = 0, probes = 0;
    };
    const Counts& counts() const { return counts_; }

  private:
    struct Entry;
    struct Lane {
        std::list<Entry*> waiting;
        double virtual_time = 0;
    };
    struct Flow {  // of a laundry in a group
        std::string name;
        double weight = 1, virtual_time = 0;
        Lane lanes[2];  // 0: others, 1: privileged
        Duration waiting_work{};
        std::size_t waiting = 0, in_flight = 0;
        double lane_time = 0;
    };
    struct Group {
        std::uint32_t number = 0;
        std::map<std::string, Flow, std::less<>> flows;
        double virtual_time = 0;  // the start of whoever went last
        Duration in_flight{}, plain_in_flight{};
        std::size_t waiting = 0, running = 0;
        double mean_us = 20000;  // of what ended lately
        GroupPulse pulse;
        bool due = false;  // something has changed: look again
    };
    struct Entry {
        Arrival arrival;
        std::string tenant;
        Group* group = nullptr;
        Flow* flow = nullptr;
        std::list<Entry*>::iterator place;
        Duration charge{};
        Time since{}, expires{};  // waits since; or went then
        bool waits = true, probe = false;
    };
    struct InFlight {
        std::uint32_t group;
        ShapeId shape;
        bool operator==(const InFlight&) const = default;
    };
    struct InFlightHash {
        std::size_t operator()(const InFlight& f) const {
            return ShapeIdHash{}(f.shape) + f.group * 0x9e3779b97f4a7c15u;
        }
    };
    struct Hitter {
        ShapeId shape;
        std::string tenant;
        bool operator==(const Hitter&) const = default;
    };

    Group& group(std::uint32_t number);
    Flow& flow(Group& g, std::string_view tenant);
    double total_weight(const Group& g) const;
    unsigned cap(const CostModel::View& view) const;
    bool capped(const Entry& e, Time now) const;
    void displace(Group& g, const Flow& newcomer, Time now);
    void dispatch_queued(Group& g, Time now, std::vector<AdmissionDecision>& out);
    Entry* choose(Group& g, Flow& f, bool plain_blocked, bool& full, bool& plain_full, Time now);
    void start(Entry& e, Time now);
    void take_out(Entry& e);
    AdmissionDecision refusal(const Entry& e, Cause cause, Time now) const;
    AdmissionDecision give_up(Entry& e, Cause cause, Time now);
    AdmissionDecision refuse(Entry& e, Cause cause, Time now);  // one that is in no lane
    Duration drain_time(const Group& g, const Flow& f) const;
    void sweep(Group& g);

    Settings settings_;
    CostModel costs_;
    HeavyHitters<Hitter> hitters_{64};
    Time halved_{};
    std::unordered_map<std::uint32_t, std::unique_ptr<Group>> groups_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Entry>> entries_;
    std::unordered_map<InFlight, unsigned, InFlightHash> running_;
    std::map<std::pair<Time, std::uint64_t>, Entry*> expiry_;
    std::vector<AdmissionDecision> pending_decisions_;  // that release() owes
    std::size_t waiting_ = 0;
    Counts counts_;
};

}  // namespace indigovane::limits
