// Between the wire's words and the module's types. No decision is made here.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/routing_policy.hpp"
#include "simulator/frame.hpp"

namespace indigovane::simulator {

using policy::Action;
using policy::AttemptOutcome;
using policy::EndpointEntry;
using policy::EndpointId;
using policy::EndpointList;
using policy::HealthCheckResult;
using policy::RequestArrival;
using policy::RequestId;
using policy::Settings;
using policy::TimerId;

// The names of one instance's members: numbered in the order in which its lists name them.
class Names {
  public:
    EndpointId number(std::string_view name);
    const std::string& name(EndpointId id) const { return names_.at(std::size_t(id)); }

  private:
    std::unordered_map<std::string, EndpointId> numbers_;
    std::vector<std::string> names_;
};

struct Scale {  // what positions are reckoned from
    std::int64_t base_micros = 0;
};

Settings read_settings(const Line& line);
Scale read_scale(const Line& line);
EndpointEntry read_entry(const Line& line, Names& names);
EndpointList read_list_kind(const Line& line);
RequestArrival read_request(const Line& line);
AttemptOutcome read_outcome(const Line& line, const Scale& scale, Names& names);
HealthCheckResult read_probe_result(const Line& line, const Scale& scale, Names& names);
RequestId read_request_id(const Line& line);
TimerId read_timer(const Line& line);

std::string write_action(std::uint64_t instance, const Action& action, const Names& names);

}  // namespace indigovane::simulator
