// The simulator's adapter: frames from standard input, their answers to standard output.
//
// Input that breaks the protocol ends it with status 1 and one line on standard error that names the line.
#include <cstdint>
#include <exception>
#include <iostream>
#include <string>

#include "simulator/frame_host.hpp"

namespace {

using indigovane::simulator::FrameHost;
using indigovane::simulator::Malformed;

/// Counts the lines in `line_number`, so that an error can name the one that it met.
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
    if (!host.idle()) throw Malformed("input ended within a frame");
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
