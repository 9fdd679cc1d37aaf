// Loopback addresses: port 0 lets the system pick one.
#pragma once

#include <string>

#include "transport/listener.hpp"

namespace indigovane::testing {

inline transport::SocketAddress loopback() {
    return {boost::asio::ip::make_address("127.0.0.1"), 0};
}
inline std::string text(const transport::SocketAddress& at) {
    return at.address().to_string() + ":" + std::to_string(at.port());
}

}  // namespace indigovane::testing
