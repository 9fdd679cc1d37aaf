// Tracks the primary of each group by the answers and load reports that this pooler receives, and tells an
// observer once per change, so that other poolers can be notified. Also decides how old gossip from other
// poolers may be.
#pragma once

#include <functional>
#include <map>

#include "routing/types.hpp"

namespace indigovane::routing {

class PrimaryTracker {
  public:
    using Observer = std::function<void(const EndpointInfo& endpoint, Time as_of)>;

    // Sets the function that is called when the primary of a group changes. Nothing is recorded without one.
    void set_observer(Observer observer) { observer_ = std::move(observer); }
    // Records that an answer or a load report showed the endpoint to be its group's primary at `as_of`. The
    // first primary of a group doesn't count as a change.
    void record(EndpointId id, const EndpointInfo& info, Time as_of);
    // Whether evidence of another pooler from `as_of` is recent enough to be used.
    static bool is_recent(Time as_of, Time now);

  private:
    struct Evidence {
        EndpointId endpoint{};
        Time as_of;
    };
    Observer observer_;
    std::map<std::uint32_t, Evidence> latest_;  // by group
};

}  // namespace indigovane::routing
