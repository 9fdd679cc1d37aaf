// Connects the simulator to the routing policy: reads frames of messages, passes each message to the
// RoutingPolicy of its instance, and writes the resulting actions.
//
// A frame is a point in time. Its messages are events at that time. Its answer holds the actions of all these
// events.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "simulator/codec.hpp"

namespace indigovane::simulator {

/// Runs one RoutingPolicy for each instance that the simulator has opened. Single-threaded.
class FrameHost {
  public:
    /// Handles one line of input and appends the output lines to `out`. Returns true at the end of a frame.
    /// Throws Malformed if the input violates the protocol.
    bool handle_line(const std::string& text, std::string& out);
    /// True between two frames.
    bool is_idle() const { return !is_in_frame_; }

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
    /// The entries of each endpoint list as unparsed lines, by list number.
    std::map<std::uint64_t, std::vector<std::string>> list_entries_;
    /// Number of the list whose entries are being read.
    std::uint64_t current_list_ = 0;
    /// Number of entries of the current list that have not been read yet.
    std::uint64_t remaining_entries_ = 0;
    std::uint64_t frame_number_ = 0;
    bool is_in_frame_ = false;
    /// Time of the current frame.
    policy::Time now_{};
    policy::Actions actions_;
};

}  // namespace indigovane::simulator
