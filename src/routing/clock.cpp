#include "routing/types.hpp"

namespace indigovane::routing {

Clock::Clock()
    : unix_offset_us_(
          std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()).count() -
          now().time_since_epoch().count()) {}

Time Clock::now() const {
    return Time(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace indigovane::routing
