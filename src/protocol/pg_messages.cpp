#include "protocol/pg_messages.hpp"

#include <algorithm>

namespace indigovane::protocol::pg {

namespace {

std::uint16_t read_u16(std::string_view bytes) {
    return bytes.size() < 2 ? 0 : std::uint16_t(std::uint8_t(bytes[0]) << 8 | std::uint8_t(bytes[1]));
}

}  // namespace

std::uint32_t read_u32(std::string_view bytes) {
    if (bytes.size() < 4) return 0;
    return std::uint32_t(std::uint8_t(bytes[0])) << 24 | std::uint32_t(std::uint8_t(bytes[1])) << 16 |
           std::uint32_t(std::uint8_t(bytes[2])) << 8 | std::uint32_t(std::uint8_t(bytes[3]));
}

Next next_message(std::string_view in, std::size_t limit, Message& message, std::size_t& length) {
    if (in.size() < 5) return Next::more;
    std::uint32_t size = read_u32(in.substr(1));
    if (size < 4 || size > 0x3fffffff) return Next::malformed;
    length = std::size_t(size) + 1;
    message.type = in[0];
    if (length > limit) return Next::too_long;
    if (in.size() < length) return Next::more;
    message.body = in.substr(5, size - 4);
    return Next::message;
}

Next next_startup(std::string_view in, std::size_t limit, Message& message, std::size_t& length) {
    if (in.size() < 4) return Next::more;
    std::uint32_t size = read_u32(in);
    if (size < 8) return Next::malformed;
    length = size;
    if (length > limit) return Next::too_long;
    if (in.size() < length) return Next::more;
    message.type = 0;
    message.body = in.substr(4, size - 4);
    return Next::message;
}

std::optional<std::string_view> read_string(std::string_view& input) {
    std::size_t end = input.find('\0');
    if (end == std::string_view::npos) return std::nullopt;
    std::string_view text = input.substr(0, end);
    input.remove_prefix(end + 1);
    return text;
}

ErrorFields read_error(std::string_view body) {
    ErrorFields fields;
    while (!body.empty() && body[0] != '\0') {
        char type = body[0];
        body.remove_prefix(1);
        auto text = read_string(body);
        if (!text) break;
        if (type == 'S') fields.severity = *text;
        if (type == 'C') fields.code = *text;
        if (type == 'M') fields.message = *text;
    }
    return fields;
}

std::optional<std::vector<Column>> read_columns(std::string_view body) {
    if (body.size() < 2) return std::nullopt;
    std::size_t count = read_u16(body);
    body.remove_prefix(2);
    std::vector<Column> columns;
    for (std::size_t i = 0; i < count; ++i) {
        auto name = read_string(body);
        if (!name || body.size() < 18) return std::nullopt;
        columns.push_back({*name, read_u16(body.substr(16)) == 1});
        body.remove_prefix(18);
    }
    if (!body.empty()) return std::nullopt;
    return columns;
}

std::optional<std::vector<std::optional<std::string_view>>> read_values(std::string_view body) {
    if (body.size() < 2) return std::nullopt;
    std::size_t count = read_u16(body);
    body.remove_prefix(2);
    std::vector<std::optional<std::string_view>> values;
    for (std::size_t i = 0; i < count; ++i) {
        if (body.size() < 4) return std::nullopt;
        std::uint32_t size = read_u32(body);
        body.remove_prefix(4);
        if (size == 0xffffffff) {
            values.emplace_back(std::nullopt);
            continue;
        }
        if (size > body.size()) return std::nullopt;
        values.emplace_back(body.substr(0, size));
        body.remove_prefix(size);
    }
    if (!body.empty()) return std::nullopt;
    return values;
}

std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view body) {
    auto name = read_string(body);
    if (!name) return std::nullopt;
    auto value = read_string(body);
    if (!value) return std::nullopt;
    return std::pair{*name, *value};
}

}  // namespace indigovane::protocol::pg
