#include "routing/ledger.hpp"

namespace indigovane::routing {

Logger::Data Ledger::data() const {
    // In the order of starlingpond::Status.
    static constexpr const char* kEnds[] = {"ok",    "error",     "full", "timeout", "unreachable",
                                            "reset", "cancelled", "moot", "miss"};
    Logger::Data out;
    auto add = [&](const char* name, std::uint32_t count) {
        if (count > 0) out.emplace_back(name, std::to_string(count));
    };
    add("first", first);
    add("repeated", repeated);
    add("sent", sent);
    for (std::size_t i = 0; i < ended.size(); ++i) add(kEnds[i], ended[i]);
    add("refused", refused);
    add("refused_at_once", refused_at_once);
    add("failed", failed);
    add("probes", probes);
    add("probes_unanswered", probes_unanswered);
    add("connections", connections);
    add("lists", lists);
    return out;
}

}  // namespace indigovane::routing
