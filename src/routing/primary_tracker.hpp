// Which endpoint of each group is the primary, by what this pooler has seen itself: what other poolers are
// notified of, once a change. And how old gossip from them may be.
#pragma once

#include <functional>
#include <map>

#include "routing/types.hpp"

namespace indigovane::routing {

class PrimaryTracker {
  public:
    using Observer = std::function<void(const EndpointInfo& endpoint, Time as_of)>;

    // Called when a group has another primary than before. Without one nothing is recorded.
    void set_observer(Observer observer) { observer_ = std::move(observer); }
    // The endpoint was its group's primary as of then, by an answer or a report. The first primary of a group
    // is no change.
    void record(EndpointId id, const EndpointInfo& info, Time as_of);
    // Whether another pooler's evidence as of then is recent enough to be of use.
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
