// Loss and return of a site: what is known of it, where its load goes, what is refused first, how it comes
// back. Pure decisions: events with a time in, effects out. No I/O, no clock, no thread, no randomness
// (draws are handed in). This header: terms and settings. The reasons are in docs/site-loss.md.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace indigovane::site {

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

enum class SiteId : std::uint32_t {};
enum class HostId : std::uint32_t {};
enum class GroupId : std::uint32_t {};

// A host as the list has it.
struct Host {
    HostId id{};
    SiteId site{};
    GroupId group{};
    bool ready = true;            // the list allows new work
    bool primary = false;         // as last known
    std::optional<Time> started;  // latest start; none: long ago
    double capacity = 1;          // relative to the others
};

// What one pooler holds of a site. Each has its evidence (verdict.hpp) and a time after which it lapses.
enum class SiteState : std::uint8_t {
    reachable,  // answers come, or nothing is known
    doubtful,   // several of its hosts are silent, not all
    lost,       // silent, while most of the fleet's hosts answer
    cut_off,    // silent to this pooler, as most hosts are: the fault may be on this side
    drained,    // operators have sent its load away
    returning,  // answers again; load goes back in steps
};
const char* name(SiteState s);

// How one attempt, probe or connection ended, for the site of its host.
enum class ContactResult : std::uint8_t {
    answer,  // anything that the host said, an error or a refusal too
    mute,    // nothing came in the time it had, or no connection came up
    broken,  // refused or reset: the machine is there, the process may not be
};

struct Settings {
    bool enabled = false;
    // The verdict.
    Duration quiet = milliseconds(400);  // no answer at all from a site for so long, while others answer
    Duration fresh = seconds(2);         // evidence older than this is none
    double doubt = 0.5;                  // silent hosts among those with evidence
    unsigned least = 3;                  // silent hosts: one is no site, unless the site has no more
    double witness = 0.34;               // of a site's hosts that this pooler uses, silent before it is lost
    unsigned confirm = 3;                // hosts of a site that are probed when one of it is silent; 0: none
    double response_timeout = 4;  // usual answer times after which work that is out counts as unanswered
    Duration stall = milliseconds(1000);  // this process slept if it is called so much later than it asked
    Duration lapse = seconds(15);         // a loss that nothing has confirmed for so long is tried again
    // The return.
    Duration hold = seconds(1), hold_most = seconds(16);  // a loss stands at least so long; doubled by falls
    Duration flap_memory = seconds(60);                   // falls are counted for so long
    unsigned back = 2;                                    // hosts that must answer again
    Duration ramp = seconds(4), ramp_most = seconds(30);  // all hosts are in use again; doubled by falls
    Duration ramp_unsure = seconds(1);                    // where nothing says that they have started anew
    Duration ramp_warm = milliseconds(500);    // where they surely have not: only this pooler was cut off
    double trickle = 0.05;                     // of the hosts at once
    bool ramp_probes = false;                  // each host answers a probe before it is in use again
    Duration probe_every = milliseconds(250);  // a lost site, at the most often
    double probes_per_host = 10;               // a second, by all poolers together
    // What is refused, and what is sent again.
    double ceiling = 0.8;           // of a host's work: beyond it, it queues
    double floor = 0.05;            // of a class that is let in whatever happens
    Duration starve = seconds(2);   // and one of each class and tenant at least so often
    std::vector<std::string> last;  // classes refused last, the dearest first; others by worth for cost
    bool by_tenant = true;          // of a class, tenants over their share are refused first...
    std::map<std::string, double> shares;  // ...which is 1 for those not named here
    bool by_age = true;                    // and of a tenant's, repeats and those with little time left
    double repeat_income = 0.2;  // further attempts that a request earns, for reads while a site is in doubt
    double repeat_most = 20;     // saved up
    Duration retry_after = milliseconds(500);
    // Each part can be switched off, to measure what it is worth.
    // Refusing by plan is off unless asked for: docs/site-loss.md has the figures.
    bool exclude = true, abandon_unresponsive = true, shed = false, budget = true, pace = true;
    bool doubt_self = true;  // its own link and its own sleep are thought of before anybody is judged
};

}  // namespace indigovane::site
