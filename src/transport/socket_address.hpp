#pragma once

#include <optional>
#include <string_view>

#include "transport/connection.hpp"

namespace indigovane::transport {

// "address:port" or "[address]:port", numbers only: there is no name service to ask.
std::optional<SocketAddress> parse_socket_address(std::string_view text);

}  // namespace indigovane::transport
