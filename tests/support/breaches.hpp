// The rules that an emulated run has broken, each once.
#pragma once

#include <set>
#include <string>

#include "lab/fleet.hpp"

namespace indigovane::lab {

inline std::string rules(const FleetSummary& s) {
    std::set<std::string> out;
    for (const auto& b : s.breaches) out.insert(b.rule);
    std::string text;
    for (const auto& r : out) text += r + " ";
    return text;
}

}  // namespace indigovane::lab
