// Writes messages of PostgreSQL's wire protocol, version 3, one after the other into one string. No I/O.
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
    Writer& parameter(std::string_view name, std::string_view value);
    Writer& backend_key(std::uint32_t process, std::uint32_t secret);
    Writer& ready() { return plain('Z', "I"); }
    Writer& empty_query() { return plain('I', ""); }
    Writer& complete(std::string_view tag);
    struct ColumnSpec {
        std::string_view name;
        std::uint32_t type;
        bool binary;
    };
    Writer& row_description(const std::vector<ColumnSpec>& columns);
    Writer& data_row(const std::vector<std::optional<std::string_view>>& values);
    Writer& error(std::string_view severity, std::string_view code, std::string_view message,
                  std::string_view detail = {});
    Writer& plain(char type, std::string_view body);

    // All that was written so far; the writer is empty afterwards.
    std::string take() { return std::move(out_); }

  private:
    std::size_t begin(char type);
    void end(std::size_t at);
    void u16(std::uint16_t v);
    void u32(std::uint32_t v);
    void text(std::string_view s);

    std::string out_;
};

}  // namespace indigovane::protocol::pg
