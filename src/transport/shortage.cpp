#include "transport/shortage.hpp"

#include <thread>

namespace indigovane::transport {

void wait_out_shortage(std::chrono::milliseconds length) {
    std::this_thread::sleep_for(length);
}

}  // namespace indigovane::transport
