// Guards against two owners of a lease at a time, and against acts of an earlier owner that are accepted
// late. The search runs the real voters, claims and fence through every order of events within small bounds.
// Times are simulated, and each node's clock runs at its own rate.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <string>
#include <unordered_set>
#include <variant>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "ownership/fence.hpp"
#include "ownership/lease_claims.hpp"
#include "ownership/voter.hpp"

namespace indigovane::ownership {
namespace {

constexpr LeaseId kLease{7};
constexpr int kVoters = 3;
constexpr int kCandidates = 2;
// How far each node's clock advances in one tick of real time. Clocks of voters come first: most of them are
// the fastest. The first candidate's clock is the slowest.
constexpr int kClockRate[kVoters + kCandidates] = {12, 12, 10, 8, 10};

struct Bounds {
    int ticks;
    int requests;  // per candidate
    int acts;      // per candidate
    int voter_restarts;
    int candidate_restarts;
    // The second candidate knows of the first term, so that it requests the next one.
    bool second_knows_first_term = false;
};

// The state of all nodes and the network. Messages stay in the network forever: each may arrive at any time,
// any number of times, or never.
struct ClusterState {
    struct Act {
        FencingToken token;
        auto operator<=>(const Act&) const = default;
    };
    using NetworkMessage = std::variant<LeaseRequest, LeaseRelease, LeaseReply, Act>;

    Settings settings;
    int tick = 0;
    std::vector<Voter> voters;
    std::vector<GrantRecord> stores[kVoters];
    std::vector<LeaseClaims> candidates;
    Fence fence;
    int requests[kCandidates] = {};
    int acts[kCandidates] = {};
    int voter_restarts = 0;
    int candidate_restarts = 0;
    std::set<NetworkMessage> network;
    std::map<Term, Participant> owners;
    FencingToken last_accepted;  // token of the last act that the fence accepted
    const char* violation = nullptr;

    ClusterState(Settings initial, const Bounds& bounds)
        : settings(std::move(initial)), fence(settings.fencing) {
        settings.voters = {NodeId(0), NodeId(1), NodeId(2)};
        settings.lease_duration = Duration(36);
        settings.max_clock_drift = 0.2;
        settings.standby_delay = Duration(0);
        settings.reply_timeout = Duration(0);
        Time long_ago{Duration(0)};
        for (int voter_index = 0; voter_index < kVoters; ++voter_index)
            voters.emplace_back(NodeId(voter_index), settings, std::vector<GrantRecord>{}, long_ago);
        for (int candidate_index = 0; candidate_index < kCandidates; ++candidate_index)
            candidates.push_back(started_candidate(candidate_index));
        if (bounds.second_knows_first_term) candidates[1].record_rejection(kLease, 1, candidate_clock(1));
    }

    Time voter_clock(int voter_index) const {
        return Time(Duration(1'000'000 + tick * kClockRate[voter_index]));
    }
    Time candidate_clock(int candidate_index) const { return voter_clock(kVoters + candidate_index); }
    Participant candidate(int candidate_index) const {
        return {NodeId(kVoters + candidate_index),
                std::uint64_t(1 + (candidate_index == 0 ? candidate_restarts : 0))};
    }
    LeaseClaims started_candidate(int candidate_index) const {
        LeaseClaims claims(candidate(candidate_index), settings, [] { return 0.0; });
        claims.stand_by(kLease, 0, candidate_clock(candidate_index));
        return claims;
    }
    std::optional<FencingToken> token_of(int candidate_index) const {
        return candidates[std::size_t(candidate_index)].fencing_token(kLease,
                                                                      candidate_clock(candidate_index));
    }

    void send(int candidate_index, const ClaimOutput& output) {
        for (const Message& message : output.messages) {
            if (auto* request = std::get_if<LeaseRequest>(&message)) {
                network.insert(*request);
                ++requests[candidate_index];
            } else {
                network.insert(std::get<LeaseRelease>(message));
            }
        }
    }
    void persist(int voter_index, const std::optional<GrantRecord>& record) {
        if (record && settings.persist_grants) stores[voter_index] = {*record};
    }

    // An event that can happen next and may change the state.
    enum class EventType { deliver, advance, act, restart_voter, restart_candidate, tick };
    struct Event {
        EventType type;
        int node = 0;  // index of a voter or of a candidate
        NetworkMessage message = {};
    };

    std::vector<Event> possible_events(const Bounds& bounds) const {
        std::vector<Event> possible;
        for (const NetworkMessage& message : network) add_deliveries(message, possible);
        for (int candidate_index = 0; candidate_index < kCandidates;
             ++candidate_index) {  // a candidate that does not advance is paused or slow
            if (requests[candidate_index] < bounds.requests)
                possible.push_back({EventType::advance, candidate_index});
            if (acts[candidate_index] < bounds.acts && token_of(candidate_index))
                possible.push_back({EventType::act, candidate_index});
        }
        for (int voter_index = 0; voter_index < kVoters && voter_restarts < bounds.voter_restarts;
             ++voter_index)
            possible.push_back({EventType::restart_voter, voter_index});
        if (candidate_restarts < bounds.candidate_restarts)
            possible.push_back({EventType::restart_candidate});
        if (tick < bounds.ticks) possible.push_back({EventType::tick});
        return possible;
    }

    void add_deliveries(const NetworkMessage& message, std::vector<Event>& possible) const {
        if (auto* reply = std::get_if<LeaseReply>(&message)) {
            int candidate_index = int(reply->to.node) - kVoters;
            const Claim& claim = candidates[std::size_t(candidate_index)].claims().at(kLease);
            bool awaited = claim.state != ClaimState::waiting && claim.term == reply->term;
            if (reply->to == candidate(candidate_index) && awaited)
                possible.push_back({EventType::deliver, candidate_index, message});
        } else if (std::holds_alternative<Act>(message)) {
            possible.push_back({EventType::deliver, 0, message});
        } else {
            for (int voter_index = 0; voter_index < kVoters; ++voter_index)
                possible.push_back({EventType::deliver, voter_index, message});
        }
    }

    void apply(const Event& event) {
        auto node = std::size_t(event.node);
        switch (event.type) {
            case EventType::deliver:
                std::visit([&](const auto& message) { deliver(event.node, message); }, event.message);
                break;
            case EventType::advance:
                send(event.node, candidates[node].advance(candidate_clock(event.node)));
                break;
            case EventType::act:
                network.insert(Act{*token_of(event.node)});
                ++acts[event.node];
                break;
            case EventType::restart_voter:
                ++voter_restarts;
                voters[node] = Voter(NodeId(event.node), settings, stores[node], voter_clock(event.node));
                break;
            case EventType::restart_candidate:
                ++candidate_restarts;
                candidates[0] = started_candidate(0);
                break;
            case EventType::tick:
                ++tick;
                break;
        }
    }

    void deliver(int voter_index, const LeaseRequest& request) {
        Voter::Vote vote = voters[std::size_t(voter_index)].vote(request, voter_clock(voter_index));
        persist(voter_index, vote.persist);
        vote.reply.denied_for = {};  // in this search a candidate may request at any time
        // Denials are left out: their only effect would be a higher term in the candidate's next request, and
        // the next request has a higher term anyway.
        if (vote.reply.granted) network.insert(vote.reply);
    }
    void deliver(int voter_index, const LeaseRelease& release) {
        persist(voter_index, voters[std::size_t(voter_index)].release(release));
    }
    void deliver(int candidate_index, const LeaseReply& reply) {
        send(candidate_index,
             candidates[std::size_t(candidate_index)].receive(reply, candidate_clock(candidate_index)));
    }
    void deliver(int /*node*/, const Act& act) {
        const FencingToken& token = act.token;
        if (!fence.accept(kLease, token)) return;
        if (token.term < last_accepted.term) violation = "an older act was accepted after a newer one";
        if (token.term == last_accepted.term && token.owner != last_accepted.owner)
            violation = "two owners' acts in one term";
        last_accepted = token;
    }

    void check() {
        int owners_now = 0;
        for (int candidate_index = 0; candidate_index < kCandidates; ++candidate_index) {
            auto token = token_of(candidate_index);
            if (!token) continue;
            ++owners_now;
            if (owners.try_emplace(token->term, candidate(candidate_index)).first->second !=
                candidate(candidate_index))
                violation = "a term with two owners";
        }
        if (owners_now > 1) violation = "two owners at once";
    }
};

// The part of a state that can influence later events. Times count by how far ahead they are; all past times
// are equal.
class StateDigest {
  public:
    explicit StateDigest(const ClusterState& state) : state_(state) {
        add(state.tick, state.voter_restarts, state.candidate_restarts);
        add(state.last_accepted.term, state.last_accepted.owner);
        for (int voter_index = 0; voter_index < kVoters; ++voter_index) add_voter(voter_index);
        for (int candidate_index = 0; candidate_index < kCandidates; ++candidate_index)
            add_candidate(candidate_index);
        for (const auto& [term, owner] : state.owners) add(term, owner);
        for (const ClusterState::NetworkMessage& message : state.network) {
            add(char(message.index()));
            std::visit([this](const auto& m) { add_message(m); }, message);
        }
    }
    std::pair<std::uint64_t, std::uint64_t> hash() const {
        XXH128_hash_t hash = XXH3_128bits(bytes_.data(), bytes_.size());
        return {hash.low64, hash.high64};
    }

  private:
    template <typename... Values>
    void add(const Values&... values) {
        (add_one(values), ...);
    }
    template <typename Value>
    void add_one(const Value& value) {
        bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
    }
    void add_one(const Participant& participant) { add(participant.node, participant.incarnation); }
    void add_ahead(Time time, Time now) { add(std::max<std::int64_t>(0, (time - now).count())); }

    void add_voter(int voter_index) {
        const Voter& voter = state_.voters[std::size_t(voter_index)];
        Time now = state_.voter_clock(voter_index);
        add(voter.waits_after_start(now));
        for (const auto& [lease, grant] : voter.grants()) {
            add(grant.record.term, grant.record.holder, grant.record.released);
            add_ahead(grant.expires, now);
        }
        for (const GrantRecord& record : state_.stores[voter_index])
            add(record.term, record.holder, record.released);
        add('|');
    }
    void add_candidate(int candidate_index) {
        add(state_.requests[candidate_index], state_.acts[candidate_index]);
        Time now = state_.candidate_clock(candidate_index);
        for (const auto& [lease, claim] : state_.candidates[std::size_t(candidate_index)].claims()) {
            add(claim.state, claim.term, claim.highest_term, claim.latest_round);
            add_ahead(claim.owned_until, now);
            add_ahead(claim.next_action_at, now);
            for (const auto& [number, round] : claim.recent_rounds) {
                add(number);
                add_ahead(round.sent + state_.settings.lease_duration, now);
                for (NodeId voter : round.granted_by) add(voter);
                add('|');
            }
        }
    }
    void add_message(const LeaseRequest& request) { add(request.term, request.from, request.round); }
    void add_message(const LeaseRelease& release) { add(release.term, release.from); }
    void add_message(const LeaseReply& reply) {
        add(reply.term, reply.from, reply.to, reply.round, reply.granted, reply.highest_term);
    }
    void add_message(const ClusterState::Act& act) { add(act.token.term, act.token.owner); }

    const ClusterState& state_;
    std::string bytes_;
};

struct SearchResult {
    std::size_t states = 0;
    std::string violation;  // the first one found; empty if there is none
};

// Searches depth first over all states with different digests.
SearchResult search(const Settings& settings, const Bounds& bounds, std::size_t max_states = 3'000'000) {
    struct Hash {
        std::size_t operator()(const std::pair<std::uint64_t, std::uint64_t>& h) const { return h.first; }
    };
    std::unordered_set<std::pair<std::uint64_t, std::uint64_t>, Hash> visited;
    std::vector<ClusterState> stack{ClusterState(settings, bounds)};
    while (!stack.empty() && visited.size() < max_states) {
        ClusterState state = std::move(stack.back());
        stack.pop_back();
        for (const ClusterState::Event& event : state.possible_events(bounds)) {
            ClusterState next = state;
            next.apply(event);
            next.check();
            if (next.violation) return {visited.size(), next.violation};
            if (visited.insert(StateDigest(next).hash()).second) stack.push_back(std::move(next));
        }
    }
    return {visited.size(), stack.empty() ? "" : "the search stopped at the maximum number of states"};
}

TEST_CASE("ownership: no order of events within small bounds gives two owners or an accepted late act") {
    for (Bounds bounds : {Bounds{2, 1, 1, 0, 0}, {1, 1, 0, 1, 0}, {0, 1, 0, 1, 1}})
        CHECK(search({}, bounds).violation == "");
}

TEST_CASE("ownership: no two owners when a lease expires and the second candidate requests the next term") {
    CHECK(search({}, {4, 1, 0, 0, 0, true}).violation == "");
}

TEST_CASE("ownership: no two owners or accepted late acts within larger bounds" * doctest::skip()) {
    for (Bounds bounds :
         {Bounds{4, 1, 1, 0, 0}, {4, 1, 1, 0, 0, true}, {4, 1, 0, 1, 0}, {1, 1, 1, 1, 1}, {1, 2, 0, 0, 0}}) {
        SearchResult found = search({}, bounds, 40'000'000);
        std::printf("%d ticks, %d requests, %d acts, %d and %d restarts: %zu states %s\n", bounds.ticks,
                    bounds.requests, bounds.acts, bounds.voter_restarts, bounds.candidate_restarts,
                    found.states, found.violation.c_str());
        CHECK(found.violation == "");
    }
}

// Shows that each safeguard is needed and that the search would find a fault in it.
TEST_CASE("ownership: the search finds the violation that each disabled safeguard leads to") {
    Settings without_drift_allowance;
    without_drift_allowance.allow_for_drift = false;
    CHECK(search(without_drift_allowance, {4, 1, 0, 0, 0, true}).violation == "two owners at once");

    Settings without_expiry_check;
    without_expiry_check.check_expiry = false;
    CHECK(search(without_expiry_check, {4, 1, 0, 0, 0, true}).violation == "two owners at once");

    Settings without_wait_after_start;
    without_wait_after_start.wait_after_start = false;
    CHECK(search(without_wait_after_start, {0, 1, 0, 1, 0, true}).violation == "two owners at once");

    Settings without_persistence;
    without_persistence.persist_grants = false;
    CHECK(search(without_persistence, {4, 1, 0, 1, 0}).violation == "a term with two owners");

    Settings without_fencing;
    without_fencing.fencing = false;
    CHECK(search(without_fencing, {4, 1, 1, 0, 0, true}).violation ==
          "an older act was accepted after a newer one");
}

}  // namespace
}  // namespace indigovane::ownership
