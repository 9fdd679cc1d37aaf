// HTTP/1.1 (RFC 9112), as far as a query front, its client and the discovery watch need it. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::protocol::http {

struct Limits {
    std::size_t head = 16384;  // start line and header fields
    std::size_t body = 65536;
};

enum class Next { message, more, bad, head_too_large, body_too_large, not_implemented, bad_version };

struct Head {  // views into the bytes given to the parser
    std::vector<std::pair<std::string_view, std::string_view>> fields;
    std::optional<std::string_view> field(std::string_view name) const;  // names compare without case
};
struct Request : Head {
    std::string_view method, target;
    bool keep_alive = true;
    std::string body;
};
struct Response : Head {
    int status = 0;
    bool keep_alive = true;
    std::string body;
};

// Looks at the bytes from the front of a buffer each time more have come, and remembers how far it has
// looked for the end of the head. After `message`, `length` bytes are to be consumed.
class Parser {
  public:
    explicit Parser(Limits limits) : limits_(limits) {}
    Next request(std::string_view in, Request& out, std::size_t& length);
    // A response to HEAD, and those with status 1xx, 204 and 304, have no body. One with neither length nor
    // chunks ends with its connection: `at_end` says that it has.
    Next response(std::string_view in, bool at_end, Response& out, std::size_t& length);

  private:
    Next head(std::string_view in, std::string_view& start_line, Head& out, std::size_t& length);
    Next body(std::string_view in, std::size_t from, const Head& head, bool until_end, bool at_end,
              std::string& out, std::size_t& length);

    Limits limits_;
    std::size_t looked_ = 0;
};

struct Field {
    std::string_view name, value;
};
std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          const std::vector<Field>& fields, std::string_view body = {});
std::string write_response(int status, const std::vector<Field>& fields, std::string_view body,
                           bool keep_alive, bool omit_body = false);
std::string_view reason(int status);

// ---- targets -----------------------------------------------------------------------------------

struct Target {
    std::vector<std::string> segments;  // of the path, decoded
    std::vector<std::pair<std::string, std::string>> parameters;
    std::optional<std::string_view> parameter(std::string_view name) const;
};
std::optional<Target> read_target(std::string_view target);  // nothing: malformed
std::string percent_encode(std::string_view text);

// base64url without padding (RFC 4648, section 5): safe in a target as it stands.
std::string base64url(std::string_view bytes);
std::optional<std::string> unbase64url(std::string_view text);

}  // namespace indigovane::protocol::http
