// The simulator's side of the decision module: reads frames of messages, has each open instance's
// RoutingPolicy decide, and writes the actions.
//
// A frame is a point in time: its messages are events at that time, and its answer is all their actions.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "simulator/codec.hpp"

namespace indigovane::simulator {

class FrameHost {
  public:
    /// One line of the input; what is to be printed is appended to `out`. True at the end of a frame. Throws
    /// Malformed where the input breaks the protocol.
    bool handle_line(const std::string& text, std::string& out);
    /// Between two frames.
    bool idle() const { return !in_frame_; }

  private:
    struct Instance {
        policy::RoutingPolicy policy;
        PositionOrigin position_origin;
        EndpointNames names;
    };

    void add_entry(const Line& line, const std::string& text);
    void start_frame(const Line& line);
    void end_frame(std::string& out);
    void handle_message(const Line& line, std::string& out);
    void start_entries(const Line& line);
    void open_instance(const Line& line);
    policy::Event read_event(const Line& line, Instance& instance) const;
    EndpointList read_list(const Line& line, Instance& instance) const;

    std::map<std::uint64_t, Instance> instances_;
    std::map<std::uint64_t, std::vector<std::string>> lists_;  // their entries, as lines
    std::uint64_t current_list_ = 0;                           // whose entries are being read
    std::uint64_t entries_due_ = 0;
    std::uint64_t frame_ = 0;
    bool in_frame_ = false;
    policy::Time now_{};
    policy::Actions actions_;
};

}  // namespace indigovane::simulator
