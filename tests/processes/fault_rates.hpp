// The probabilities by which tests/processes/system_call_faults.cpp lets system calls of a process fail. They
// stand in a file that the test maps and changes while the process runs.
#pragma once

#include <atomic>
#include <cstdint>

namespace indigovane::testing {

constexpr const char* kFaultFileVariable = "INDIGOVANE_TEST_FAULTS";

struct FaultRates {
    // Each of 0 to 1, by call.
    std::atomic<float> short_write, short_read;  // only a part, down to one byte
    std::atomic<float> interrupted;              // EINTR: accept, reads, writes, waits
    std::atomic<float> accept;                   // ECONNABORTED, ENFILE, EMFILE, ENOBUFS, EPROTO
    std::atomic<float> socket;                   // ENFILE, ENOBUFS, ENOMEM
    std::atomic<float> connect;                  // EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT
    std::atomic<float> broken;                   // a read or write: ETIMEDOUT, EHOSTUNREACH, ECONNRESET
    std::atomic<std::uint32_t> injected;         // how many calls have failed or been cut short so far
};

}  // namespace indigovane::testing
