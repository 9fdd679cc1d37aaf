#include "simulator/frame_host.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "simulator/field_names.hpp"

namespace indigovane::simulator {
namespace {

/// Messages for one open instance. Messages with any other name are ignored.
constexpr std::array kInstanceMessages{messages::kInstanceStop,     messages::kEndpointList,
                                       messages::kRequestArrival,   messages::kAttemptOutcome,
                                       messages::kRequestCancelled, messages::kTimerExpired,
                                       messages::kHealthCheckResult};

}  // namespace

bool FrameHost::handle_line(const std::string& text, std::string& out) {
    Line line(text);
    if (remaining_entries_ > 0) {
        add_entry(line, text);
        return false;
    }
    if (line.name() == messages::kFrameStart) {
        start_frame(line);
        return false;
    }
    if (!is_in_frame_) throw Malformed("the message is outside a frame");
    if (line.name() == messages::kFrameEnd) {
        end_frame(out);
        return true;
    }
    handle_message(line, out);
    return false;
}

void FrameHost::add_entry(const Line& line, const std::string& text) {
    if (line.name() != messages::kEndpointEntry)
        throw Malformed("the endpoint list has fewer entries than announced");
    list_entries_[current_list_].push_back(text);
    --remaining_entries_;
}

void FrameHost::start_frame(const Line& line) {
    if (is_in_frame_) throw Malformed("a frame starts before the previous frame has ended");
    is_in_frame_ = true;
    now_ = policy::Time(policy::Duration(to_micros(line.require(fields::kNow))));
    frame_number_ = to_count(line.require(fields::kFrame));
}

void FrameHost::end_frame(std::string& out) {
    is_in_frame_ = false;
    out += std::string(messages::kFrameAnswer) + " " + std::string(fields::kFrame) + "=" +
           std::to_string(frame_number_) + "\n";
}

void FrameHost::handle_message(const Line& line, std::string& out) {
    if (line.name() == messages::kEndpointEntries) return start_entries(line);
    if (line.name() == messages::kInstanceStart) return open_instance(line);
    if (std::ranges::find(kInstanceMessages, line.name()) == kInstanceMessages.end()) return;
    std::uint64_t number = to_count(line.require(fields::kInstance));
    auto it = instances_.find(number);
    if (it == instances_.end()) throw Malformed("the instance is not open");
    if (line.name() == messages::kInstanceStop) {
        instances_.erase(it);
        return;
    }
    Instance& instance = it->second;
    actions_.clear();
    instance.policy.handle(now_, read_event(line, instance), actions_);
    for (const Action& action : actions_) out += write_action(number, action, instance.names) + "\n";
}

void FrameHost::start_entries(const Line& line) {
    current_list_ = to_count(line.require(fields::kEntries));
    remaining_entries_ = to_count(line.require(fields::kEntryCount));
    list_entries_[current_list_].clear();
}

void FrameHost::open_instance(const Line& line) {
    std::uint64_t number = to_count(line.require(fields::kInstance));
    policy::RoutingPolicy policy(read_settings(line), to_count(line.require(fields::kSeed)), now_);
    instances_.insert_or_assign(number, Instance{std::move(policy), read_position_origin(line), {}});
}

policy::Event FrameHost::read_event(const Line& line, Instance& instance) const {
    std::string_view name = line.name();
    if (name == messages::kRequestArrival) return read_request(line);
    if (name == messages::kAttemptOutcome)
        return read_outcome(line, instance.position_origin, instance.names);
    if (name == messages::kRequestCancelled) return policy::RequestCancelled{read_request_id(line)};
    if (name == messages::kTimerExpired) return policy::TimerExpired{read_timer(line)};
    if (name == messages::kHealthCheckResult)
        return read_health_check_result(line, instance.position_origin, instance.names);
    return read_list(line, instance);
}

EndpointList FrameHost::read_list(const Line& line, Instance& instance) const {
    EndpointList list = read_list_kind(line);
    if (list.kind == policy::EndpointListKind::failed) return list;
    auto entries = list_entries_.find(to_count(line.require(fields::kEntries)));
    if (entries == list_entries_.end()) throw Malformed("the endpoint list has not been sent");
    for (const std::string& text : entries->second)
        list.entries.push_back(read_endpoint_entry(Line(text), instance.names));
    return list;
}

}  // namespace indigovane::simulator
