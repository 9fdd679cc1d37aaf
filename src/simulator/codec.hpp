// Between the simulator's messages and the decision module's types. No decision is made here.
//
// The wire's names stand in field_names.hpp. Readers throw Malformed where a message breaks the protocol;
// fields and values that mean nothing here are skipped.
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

/// The names of one instance's endpoints: numbered in the order in which messages name them.
class EndpointNames {
  public:
    EndpointId id_of(std::string_view name);
    const std::string& name(EndpointId id) const { return names_.at(std::size_t(id)); }

  private:
    std::unordered_map<std::string, EndpointId> ids_;
    std::vector<std::string> names_;
};

/// What log positions are counted from.
struct PositionOrigin {
    std::int64_t micros = 0;
};

Settings read_settings(const Line& line);
PositionOrigin read_position_origin(const Line& line);
EndpointEntry read_endpoint_entry(const Line& line, EndpointNames& names);
/// The list's kind alone; its entries come in lines of their own.
EndpointList read_list_kind(const Line& line);
RequestArrival read_request(const Line& line);
AttemptOutcome read_outcome(const Line& line, const PositionOrigin& origin, EndpointNames& names);
HealthCheckResult read_health_check_result(const Line& line, const PositionOrigin& origin,
                                           EndpointNames& names);
RequestId read_request_id(const Line& line);
TimerId read_timer(const Line& line);

/// One line without its end.
std::string write_action(std::uint64_t instance, const Action& action, const EndpointNames& names);

}  // namespace indigovane::simulator
