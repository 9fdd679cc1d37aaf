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
// Seconds after the start within which all leases should have an owner.
constexpr double kSettlingTimeS = 10;
constexpr double kMaxLatenessS = 60;
constexpr std::int64_t kMinTimerUs = 1000;

// Each part of the model draws its random numbers from its own stream.
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
        for (unsigned node_index = 0; node_index < options_.nodes; ++node_index)
            members_.push_back(NodeId(node_index));
        nodes_.resize(options_.nodes);
        for (unsigned node_index = 0; node_index < options_.nodes; ++node_index) {
            nodes_[node_index].clock_rate =
                1 + options_.settings.max_clock_drift * clock_random_.between(-1, 1);
            nodes_[node_index].random = std::make_unique<RandomStream>(options_.seed, node_part, node_index);
            start(node_index);
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
        std::unique_ptr<RandomStream> random;
        std::vector<GrantRecord> store;
        // Rate of the node's clock relative to virtual time.
        double clock_rate = 1;
        std::uint64_t incarnation = 0;
        bool running = false;
        bool paused = false;
        std::vector<std::function<void()>> received_while_paused;
        // Number of the timer set last. Earlier timers are ignored when they expire.
        std::uint64_t timer = 0;
    };
    struct ObservedOwner {
        int node = -1;  // -1: the lease has no owner
        std::uint64_t incarnation = 0;
        double lost_at_s = -1;  // -1: the lease has not lost an owner
    };

    double now_s() const { return double(timeline_.now().time_since_epoch().count()) / 1e6; }
    void schedule_every(Duration interval, const std::function<void()>& action) {
        timeline_.schedule_after(interval, EventRank::timer, [this, interval, action] {
            action();
            schedule_every(interval, action);
        });
    }
    // Time on the clock of the node. Each node has its own rate and its own epoch.
    own::Time clock(unsigned node_index) const {
        auto elapsed = double(timeline_.now().time_since_epoch().count()) * nodes_[node_index].clock_rate;
        return own::Time(own::seconds(1000 * (node_index + 1)) + own::Duration(std::int64_t(elapsed)));
    }
    Participant participant(unsigned node_index) const {
        return {NodeId(node_index), nodes_[node_index].incarnation};
    }

    void start(unsigned node_index) {
        Node& node = nodes_[node_index];
        node.running = true;
        node.paused = false;
        ++node.incarnation;
        node.received_while_paused.clear();
        RandomStream* random = node.random.get();
        node.lease_node = std::make_unique<LeaseNode>(
            participant(node_index), options_.settings, node.store, [random] { return random->uniform(); },
            clock(node_index));
        carry_out(node_index, node.lease_node->set_members(members_, clock(node_index)));
        carry_out(node_index, node.lease_node->set_leases(leases_, clock(node_index)));
    }

    // The node loses its state in memory, and also its stored grants if they are not persistent.
    void crash(std::size_t node_index) {
        Node& node = nodes_[node_index];
        if (!node.running || node.paused) return;
        node.running = false;
        record_owner_lost(int(node_index), node.incarnation);
        if (!options_.persistent) node.store.clear();
        timeline_.schedule_after(to_duration(options_.outage_s), EventRank::world,
                                 [this, node_index] { start(unsigned(node_index)); });
    }

    // The node stops running but keeps its state. It handles messages received meanwhile when it resumes.
    void pause(std::size_t node_index) {
        Node& node = nodes_[node_index];
        if (!node.running || node.paused) return;
        node.paused = true;
        record_owner_lost(int(node_index), node.incarnation);
        timeline_.schedule_after(to_duration(options_.outage_s), EventRank::world,
                                 [this, node_index] { resume(unsigned(node_index)); });
    }

    // The node continues where it was paused, with the act that it was about to perform. With
    // Settings::check_expiry, the node checks its lease first and does not act if it has expired.
    void resume(unsigned node_index) {
        nodes_[node_index].paused = false;
        for (LeaseId lease : leases_) act(node_index, lease);
        for (auto& receive : std::exchange(nodes_[node_index].received_while_paused, {})) receive();
        advance(node_index);
    }

    void record_owner_lost(int node_index, std::uint64_t incarnation) {
        for (auto& [lease, owner] : owners_) {
            if (owner.node != node_index || owner.incarnation != incarnation) continue;
            owner.lost_at_s = now_s();
            owner.node = -1;
        }
    }

    void carry_out(unsigned node_index, const NodeOutput& output) {
        Node& node = nodes_[node_index];
        for (const GrantRecord& record : output.persist) {
            std::erase_if(node.store,
                          [&](const GrantRecord& stored) { return stored.lease == record.lease; });
            node.store.push_back(record);
        }
        for (const ClaimTransition& transition : output.transitions)
            observe_transition(node_index, transition);
        for (const OutgoingMessage& message : output.send) send(node_index, message);
        set_timer(node_index);
    }

    void send(unsigned from, const OutgoingMessage& message) {
        auto to = unsigned(message.to);
        if (to == from) {
            std::uint64_t incarnation = nodes_[from].incarnation;
            timeline_.schedule_after(Duration(0), EventRank::arrival, [this, from, message, incarnation] {
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
        timeline_.schedule_after(Duration(std::int64_t(delay_us)), EventRank::arrival,
                                 [this, to, message] { receive(to, message); });
    }

    void receive(unsigned node_index, const OutgoingMessage& received) {
        Node& node = nodes_[node_index];
        if (!node.running) return;
        if (node.paused) {
            node.received_while_paused.push_back(
                [this, node_index, received] { receive(node_index, received); });
            return;
        }
        carry_out(node_index, std::visit(
                                  [&](const auto& message) {
                                      return node.lease_node->receive(message, clock(node_index));
                                  },
                                  received.message));
    }

    void set_timer(unsigned node_index) {
        Node& node = nodes_[node_index];
        auto due = node.lease_node->next_due();
        if (!due) return;
        std::uint64_t timer = ++node.timer;
        auto delay_us = std::int64_t(double((*due - clock(node_index)).count()) / node.clock_rate);
        timeline_.schedule_after(Duration(std::max(kMinTimerUs, delay_us)), EventRank::timer,
                                 [this, node_index, timer] {
                                     if (nodes_[node_index].timer == timer) advance(node_index);
                                 });
    }

    void advance(unsigned node_index) {
        Node& node = nodes_[node_index];
        if (node.running && !node.paused) carry_out(node_index, node.lease_node->advance(clock(node_index)));
    }

    void observe_transition(unsigned node_index, const ClaimTransition& transition) {
        ObservedOwner& owner = owners_[transition.lease];
        bool is_owner = owner.node == int(node_index) && owner.incarnation == nodes_[node_index].incarnation;
        if (transition.after == ClaimState::owner) {
            ++summary_.acquisitions;
            if (owner.node >= 0 && !is_owner) ++summary_.false_takeovers;
            if (owner.lost_at_s >= 0) summary_.vacancies_s.push_back(now_s() - owner.lost_at_s);
            owner = {int(node_index), nodes_[node_index].incarnation, -1};
        } else if (is_owner && transition.before == ClaimState::owner) {
            // The lease has expired although its owner runs. If another node acquires it next, that is a
            // false takeover.
            owner.lost_at_s = now_s();
        }
    }

    void act_all() {
        for (unsigned node_index = 0; node_index < options_.nodes; ++node_index)
            for (LeaseId lease : leases_) act(node_index, lease);
    }

    void act(unsigned node_index, LeaseId lease) {
        Node& node = nodes_[node_index];
        if (!node.running || node.paused) return;
        auto token = node.lease_node->fencing_token(lease, clock(node_index));
        if (!token) return;
        ++summary_.acts;
        Duration delay(std::int64_t(
            network_random_.between(double(options_.min_delay.count()), double(options_.max_delay.count()))));
        if (network_random_.uniform() < options_.late_share)
            delay += to_duration(network_random_.between(0, kMaxLatenessS));
        timeline_.schedule_after(delay, EventRank::arrival,
                                 [this, lease, token = *token] { receive_act(lease, token); });
    }

    // An act reaches the resource that the lease protects, behind the fence.
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
            for (unsigned node_index = 0; node_index < options_.nodes; ++node_index) {
                const Node& node = nodes_[node_index];
                owners +=
                    node.running && node.lease_node->fencing_token(lease, clock(node_index)).has_value();
            }
            summary_.concurrent_owners += owners > 1;
            if (now_s() <= kSettlingTimeS) continue;
            observations_ += 1;
            owned_observations_ += owners > 0;
        }
    }

    QuorumOptions options_;
    RandomStream network_random_;
    RandomStream fault_random_;
    RandomStream clock_random_;
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
