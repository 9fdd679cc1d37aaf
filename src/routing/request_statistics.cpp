#include "routing/request_statistics.hpp"

#include "routing/request_log.hpp"

namespace indigovane::routing {

Logger::Data RequestStatistics::data() const {
    Logger::Data out;
    auto add = [&](const char* name, std::uint32_t count) {
        if (count > 0) out.emplace_back(name, std::to_string(count));
    };
    add("first", first);
    add("repeated", repeated);
    add("sent", sent);
    for (std::size_t i = 0; i < ended.size(); ++i) add(status_name(policy::AttemptStatus(i)), ended[i]);
    add("refused", refused);
    add("refused_at_once", refused_at_once);
    add("failed", failed);
    add("withdrawn", withdrawn);
    add("probes", probes);
    add("probes_unanswered", probes_unanswered);
    add("connections", connections);
    add("lists", lists);
    return out;
}

}  // namespace indigovane::routing
