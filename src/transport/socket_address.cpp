#include "transport/socket_address.hpp"

#include <charconv>
#include <string>

namespace indigovane::transport {

std::optional<SocketAddress> parse_socket_address(std::string_view text) {
    std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    std::string_view host = text.substr(0, colon), port_text = text.substr(colon + 1);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    auto [end, error] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (error != std::errc() || end != port_text.data() + port_text.size()) return std::nullopt;
    error_code ec;
    auto address = asio::ip::make_address(std::string(host), ec);
    if (ec) return std::nullopt;
    return SocketAddress(address, port);
}

}  // namespace indigovane::transport
