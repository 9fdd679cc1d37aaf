// Appends messages of PostgreSQL's wire protocol, version 3, to a string. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::protocol::pg {

class Writer {
  public:
    Writer& startup(std::string_view user, std::string_view database);
    Writer& query(std::string_view sql);
    Writer& authentication_ok();
    // ParameterStatus.
    Writer& parameter(std::string_view name, std::string_view value);
    // BackendKeyData.
    Writer& backend_key(std::uint32_t process, std::uint32_t secret);
    // ReadyForQuery, outside a transaction.
    Writer& ready() { return plain('Z', "I"); }
    Writer& empty_query() { return plain('I', ""); }
    // CommandComplete.
    Writer& complete(std::string_view tag);
    struct ColumnSpec {
        std::string_view name;
        // Object id of the data type.
        std::uint32_t type;
        // Whether the format is binary and not text.
        bool binary;
    };
    Writer& row_description(const std::vector<ColumnSpec>& columns);
    // A null value is std::nullopt.
    Writer& data_row(const std::vector<std::optional<std::string_view>>& values);
    // ErrorResponse. An empty detail is left out.
    Writer& error(std::string_view severity, std::string_view code, std::string_view message,
                  std::string_view detail = {});
    // A message with the given type byte and body.
    Writer& plain(char type, std::string_view body);

    // Returns all bytes written so far and empties the writer.
    std::string take() { return std::move(out_); }

  private:
    // Starts a message, without a type byte if `type` is 0. Returns the position of its length field.
    std::size_t begin(char type);
    // Fills in the length field at `length_position`.
    void end(std::size_t length_position);
    void put_u16(std::uint16_t value);
    void put_u32(std::uint32_t value);
    // Writes the text and a NUL.
    void put_string(std::string_view text);

    std::string out_;
};

}  // namespace indigovane::protocol::pg
