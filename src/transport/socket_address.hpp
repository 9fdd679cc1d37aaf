#pragma once

#include <optional>
#include <string_view>

#include "transport/connection.hpp"

namespace indigovane::transport {

// Parses "address:port" or "[address]:port". Returns nothing for host names: only numeric addresses are
// accepted, because there is no name service.
std::optional<SocketAddress> parse_socket_address(std::string_view text);

}  // namespace indigovane::transport
