// One owner at a time: the real voters, claims and fence through every interleaving at small bounds. Times
// are made up; each node's clock runs at its own rate.
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
// Of a node's clock in one tick of real time: the first candidate's is the slowest, most voters' the fastest.
constexpr int kClockRate[kVoters + kCandidates] = {12, 12, 10, 8, 10};

struct Bounds {
    int ticks;
    int requests;  // of each candidate
    int acts;      // of each candidate
    int voter_restarts;
    int candidate_restarts;
    bool knows_first_term = false;  // the second candidate, so that it requests the next one
};

// All nodes and the network. Messages stay in the network for good: each may arrive at any time, again and
// again, or never.
struct World {
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
    FencingToken last_act;  // accepted
    const char* violation = nullptr;

    World(Settings s, const Bounds& bounds) : settings(std::move(s)), fence(settings.fencing) {
        settings.voters = {NodeId(0), NodeId(1), NodeId(2)};
        settings.lease_duration = Duration(36);
        settings.max_clock_drift = 0.2;
        settings.standby_delay = Duration(0);
        settings.reply_timeout = Duration(0);
        Time long_ago{Duration(0)};
        for (int v = 0; v < kVoters; ++v)
            voters.emplace_back(NodeId(v), settings, std::vector<GrantRecord>{}, long_ago);
        for (int c = 0; c < kCandidates; ++c) candidates.push_back(started_candidate(c));
        if (bounds.knows_first_term) candidates[1].record_rejection(kLease, 1, candidate_clock(1));
    }

    Time voter_clock(int v) const { return Time(Duration(1'000'000 + tick * kClockRate[v])); }
    Time candidate_clock(int c) const { return voter_clock(kVoters + c); }
    Participant candidate(int c) const {
        return {NodeId(kVoters + c), std::uint64_t(1 + (c == 0 ? candidate_restarts : 0))};
    }
    LeaseClaims started_candidate(int c) const {
        LeaseClaims claims(candidate(c), settings, [] { return 0.0; });
        claims.stand_by(kLease, 0, candidate_clock(c));
        return claims;
    }
    std::optional<FencingToken> token_of(int c) const {
        return candidates[std::size_t(c)].fencing_token(kLease, candidate_clock(c));
    }

    void send(int c, const ClaimOutput& output) {
        for (const Message& message : output.messages) {
            if (auto* request = std::get_if<LeaseRequest>(&message)) {
                network.insert(*request);
                ++requests[c];
            } else {
                network.insert(std::get<LeaseRelease>(message));
            }
        }
    }
    void persist(int v, const std::optional<GrantRecord>& record) {
        if (record && settings.persist_grants) stores[v] = {*record};
    }

    // What can happen next and may make a difference.
    enum class EventKind { deliver, advance, act, restart_voter, restart_candidate, tick };
    struct Event {
        EventKind kind;
        int node = 0;  // a voter or a candidate
        NetworkMessage message = {};
    };

    std::vector<Event> events(const Bounds& bounds) const {
        std::vector<Event> possible;
        for (const NetworkMessage& message : network) add_deliveries(message, possible);
        for (int c = 0; c < kCandidates; ++c) {  // one that does not advance is paused, or slow
            if (requests[c] < bounds.requests) possible.push_back({EventKind::advance, c});
            if (acts[c] < bounds.acts && token_of(c)) possible.push_back({EventKind::act, c});
        }
        for (int v = 0; v < kVoters && voter_restarts < bounds.voter_restarts; ++v)
            possible.push_back({EventKind::restart_voter, v});
        if (candidate_restarts < bounds.candidate_restarts)
            possible.push_back({EventKind::restart_candidate});
        if (tick < bounds.ticks) possible.push_back({EventKind::tick});
        return possible;
    }

    void add_deliveries(const NetworkMessage& message, std::vector<Event>& possible) const {
        if (auto* reply = std::get_if<LeaseReply>(&message)) {
            int c = int(reply->to.node) - kVoters;
            const Claim& claim = candidates[std::size_t(c)].claims().at(kLease);
            bool awaited = claim.state != ClaimState::waiting && claim.term == reply->term;
            if (reply->to == candidate(c) && awaited) possible.push_back({EventKind::deliver, c, message});
        } else if (std::holds_alternative<Act>(message)) {
            possible.push_back({EventKind::deliver, 0, message});
        } else {
            for (int v = 0; v < kVoters; ++v) possible.push_back({EventKind::deliver, v, message});
        }
    }

    void happen(const Event& event) {
        auto node = std::size_t(event.node);
        switch (event.kind) {
            case EventKind::deliver:
                std::visit([&](const auto& message) { deliver(event.node, message); }, event.message);
                break;
            case EventKind::advance:
                send(event.node, candidates[node].advance(candidate_clock(event.node)));
                break;
            case EventKind::act:
                network.insert(Act{*token_of(event.node)});
                ++acts[event.node];
                break;
            case EventKind::restart_voter:
                ++voter_restarts;
                voters[node] = Voter(NodeId(event.node), settings, stores[node], voter_clock(event.node));
                break;
            case EventKind::restart_candidate:
                ++candidate_restarts;
                candidates[0] = started_candidate(0);
                break;
            case EventKind::tick:
                ++tick;
                break;
        }
    }

    void deliver(int v, const LeaseRequest& request) {
        Voter::Vote vote = voters[std::size_t(v)].vote(request, voter_clock(v));
        persist(v, vote.persist);
        vote.reply.denied_for = {};  // a candidate may request at any time here
        // A denial tells a term to go beyond, which a candidate's next request does by itself here.
        if (vote.reply.granted) network.insert(vote.reply);
    }
    void deliver(int v, const LeaseRelease& release) { persist(v, voters[std::size_t(v)].release(release)); }
    void deliver(int c, const LeaseReply& reply) {
        send(c, candidates[std::size_t(c)].receive(reply, candidate_clock(c)));
    }
    void deliver(int /*node*/, const Act& act) {
        const FencingToken& token = act.token;
        if (!fence.accept(kLease, token)) return;
        if (token.term < last_act.term) violation = "an older act was accepted after a newer";
        if (token.term == last_act.term && token.owner != last_act.owner)
            violation = "two owners' acts in one term";
        last_act = token;
    }

    void check() {
        int owners_now = 0;
        for (int c = 0; c < kCandidates; ++c) {
            auto token = token_of(c);
            if (!token) continue;
            ++owners_now;
            if (owners.try_emplace(token->term, candidate(c)).first->second != candidate(c))
                violation = "a term with two owners";
        }
        if (owners_now > 1) violation = "two owners at once";
    }
};

// What of a world may make a difference from here on: times by how far ahead they are, past ones alike.
class Digest {
  public:
    explicit Digest(const World& world) : world_(world) {
        add(world.tick, world.voter_restarts, world.candidate_restarts);
        add(world.last_act.term, world.last_act.owner);
        for (int v = 0; v < kVoters; ++v) add_voter(v);
        for (int c = 0; c < kCandidates; ++c) add_candidate(c);
        for (const auto& [term, owner] : world.owners) add(term, owner);
        for (const World::NetworkMessage& message : world.network) {
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

    void add_voter(int v) {
        const Voter& voter = world_.voters[std::size_t(v)];
        Time now = world_.voter_clock(v);
        add(voter.waits_after_start(now));
        for (const auto& [lease, grant] : voter.grants()) {
            add(grant.record.term, grant.record.holder, grant.record.released);
            add_ahead(grant.expires, now);
        }
        for (const GrantRecord& record : world_.stores[v]) add(record.term, record.holder, record.released);
        add('|');
    }
    void add_candidate(int c) {
        add(world_.requests[c], world_.acts[c]);
        Time now = world_.candidate_clock(c);
        for (const auto& [lease, claim] : world_.candidates[std::size_t(c)].claims()) {
            add(claim.state, claim.term, claim.highest_term, claim.round);
            add_ahead(claim.owned_until, now);
            add_ahead(claim.due, now);
            for (const auto& [number, round] : claim.rounds) {
                add(number);
                add_ahead(round.sent + world_.settings.lease_duration, now);
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
    void add_message(const World::Act& act) { add(act.token.term, act.token.owner); }

    const World& world_;
    std::string bytes_;
};

struct SearchResult {
    std::size_t states = 0;
    std::string violation;  // the first; empty: none
};

// Depth first over all worlds that differ by their digest.
SearchResult search(const Settings& settings, const Bounds& bounds, std::size_t max_states = 3'000'000) {
    struct Hash {
        std::size_t operator()(const std::pair<std::uint64_t, std::uint64_t>& h) const { return h.first; }
    };
    std::unordered_set<std::pair<std::uint64_t, std::uint64_t>, Hash> visited;
    std::vector<World> stack{World(settings, bounds)};
    while (!stack.empty() && visited.size() < max_states) {
        World world = std::move(stack.back());
        stack.pop_back();
        for (const World::Event& event : world.events(bounds)) {
            World next = world;
            next.happen(event);
            next.check();
            if (next.violation) return {visited.size(), next.violation};
            if (visited.insert(Digest(next).hash()).second) stack.push_back(std::move(next));
        }
    }
    return {visited.size(), stack.empty() ? "" : "not all was seen"};
}

TEST_CASE("ownership: at small bounds no order of events gives two owners, or lets a late act count") {
    for (Bounds bounds : {Bounds{2, 1, 1, 0, 0}, {1, 1, 0, 1, 0}, {0, 1, 0, 1, 1}})
        CHECK(search({}, bounds).violation == "");
}

TEST_CASE("ownership: the same where a lease expires, and the second candidate requests the next term") {
    CHECK(search({}, {4, 1, 0, 0, 0, true}).violation == "");
}

TEST_CASE("ownership: every interleaving at larger bounds" * doctest::skip()) {
    for (Bounds bounds :
         {Bounds{4, 1, 1, 0, 0}, {4, 1, 1, 0, 0, true}, {4, 1, 0, 1, 0}, {1, 1, 1, 1, 1}, {1, 2, 0, 0, 0}}) {
        SearchResult found = search({}, bounds, 40'000'000);
        std::printf("%d ticks, %d requests, %d acts, %d and %d restarts: %zu states %s\n", bounds.ticks,
                    bounds.requests, bounds.acts, bounds.voter_restarts, bounds.candidate_restarts,
                    found.states, found.violation.c_str());
        CHECK(found.violation == "");
    }
}

// Each safeguard that is taken away is found missing.
TEST_CASE("ownership: each planted defect is found by the search, by its name") {
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
          "an older act was accepted after a newer");
}

}  // namespace
}  // namespace indigovane::ownership
