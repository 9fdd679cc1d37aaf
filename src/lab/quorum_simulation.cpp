#include "lab/quorum_simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <memory>

namespace indigovane::lab {

namespace {

using namespace ownership;
namespace own = ownership;

constexpr Duration kLook = std::chrono::milliseconds(10);  // how often the witness looks at who may act
constexpr double kSettled = 10;                            // seconds until all duties should have an owner

class QuorumSimulation {
  public:
    explicit QuorumSimulation(const QuorumOptions& o)
        : o_(o), network_(o.seed, 1), troubles_(o.seed, 2), clocks_(o.seed, 3), fence_(o.settings.fence) {
        for (unsigned v = 0; v < o_.voters; ++v) o_.settings.voters.push_back(NodeId(v));
        for (unsigned d = 0; d < o_.duties; ++d)
            duties_.push_back(duty_id("probe/host-" + std::to_string(d)));
        for (unsigned n = 0; n < o_.nodes; ++n) all_.push_back(NodeId(n));
        nodes_.resize(o_.nodes);
        for (unsigned n = 0; n < o_.nodes; ++n) {
            nodes_[n].rate = 1 + o_.settings.drift * clocks_.between(-1, 1);
            nodes_[n].draws = std::make_unique<Stream>(o_.seed, 4, n);
            start(n);
        }
    }

    QuorumSummary go() {
        every(kLook, [this] { look(); });
        every(seconds_of(o_.act_every_s), [this] { act(); });
        if (o_.end_every_s > 0) every(seconds_of(o_.end_every_s), [this] { end(troubles_.below(o_.nodes)); });
        if (o_.stall_every_s > 0)
            every(seconds_of(o_.stall_every_s), [this] { stall(troubles_.below(o_.nodes)); });
        line_.run(Time(seconds_of(o_.seconds)));
        std::sort(sum_.vacant_s.begin(), sum_.vacant_s.end());
        sum_.owned_share = looks_ > 0 ? owned_ / looks_ : 0;
        return sum_;
    }

  private:
    struct Node {
        std::unique_ptr<LeaseNode> lease_node;
        std::unique_ptr<Stream> draws;
        std::vector<Promise> disk;
        double rate = 1;
        std::uint64_t incarnation = 0;
        bool up = false, stalled = false;
        std::vector<std::function<void()>> held;  // what came while it stood still
        std::uint64_t alarm = 0;
    };
    struct Grant {  // of a duty, as the witness has it
        int owner = -1;
        std::uint64_t incarnation = 0;
        double lost_at = -1;
    };

    static Duration seconds_of(double s) { return Duration(std::int64_t(s * 1e6)); }
    double now_s() const { return double(line_.now().time_since_epoch().count()) / 1e6; }
    void every(Duration step, std::function<void()> then) {
        line_.after(step, Rank::timer, [this, step, then] {
            then();
            every(step, then);
        });
    }
    // A node's own clock: its rate, and a beginning of its own.
    own::Time clock(unsigned n) const {
        return own::Time(
            own::seconds(1000 * (n + 1)) +
            own::Duration(std::int64_t(double(line_.now().time_since_epoch().count()) * nodes_[n].rate)));
    }
    Participant party(unsigned n) const { return {NodeId(n), nodes_[n].incarnation}; }

    void start(unsigned n) {
        Node& node = nodes_[n];
        node.up = true, node.stalled = false;
        ++node.incarnation;
        node.held.clear();
        Stream* draws = node.draws.get();
        node.lease_node = std::make_unique<LeaseNode>(
            party(n), o_.settings, node.disk, [draws] { return draws->uniform(); }, clock(n));
        take(n, node.lease_node->members(all_, clock(n)));
        take(n, node.lease_node->duties(duties_, clock(n)));
    }
    void end(std::size_t n) {
        Node& node = nodes_[n];
        if (!node.up || node.stalled) return;
        node.up = false;
        lose(int(n), node.incarnation);
        if (!o_.disks) node.disk.clear();
        line_.after(seconds_of(o_.away_s), Rank::world, [this, n] { start(unsigned(n)); });
    }
    void stall(std::size_t n) {
        Node& node = nodes_[n];
        if (!node.up || node.stalled) return;
        node.stalled = true;
        lose(int(n), node.incarnation);
        line_.after(seconds_of(o_.away_s), Rank::world, [this, n] {
            Node& woken = nodes_[n];
            woken.stalled = false;
            // It goes on where it was: an act that it was about to do, if it doesn't look first.
            for (DutyId d : duties_) act(unsigned(n), d);
            for (auto& then : std::exchange(woken.held, {})) then();
            tick(unsigned(n));
        });
    }
    void lose(int n, std::uint64_t incarnation) {
        for (auto& [duty, h] : grants_)
            if (h.owner == n && h.incarnation == incarnation) h.lost_at = now_s(), h.owner = -1;
    }

    void take(unsigned n, NodeOutput work) {
        Node& node = nodes_[n];
        for (const Promise& p : work.keep) {
            std::erase_if(node.disk, [&](const Promise& q) { return q.duty == p.duty; });
            node.disk.push_back(p);
        }
        for (const ClaimTransition& t : work.turns) turned(n, t);
        for (const OutgoingMessage& s : work.send) {
            auto to = unsigned(s.to);
            if (to == n) {
                line_.after(Duration(0), Rank::arrival, [this, n, s, incarnation = node.incarnation] {
                    if (nodes_[n].incarnation == incarnation) receive(n, s);
                });
                continue;
            }
            ++sum_.messages;
            if (network_.uniform() < o_.loss) continue;
            carry(to, s);
            if (network_.uniform() < o_.doubled) carry(to, s);
        }
        arm(n);
    }
    void carry(unsigned to, const OutgoingMessage& s) {
        double wait = network_.between(double(o_.fastest.count()), double(o_.slowest.count()));
        if (network_.uniform() < o_.late) wait += network_.between(0, 60e6);
        line_.after(Duration(std::int64_t(wait)), Rank::arrival, [this, to, s] { receive(to, s); });
    }
    void receive(unsigned n, const OutgoingMessage& s) {
        Node& node = nodes_[n];
        if (!node.up) return;
        if (node.stalled) {
            node.held.push_back([this, n, s] { receive(n, s); });
            return;
        }
        take(n, std::visit([&](const auto& m) { return node.lease_node->receive(m, clock(n)); }, s.message));
    }
    void arm(unsigned n) {
        Node& node = nodes_[n];
        auto next = node.lease_node->next();
        if (!next) return;
        std::uint64_t alarm = ++node.alarm;
        auto wait = Duration(
            std::max<std::int64_t>(1000, std::int64_t(double((*next - clock(n)).count()) / node.rate)));
        line_.after(wait, Rank::timer, [this, n, alarm] {
            if (nodes_[n].alarm == alarm) tick(n);
        });
    }
    void tick(unsigned n) {
        Node& node = nodes_[n];
        if (node.up && !node.stalled) take(n, node.lease_node->tick(clock(n)));
    }

    void turned(unsigned n, const ClaimTransition& t) {
        Grant& h = grants_[t.duty];
        bool mine = h.owner == int(n) && h.incarnation == nodes_[n].incarnation;
        if (t.now == ClaimState::owner) {
            ++sum_.owners;
            if (h.owner >= 0 && !mine) ++sum_.false_takeovers;
            if (h.lost_at >= 0) sum_.vacant_s.push_back(now_s() - h.lost_at);
            h = {int(n), nodes_[n].incarnation, -1};
        } else if (mine && t.before == ClaimState::owner) {
            // Its lease ran out although it was well: somebody who comes then takes over for nothing.
            h.lost_at = now_s();
        }
    }
    void act(unsigned n, DutyId duty) {
        Node& node = nodes_[n];
        if (!node.up || node.stalled) return;
        auto term = node.lease_node->may_act(duty, clock(n));
        if (!term) return;
        ++sum_.acts;
        Duration wait(std::int64_t(network_.between(double(o_.fastest.count()), double(o_.slowest.count()))));
        if (network_.uniform() < o_.late) wait += seconds_of(network_.between(0, 60));
        line_.after(wait, Rank::arrival, [this, duty, act = Seen{*term, party(n)}] { arrived(duty, act); });
    }
    void act() {
        for (unsigned n = 0; n < o_.nodes; ++n)
            for (DutyId d : duties_) act(n, d);
    }
    void arrived(DutyId duty, const Seen& act) {
        if (!fence_.accept(duty, act.term, act.owner)) {
            ++sum_.refused;
            return;
        }
        Seen& last = last_[duty];
        sum_.acts_out_of_order += act.term < last.term || (act.term == last.term && act.owner != last.owner);
        last = act;
    }
    void look() {
        for (DutyId d : duties_) {
            int owning = 0;
            for (unsigned n = 0; n < o_.nodes; ++n)
                owning += nodes_[n].up && nodes_[n].lease_node->may_act(d, clock(n)).has_value();
            sum_.two_owners += owning > 1;
            if (now_s() > kSettled) looks_ += 1, owned_ += owning > 0;
        }
    }

    QuorumOptions o_;
    Stream network_, troubles_, clocks_;
    Timeline line_;
    std::vector<DutyId> duties_;
    std::vector<NodeId> all_;
    std::vector<Node> nodes_;
    std::map<DutyId, Grant> grants_;
    Fence fence_;
    std::map<DutyId, Seen> last_;
    double looks_ = 0, owned_ = 0;
    QuorumSummary sum_;
};

}  // namespace

double QuorumSummary::vacant(double quantile) const {
    if (vacant_s.empty()) return 0;
    return vacant_s[std::min(vacant_s.size() - 1, std::size_t(quantile * double(vacant_s.size())))];
}

std::string QuorumSummary::text() const {
    char line[256];
    std::snprintf(line, sizeof line, "%.4f %.3f %.3f %zu %llu %llu %llu %llu %llu %llu %llu", owned_share,
                  vacant(0.5), vacant(0.99), vacant_s.size(), static_cast<unsigned long long>(owners),
                  static_cast<unsigned long long>(false_takeovers), static_cast<unsigned long long>(messages),
                  static_cast<unsigned long long>(acts), static_cast<unsigned long long>(refused),
                  static_cast<unsigned long long>(two_owners),
                  static_cast<unsigned long long>(acts_out_of_order));
    return line;
}

QuorumSummary run(const QuorumOptions& options) {
    return QuorumSimulation(options).go();
}

}  // namespace indigovane::lab
