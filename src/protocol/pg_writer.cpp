#include "protocol/pg_writer.hpp"

#include "protocol/pg_messages.hpp"

namespace indigovane::protocol::pg {

void Writer::u16(std::uint16_t v) {
    out_ += char(v >> 8);
    out_ += char(v);
}
void Writer::u32(std::uint32_t v) {
    u16(std::uint16_t(v >> 16));
    u16(std::uint16_t(v));
}
void Writer::text(std::string_view s) {
    out_ += s;
    out_ += '\0';
}
std::size_t Writer::begin(char type) {
    if (type) out_ += type;
    std::size_t at = out_.size();
    u32(0);
    return at;
}
void Writer::end(std::size_t at) {
    auto size = std::uint32_t(out_.size() - at);
    for (int i = 0; i < 4; ++i) out_[at + std::size_t(i)] = char(size >> (24 - 8 * i));
}

Writer& Writer::plain(char type, std::string_view body) {
    std::size_t at = begin(type);
    out_ += body;
    end(at);
    return *this;
}
Writer& Writer::startup(std::string_view user, std::string_view database) {
    std::size_t at = begin(0);
    u32(kVersion3);
    text("user");
    text(user);
    text("database");
    text(database);
    out_ += '\0';
    end(at);
    return *this;
}
Writer& Writer::query(std::string_view sql) {
    std::size_t at = begin('Q');
    text(sql);
    end(at);
    return *this;
}
Writer& Writer::authentication_ok() {
    std::size_t at = begin('R');
    u32(0);
    end(at);
    return *this;
}
Writer& Writer::parameter(std::string_view name, std::string_view value) {
    std::size_t at = begin('S');
    text(name);
    text(value);
    end(at);
    return *this;
}
Writer& Writer::backend_key(std::uint32_t process, std::uint32_t secret) {
    std::size_t at = begin('K');
    u32(process);
    u32(secret);
    end(at);
    return *this;
}
Writer& Writer::complete(std::string_view tag) {
    std::size_t at = begin('C');
    text(tag);
    end(at);
    return *this;
}
Writer& Writer::row_description(const std::vector<ColumnSpec>& columns) {
    std::size_t at = begin('T');
    u16(std::uint16_t(columns.size()));
    for (const ColumnSpec& column : columns) {
        text(column.name);
        u32(0);  // no table
        u16(0);
        u32(column.type);
        u16(0xffff);      // of variable size
        u32(0xffffffff);  // no modifier
        u16(column.binary ? 1 : 0);
    }
    end(at);
    return *this;
}
Writer& Writer::data_row(const std::vector<std::optional<std::string_view>>& values) {
    std::size_t at = begin('D');
    u16(std::uint16_t(values.size()));
    for (const auto& value : values) {
        u32(value ? std::uint32_t(value->size()) : 0xffffffff);
        if (value) out_ += *value;
    }
    end(at);
    return *this;
}
Writer& Writer::error(std::string_view severity, std::string_view code, std::string_view message,
                      std::string_view detail) {
    std::size_t at = begin('E');
    out_ += 'S';
    text(severity);
    out_ += 'V';
    text(severity);
    out_ += 'C';
    text(code);
    out_ += 'M';
    text(message);
    if (!detail.empty()) {
        out_ += 'D';
        text(detail);
    }
    out_ += '\0';
    end(at);
    return *this;
}

}  // namespace indigovane::protocol::pg
