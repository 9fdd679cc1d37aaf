// One node's side of it: the duties that it stands for, is asking for, or owns. An owner looks here right
// before each act, with the time of that moment: a process that was stopped and woke up has no lease left.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <variant>

#include "ownership/types.hpp"

namespace indigovane::ownership {

enum class ClaimState : std::uint8_t {
    waiting,     // for its turn, or for another's lease to end
    requesting,  // the voters, in a new term
    owner,
};
const char* name(ClaimState s);

// A change of standing, for the log.
struct ClaimTransition {
    DutyId duty{};
    ClaimState before{}, now{};
    Term term = 0;
    const char* why = "";
};
// To all voters (itself too, if it is one).
using Message = std::variant<LeaseRequest, LeaseRelease>;
struct ClaimOutput {
    std::vector<Message> messages;
    std::vector<ClaimTransition> turns;
};

struct Claim {
    ClaimState standing = ClaimState::waiting;
    unsigned rank = 0;  // among those that stand for it: 0 asks first
    Term term = 0;      // asked for, or owned
    Term highest = 0;   // heard of
    std::uint32_t round = 0, attempts = 0;
    std::map<std::uint32_t, std::pair<Time, std::vector<NodeId>>> rounds;  // when asked, who has granted
    std::map<NodeId, Time> denied;  // this ask, and for how long at least
    Time until{};                   // an owner's
    Time due{};                     // the next thing to do
};

class Claims {
  public:
    // `draw`: uniform in [0, 1).
    Claims(const Participant& self, const Settings& settings, std::function<double()> draw);

    // Stands for a duty from now on, or with another rank. Membership says the rank: it is advice, and a
    // wrong one costs time, never an owner too many.
    void stand(DutyId duty, unsigned rank, Time now);
    // No more: what it owns is given back at once.
    ClaimOutput leave(DutyId duty, Time now);
    // An owner's: another is to have it. It stands again only after a lease.
    ClaimOutput move(DutyId duty, Time now);

    ClaimOutput answer(const LeaseReply& answer, Time now);
    // Whoever was acted upon has seen a newer term, or the same one of another party.
    ClaimOutput refused(DutyId duty, Term highest, Time now);
    // An owner's act was heard of: there is one, no need to ask before its lease may be over.
    void heard(DutyId duty, Term term, Time now);
    // Its owner has given it back: nobody need wait for its lease to be over.
    void released(DutyId duty, Term term, Time now);
    // What is due. To be called when next() says, and may be called at any time.
    ClaimOutput tick(Time now);
    std::optional<Time> next() const;

    // The term to act in, right now; none: it is not the owner. `now` is read after all that could have
    // taken time, right before the act.
    std::optional<Term> may_act(DutyId duty, Time now) const;

    const std::map<DutyId, Claim>& all() const { return claims_; }

  private:
    void ask(DutyId duty, Claim& c, Time now, ClaimOutput& out);
    void turn(DutyId duty, Claim& c, ClaimState to, const char* why, ClaimOutput& out);
    void wait(Claim& c, Time now, Duration least);
    void stop(DutyId duty, Claim& c, Time now, Duration least, const char* why, ClaimOutput& out);

    Participant self_;
    Settings set_;
    std::function<double()> draw_;
    std::map<DutyId, Claim> claims_;
    std::uint32_t round_ = 0;  // of the last ask, whatever the duty: a claim that is left forgets its own
};

}  // namespace indigovane::ownership
