#include "lab/quorum_simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <utility>

namespace indigovane::lab {

namespace {

using namespace ownership;
namespace own = ownership;

constexpr Duration kObservationInterval = std::chrono::milliseconds(10);
constexpr double kSettlingTimeS = 10;  // until all leases should have an owner
constexpr double kMaxLatenessS = 60;
constexpr std::int64_t kMinTimerUs = 1000;

// Streams of random numbers, one a part of the model.
enum StreamPart : std::uint32_t { network_part = 1, fault_part = 2, clock_part = 3, node_part = 4 };

Duration to_duration(double seconds) {
    return Duration(std::int64_t(seconds * 1e6));
}

class QuorumSimulation {
  public:
    explicit QuorumSimulation(const QuorumOptions& options)
        : options_(options),
          network_random_(options.seed, network_part),
          fault_random_(options.seed, fault_part),
          clock_random_(options.seed, clock_part),
          fence_(options.settings.fencing) {
        for (unsigned v = 0; v < options_.voters; ++v) options_.settings.voters.push_back(NodeId(v));
        for (unsigned i = 0; i < options_.leases; ++i)
            leases_.push_back(lease_id("probe/host-" + std::to_string(i)));
        for (unsigned n = 0; n < options_.nodes; ++n) members_.push_back(NodeId(n));
        nodes_.resize(options_.nodes);
        for (unsigned n = 0; n < options_.nodes; ++n) {
            nodes_[n].clock_rate = 1 + options_.settings.max_clock_drift * clock_random_.between(-1, 1);
            nodes_[n].random = std::make_unique<Stream>(options_.seed, node_part, n);
            start(n);
        }
    }

    QuorumSummary run() {
        schedule_every(kObservationInterval, [this] { observe_owners(); });
        schedule_every(to_duration(options_.act_interval_s), [this] { act_all(); });
        if (options_.crash_interval_s > 0)
            schedule_every(to_duration(options_.crash_interval_s),
                           [this] { crash(fault_random_.below(options_.nodes)); });
        if (options_.pause_interval_s > 0)
            schedule_every(to_duration(options_.pause_interval_s),
                           [this] { pause(fault_random_.below(options_.nodes)); });
        timeline_.run(Time(to_duration(options_.duration_s)));
        std::sort(summary_.vacancies_s.begin(), summary_.vacancies_s.end());
        summary_.owned_share = observations_ > 0 ? owned_observations_ / observations_ : 0;
        return summary_;
    }

  private:
    struct Node {
        std::unique_ptr<LeaseNode> lease_node;
        std::unique_ptr<Stream> random;
        std::vector<GrantRecord> store;
        double clock_rate = 1;  // of its own clock to virtual time
        std::uint64_t incarnation = 0;
        bool running = false;
        bool paused = false;
        std::vector<std::function<void()>> received_while_paused;
        std::uint64_t timer = 0;  // the latest set; earlier ones are void
    };
    struct ObservedOwner {
        int node = -1;  // -1: none
        std::uint64_t incarnation = 0;
        double lost_at_s = -1;  // -1: not lost
    };

    double now_s() const { return double(timeline_.now().time_since_epoch().count()) / 1e6; }
    void schedule_every(Duration interval, const std::function<void()>& action) {
        timeline_.after(interval, Rank::timer, [this, interval, action] {
            action();
            schedule_every(interval, action);
        });
    }
    // A node's own clock: its rate, and an epoch of its own.
    own::Time clock(unsigned n) const {
        auto elapsed = double(timeline_.now().time_since_epoch().count()) * nodes_[n].clock_rate;
        return own::Time(own::seconds(1000 * (n + 1)) + own::Duration(std::int64_t(elapsed)));
    }
    Participant participant(unsigned n) const { return {NodeId(n), nodes_[n].incarnation}; }

    void start(unsigned n) {
        Node& node = nodes_[n];
        node.running = true;
        node.paused = false;
        ++node.incarnation;
        node.received_while_paused.clear();
        Stream* random = node.random.get();
        node.lease_node = std::make_unique<LeaseNode>(
            participant(n), options_.settings, node.store, [random] { return random->uniform(); }, clock(n));
        carry_out(n, node.lease_node->set_members(members_, clock(n)));
        carry_out(n, node.lease_node->set_leases(leases_, clock(n)));
    }

    void crash(std::size_t n) {
        Node& node = nodes_[n];
        if (!node.running || node.paused) return;
        node.running = false;
        record_owner_lost(int(n), node.incarnation);
        if (!options_.persistent) node.store.clear();
        timeline_.after(to_duration(options_.outage_s), Rank::world, [this, n] { start(unsigned(n)); });
    }

    void pause(std::size_t n) {
        Node& node = nodes_[n];
        if (!node.running || node.paused) return;
        node.paused = true;
        record_owner_lost(int(n), node.incarnation);
        timeline_.after(to_duration(options_.outage_s), Rank::world, [this, n] { resume(unsigned(n)); });
    }

    // It goes on where it was: with an act that it was about to do, unless it checks its lease first.
    void resume(unsigned n) {
        nodes_[n].paused = false;
        for (LeaseId lease : leases_) act(n, lease);
        for (auto& receive : std::exchange(nodes_[n].received_while_paused, {})) receive();
        advance(n);
    }

    void record_owner_lost(int n, std::uint64_t incarnation) {
        for (auto& [lease, owner] : owners_) {
            if (owner.node != n || owner.incarnation != incarnation) continue;
            owner.lost_at_s = now_s();
            owner.node = -1;
        }
    }

    void carry_out(unsigned n, const NodeOutput& output) {
        Node& node = nodes_[n];
        for (const GrantRecord& record : output.persist) {
            std::erase_if(node.store,
                          [&](const GrantRecord& stored) { return stored.lease == record.lease; });
            node.store.push_back(record);
        }
        for (const ClaimTransition& transition : output.transitions) observe_transition(n, transition);
        for (const OutgoingMessage& message : output.send) send(n, message);
        set_timer(n);
    }

    void send(unsigned from, const OutgoingMessage& message) {
        auto to = unsigned(message.to);
        if (to == from) {
            std::uint64_t incarnation = nodes_[from].incarnation;
            timeline_.after(Duration(0), Rank::arrival, [this, from, message, incarnation] {
                if (nodes_[from].incarnation == incarnation) receive(from, message);
            });
            return;
        }
        ++summary_.messages;
        if (network_random_.uniform() < options_.loss_share) return;
        deliver(to, message);
        if (network_random_.uniform() < options_.duplication_share) deliver(to, message);
    }

    void deliver(unsigned to, const OutgoingMessage& message) {
        double delay_us =
            network_random_.between(double(options_.min_delay.count()), double(options_.max_delay.count()));
        if (network_random_.uniform() < options_.late_share)
            delay_us += network_random_.between(0, kMaxLatenessS * 1e6);
        timeline_.after(Duration(std::int64_t(delay_us)), Rank::arrival,
                        [this, to, message] { receive(to, message); });
    }

    void receive(unsigned n, const OutgoingMessage& received) {
        Node& node = nodes_[n];
        if (!node.running) return;
        if (node.paused) {
            node.received_while_paused.push_back([this, n, received] { receive(n, received); });
            return;
        }
        carry_out(n,
                  std::visit([&](const auto& message) { return node.lease_node->receive(message, clock(n)); },
                             received.message));
    }

    void set_timer(unsigned n) {
        Node& node = nodes_[n];
        auto due = node.lease_node->next_due();
        if (!due) return;
        std::uint64_t timer = ++node.timer;
        auto delay_us = std::int64_t(double((*due - clock(n)).count()) / node.clock_rate);
        timeline_.after(Duration(std::max(kMinTimerUs, delay_us)), Rank::timer, [this, n, timer] {
            if (nodes_[n].timer == timer) advance(n);
        });
    }

    void advance(unsigned n) {
        Node& node = nodes_[n];
        if (node.running && !node.paused) carry_out(n, node.lease_node->advance(clock(n)));
    }

    void observe_transition(unsigned n, const ClaimTransition& transition) {
        ObservedOwner& owner = owners_[transition.lease];
        bool is_owner = owner.node == int(n) && owner.incarnation == nodes_[n].incarnation;
        if (transition.after == ClaimState::owner) {
            ++summary_.acquisitions;
            if (owner.node >= 0 && !is_owner) ++summary_.false_takeovers;
            if (owner.lost_at_s >= 0) summary_.vacancies_s.push_back(now_s() - owner.lost_at_s);
            owner = {int(n), nodes_[n].incarnation, -1};
        } else if (is_owner && transition.before == ClaimState::owner) {
            // Its lease has expired although it is well: whoever comes next is a false takeover.
            owner.lost_at_s = now_s();
        }
    }

    void act_all() {
        for (unsigned n = 0; n < options_.nodes; ++n)
            for (LeaseId lease : leases_) act(n, lease);
    }

    void act(unsigned n, LeaseId lease) {
        Node& node = nodes_[n];
        if (!node.running || node.paused) return;
        auto token = node.lease_node->fencing_token(lease, clock(n));
        if (!token) return;
        ++summary_.acts;
        Duration delay(std::int64_t(
            network_random_.between(double(options_.min_delay.count()), double(options_.max_delay.count()))));
        if (network_random_.uniform() < options_.late_share)
            delay += to_duration(network_random_.between(0, kMaxLatenessS));
        timeline_.after(delay, Rank::arrival, [this, lease, token = *token] { receive_act(lease, token); });
    }

    void receive_act(LeaseId lease, const FencingToken& token) {
        if (!fence_.accept(lease, token)) {
            ++summary_.rejected_acts;
            return;
        }
        FencingToken& last = last_acts_[lease];
        bool older = token.term < last.term;
        bool contested = token.term == last.term && token.owner != last.owner;
        summary_.acts_out_of_order += older || contested;
        last = token;
    }

    void observe_owners() {
        for (LeaseId lease : leases_) {
            int owners = 0;
            for (unsigned n = 0; n < options_.nodes; ++n) {
                const Node& node = nodes_[n];
                owners += node.running && node.lease_node->fencing_token(lease, clock(n)).has_value();
            }
            summary_.concurrent_owners += owners > 1;
            if (now_s() <= kSettlingTimeS) continue;
            observations_ += 1;
            owned_observations_ += owners > 0;
        }
    }

    QuorumOptions options_;
    Stream network_random_;
    Stream fault_random_;
    Stream clock_random_;
    Timeline timeline_;
    std::vector<LeaseId> leases_;
    std::vector<NodeId> members_;
    std::vector<Node> nodes_;
    std::map<LeaseId, ObservedOwner> owners_;
    Fence fence_;
    std::map<LeaseId, FencingToken> last_acts_;
    double observations_ = 0;
    double owned_observations_ = 0;
    QuorumSummary summary_;
};

}  // namespace

double QuorumSummary::vacancy_s(double quantile) const {
    if (vacancies_s.empty()) return 0;
    auto index = std::size_t(quantile * double(vacancies_s.size()));
    return vacancies_s[std::min(vacancies_s.size() - 1, index)];
}

std::string QuorumSummary::text() const {
    char line[256];
    std::snprintf(line, sizeof line, "%.4f %.3f %.3f %zu %llu %llu %llu %llu %llu %llu %llu", owned_share,
                  vacancy_s(0.5), vacancy_s(0.99), vacancies_s.size(),
                  static_cast<unsigned long long>(acquisitions),
                  static_cast<unsigned long long>(false_takeovers), static_cast<unsigned long long>(messages),
                  static_cast<unsigned long long>(acts), static_cast<unsigned long long>(rejected_acts),
                  static_cast<unsigned long long>(concurrent_owners),
                  static_cast<unsigned long long>(acts_out_of_order));
    return line;
}

QuorumSummary run(const QuorumOptions& options) {
    return QuorumSimulation(options).run();
}

}  // namespace indigovane::lab
