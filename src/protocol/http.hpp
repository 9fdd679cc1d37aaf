// The subset of HTTP/1.1 (RFC 9112) that a query front, its client and the discovery watch need. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::protocol::http {

// Maximum sizes in bytes.
struct Limits {
    // Start line and header fields together.
    std::size_t head = 16384;
    std::size_t body = 65536;
};

// Result of parsing: a complete message, more bytes needed, or the reason why the message is rejected.
enum class Next { message, more, bad, head_too_large, body_too_large, not_implemented, bad_version };

// Header fields, as views into the bytes given to the parser.
struct Head {
    std::vector<std::pair<std::string_view, std::string_view>> fields;
    // The first field with this name, compared without regard to case.
    std::optional<std::string_view> field(std::string_view name) const;
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

// Parses the message at the front of a buffer. Called again with the same bytes and those that were added,
// until the message is complete; it remembers how far it has searched for the end of the head. After
// Next::message the caller consumes `length` bytes.
class Parser {
  public:
    explicit Parser(Limits limits) : limits_(limits) {}
    Next request(std::string_view in, Request& out, std::size_t& length);
    // Responses with status 1xx, 204 and 304 have no body. A response with neither a length nor chunks ends
    // when the connection ends; `at_end` says that it has ended. The method of the request is unknown here,
    // so a response to HEAD is treated like any other.
    Next response(std::string_view in, bool at_end, Response& out, std::size_t& length);

  private:
    Next parse_head(std::string_view in, std::string_view& start_line, Head& out, std::size_t& length);
    Next parse_body(std::string_view in, std::size_t from, const Head& head, bool until_end, bool at_end,
                    std::string& out, std::size_t& length);

    Limits limits_;
    // Number of bytes that were searched for the end of the head.
    std::size_t searched_ = 0;
};

struct Field {
    std::string_view name, value;
};
// Adds Content-Length if there is a body.
std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          const std::vector<Field>& fields, std::string_view body = {});
// Sets Content-Length to the size of `body` even if `omit_body` leaves it out, as a response to HEAD
// requires.
std::string write_response(int status, const std::vector<Field>& fields, std::string_view body,
                           bool keep_alive, bool omit_body = false);
// The reason phrase of a status code.
std::string_view reason(int status);

// ---- targets -----------------------------------------------------------------------------------

struct Target {
    // Segments of the path, percent-decoded.
    std::vector<std::string> segments;
    // Parameters of the query, percent-decoded.
    std::vector<std::pair<std::string, std::string>> parameters;
    // The first parameter with this name.
    std::optional<std::string_view> parameter(std::string_view name) const;
};
// Parses a request target in origin form. Returns nothing if it is malformed.
std::optional<Target> read_target(std::string_view target);
// Encodes all characters but the unreserved ones (RFC 3986, section 2.3).
std::string percent_encode(std::string_view text);

// base64url without padding (RFC 4648, section 5). Can stand in a request target without further encoding.
std::string base64url(std::string_view bytes);
// Returns nothing if the text is malformed or its unused bits are not zero.
std::optional<std::string> unbase64url(std::string_view text);

}  // namespace indigovane::protocol::http
