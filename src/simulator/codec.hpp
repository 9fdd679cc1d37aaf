// Converts between the simulator's messages and the routing policy's types. Routing decisions are made only
// in the routing policy.
//
// The names in the protocol are defined in field_names.hpp. The read functions throw Malformed if a message
// violates the protocol. They ignore unknown fields, and unknown values of optional enumerations.
#pragma once

#include <cstdint>
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

/// Maps the endpoint names of one instance to ids, numbered in the order of their first mention in a message.
class EndpointNames {
  public:
    /// Returns the endpoint's id. Assigns the next free id to a new name.
    EndpointId id_of(std::string_view name);
    /// Throws std::out_of_range for an id that was not assigned.
    const std::string& name(EndpointId id) const { return names_.at(std::size_t(id)); }

  private:
    std::unordered_map<std::string, EndpointId> ids_;
    std::vector<std::string> names_;
};

/// The time from which log positions in messages are counted.
struct PositionOrigin {
    /// Microseconds of simulated time.
    std::int64_t micros = 0;
};

Settings read_settings(const Line& line);
PositionOrigin read_position_origin(const Line& line);
EndpointEntry read_endpoint_entry(const Line& line, EndpointNames& names);
/// Reads only the kind of an endpoint list. The entries follow in separate lines.
EndpointList read_list_kind(const Line& line);
RequestArrival read_request(const Line& line);
AttemptOutcome read_outcome(const Line& line, const PositionOrigin& origin, EndpointNames& names);
HealthCheckResult read_health_check_result(const Line& line, const PositionOrigin& origin,
                                           EndpointNames& names);
RequestId read_request_id(const Line& line);
TimerId read_timer(const Line& line);

/// Formats an action as one line without a line terminator.
std::string write_action(std::uint64_t instance, const Action& action, const EndpointNames& names);

}  // namespace indigovane::simulator
