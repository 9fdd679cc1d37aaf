// The simulator adapter: reads frames from standard input and writes their answers to standard output.
//
// If the input violates the protocol, the process writes one line with the input's line number to standard
// error and exits with status 1.
#include <cstdint>
#include <exception>
#include <iostream>
#include <string>

#include "simulator/frame_host.hpp"

namespace {

using indigovane::simulator::FrameHost;
using indigovane::simulator::Malformed;

/// Counts the lines read in `line_number`, so that an error message can name the invalid line.
void run(FrameHost& host, std::uint64_t& line_number) {
    std::string text;
    std::string out;
    while (std::getline(std::cin, text)) {
        ++line_number;
        if (!text.empty() && text.back() == '\r') text.pop_back();
        if (text.empty()) continue;
        if (host.handle_line(text, out)) {
            std::cout << out << std::flush;
            out.clear();
        }
    }
    if (!host.is_idle()) throw Malformed("the input ended within a frame");
}

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    FrameHost host;
    std::uint64_t line_number = 0;
    try {
        run(host, line_number);
    } catch (const std::exception& error) {
        std::cerr << "indigovane_simulator_adapter: line " << line_number << ": " << error.what() << "\n";
        return 1;
    }
    return 0;
}
