#include "protocol/pg_writer.hpp"

#include "protocol/pg_messages.hpp"

namespace indigovane::protocol::pg {

void Writer::put_u16(std::uint16_t value) {
    out_ += char(value >> 8);
    out_ += char(value);
}
void Writer::put_u32(std::uint32_t value) {
    put_u16(std::uint16_t(value >> 16));
    put_u16(std::uint16_t(value));
}
void Writer::put_string(std::string_view text) {
    out_ += text;
    out_ += '\0';
}
std::size_t Writer::begin(char type) {
    if (type) out_ += type;
    std::size_t length_position = out_.size();
    put_u32(0);
    return length_position;
}
void Writer::end(std::size_t length_position) {
    auto size = std::uint32_t(out_.size() - length_position);
    for (int i = 0; i < 4; ++i) out_[length_position + std::size_t(i)] = char(size >> (24 - 8 * i));
}

Writer& Writer::plain(char type, std::string_view body) {
    std::size_t length_position = begin(type);
    out_ += body;
    end(length_position);
    return *this;
}
Writer& Writer::startup(std::string_view user, std::string_view database) {
    std::size_t length_position = begin(0);
    put_u32(kVersion3);
    put_string("user");
    put_string(user);
    put_string("database");
    put_string(database);
    out_ += '\0';
    end(length_position);
    return *this;
}
Writer& Writer::query(std::string_view sql) {
    std::size_t length_position = begin('Q');
    put_string(sql);
    end(length_position);
    return *this;
}
Writer& Writer::authentication_ok() {
    std::size_t length_position = begin('R');
    put_u32(0);
    end(length_position);
    return *this;
}
Writer& Writer::parameter(std::string_view name, std::string_view value) {
    std::size_t length_position = begin('S');
    put_string(name);
    put_string(value);
    end(length_position);
    return *this;
}
Writer& Writer::backend_key(std::uint32_t process, std::uint32_t secret) {
    std::size_t length_position = begin('K');
    put_u32(process);
    put_u32(secret);
    end(length_position);
    return *this;
}
Writer& Writer::complete(std::string_view tag) {
    std::size_t length_position = begin('C');
    put_string(tag);
    end(length_position);
    return *this;
}
Writer& Writer::row_description(const std::vector<ColumnSpec>& columns) {
    std::size_t length_position = begin('T');
    put_u16(std::uint16_t(columns.size()));
    for (const ColumnSpec& column : columns) {
        put_string(column.name);
        put_u32(0);  // not a column of a table
        put_u16(0);
        put_u32(column.type);
        put_u16(0xffff);      // type of variable size
        put_u32(0xffffffff);  // no type modifier
        put_u16(column.binary ? 1 : 0);
    }
    end(length_position);
    return *this;
}
Writer& Writer::data_row(const std::vector<std::optional<std::string_view>>& values) {
    std::size_t length_position = begin('D');
    put_u16(std::uint16_t(values.size()));
    for (const auto& value : values) {
        put_u32(value ? std::uint32_t(value->size()) : 0xffffffff);
        if (value) out_ += *value;
    }
    end(length_position);
    return *this;
}
Writer& Writer::error(std::string_view severity, std::string_view code, std::string_view message,
                      std::string_view detail) {
    std::size_t length_position = begin('E');
    out_ += 'S';
    put_string(severity);
    out_ += 'V';
    put_string(severity);
    out_ += 'C';
    put_string(code);
    out_ += 'M';
    put_string(message);
    if (!detail.empty()) {
        out_ += 'D';
        put_string(detail);
    }
    out_ += '\0';
    end(length_position);
    return *this;
}

}  // namespace indigovane::protocol::pg
