// The host: reads frames, lets each instance's RoutingPolicy decide, prints the replies.
#include <algorithm>
#include <iostream>
#include <map>
#include <string>

#include "simulator/codec.hpp"

namespace {

using namespace indigovane::policy;
using namespace indigovane::simulator;

struct Instance {
    RoutingPolicy policy;
    Scale scale;
    Names names;
};

class Host {
  public:
    // One line of the input; what is to be printed is appended to `out`. True at the end of a frame.
    bool take(const std::string& text, std::string& out) {
        Line line(text);
        if (entries_due_ > 0) {
            if (line.name() != "M") throw Malformed("a list entry is missing");
            lists_[list_].push_back(text);
            --entries_due_;
            return false;
        }
        if (line.name() == "SYNC") {
            if (in_frame_) throw Malformed("a frame within a frame");
            in_frame_ = true;
            now_ = Time(Duration(to_micros(line.need("timeMs"))));
            frame_ = to_count(line.need("frame"));
            return false;
        }
        if (!in_frame_) throw Malformed("outside a frame");
        if (line.name() == "OVER_TO_YOU") {
            in_frame_ = false;
            out += "EOR frame=" + std::to_string(frame_) + "\n";
            return true;
        }
        event(line, out);
        return false;
    }
    bool idle() const { return !in_frame_; }

  private:
    void event(const Line& line, std::string& out) {
        std::string_view kind = line.name();
        if (kind == "ROSTER") {
            list_ = to_count(line.need("list"));
            entries_due_ = to_count(line.need("nodesList"));
            lists_[list_].clear();
            return;
        }
        if (kind == "OPEN_INSTANCE") {
            std::uint64_t number = to_count(line.need("proxy"));
            RoutingPolicy policy(read_settings(line), to_count(line.need("nonce64")), now_);
            instances_.insert_or_assign(number, Instance{std::move(policy), read_scale(line), {}});
            return;
        }
        auto known = {"POWER_OFF", "TARGETS", "ORDER", "DONE", "WITHDRAWN", "TIMER", "PROBE_RESULT"};
        if (std::find(known.begin(), known.end(), kind) == known.end()) return;
        std::uint64_t number = to_count(line.need("proxy"));
        auto it = instances_.find(number);
        if (it == instances_.end()) throw Malformed("no such instance is open");
        Instance& instance = it->second;
        if (kind == "POWER_OFF") {
            instances_.erase(it);
            return;
        }
        actions_.clear();
        instance.policy.handle(now_, read(line, instance), actions_);
        for (const Action& action : actions_) out += write_action(number, action, instance.names) + "\n";
    }

    Event read(const Line& line, Instance& instance) {
        std::string_view kind = line.name();
        if (kind == "ORDER") return read_request(line);
        if (kind == "DONE") return read_outcome(line, instance.scale, instance.names);
        if (kind == "WITHDRAWN") return RequestCancelled{read_request_id(line)};
        if (kind == "TIMER") return TimerExpired{read_timer(line)};
        if (kind == "PROBE_RESULT") return read_probe_result(line, instance.scale, instance.names);
        EndpointList list = read_list_kind(line);
        if (list.kind == EndpointListKind::failed) return list;
        auto entries = lists_.find(to_count(line.need("list")));
        if (entries == lists_.end()) throw Malformed("no such list was given");
        for (const std::string& text : entries->second)
            list.entries.push_back(read_entry(Line(text), instance.names));
        return list;
    }

    std::map<std::uint64_t, Instance> instances_;
    std::map<std::uint64_t, std::vector<std::string>> lists_;  // their entries, as lines
    std::uint64_t list_ = 0, entries_due_ = 0, frame_ = 0;
    bool in_frame_ = false;
    Time now_{};
    Actions actions_;
};

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    Host host;
    std::string text, out;
    std::uint64_t count = 0;
    try {
        while (std::getline(std::cin, text)) {
            ++count;
            if (!text.empty() && text.back() == '\r') text.pop_back();
            if (text.empty()) continue;
            if (host.take(text, out)) {
                std::cout << out << std::flush;
                out.clear();
            }
        }
        if (!host.idle()) throw Malformed("input ended within a frame");
    } catch (const std::exception& error) {
        std::cerr << "indigovane_simulator_adapter: line " << count << ": " << error.what() << "\n";
        return 1;
    }
    return 0;
}
