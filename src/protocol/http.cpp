#include "protocol/http.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace indigovane::protocol::http {
namespace {

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(std::uint8_t(x)) == std::tolower(std::uint8_t(y));
    });
}

std::string_view trim(std::string_view s) {
    while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
    while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
    return s;
}

bool is_token(std::string_view s) {
    return !s.empty() && std::all_of(s.begin(), s.end(), [](char c) {
        return std::isalnum(std::uint8_t(c)) ||
               std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
    });
}

bool has_option(std::string_view list, std::string_view option) {
    while (!list.empty()) {
        std::size_t comma = list.find(',');
        if (equal_ignoring_case(trim(list.substr(0, comma)), option)) return true;
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
    return false;
}

// Accepts "HTTP/1.1" and "HTTP/1.0".
std::optional<int> minor_version(std::string_view v) {
    if (v == "HTTP/1.1") return 1;
    if (v == "HTTP/1.0") return 0;
    return std::nullopt;
}

bool keeps_alive(const Head& head, int minor) {
    auto connection = head.field("connection");
    if (connection && has_option(*connection, "close")) return false;
    return minor == 1 || (connection && has_option(*connection, "keep-alive"));
}

std::optional<std::size_t> parse_number(std::string_view s, int base) {
    std::size_t value = 0;
    auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value, base);
    if (error != std::errc() || end != s.data() + s.size() || s.empty()) return std::nullopt;
    return value;
}

// The value of a hexadecimal digit; -1 for other characters.
int hex_digit_value(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
}

std::optional<std::string> percent_decode(std::string_view s, bool plus_is_space) {
    std::string out;
    for (std::size_t i = 0; i < s.size(); ++i) {
        if (s[i] == '%') {
            int high = i + 2 < s.size() ? hex_digit_value(s[i + 1]) : -1,
                low = i + 2 < s.size() ? hex_digit_value(s[i + 2]) : -1;
            if (high < 0 || low < 0) return std::nullopt;
            out += char(high * 16 + low);
            i += 2;
        } else {
            out += plus_is_space && s[i] == '+' ? ' ' : s[i];
        }
    }
    return out;
}

}  // namespace

std::optional<std::string_view> Head::field(std::string_view name) const {
    for (const auto& [n, v] : fields)
        if (equal_ignoring_case(n, name)) return v;
    return std::nullopt;
}

Next Parser::parse_head(std::string_view in, std::string_view& start_line, Head& out, std::size_t& length) {
    // Empty lines before a message are skipped (RFC 9112, section 2.2).
    std::size_t skipped = 0;
    while (in.substr(skipped, 2) == "\r\n" && skipped < 16) skipped += 2;
    std::size_t from = std::max(skipped, searched_ < 3 ? 0 : searched_ - 3);
    std::size_t end = in.find("\r\n\r\n", from);
    if (end == std::string_view::npos) {
        searched_ = in.size();
        return in.size() > limits_.head ? Next::head_too_large : Next::more;
    }
    if (end > limits_.head) return Next::head_too_large;
    std::string_view text = in.substr(skipped, end - skipped);
    std::size_t line_end = text.find("\r\n");
    start_line = text.substr(0, line_end);
    text = line_end == std::string_view::npos ? std::string_view{} : text.substr(line_end + 2);
    out.fields.clear();
    while (!text.empty()) {
        line_end = text.find("\r\n");
        std::string_view line = text.substr(0, line_end);
        text = line_end == std::string_view::npos ? std::string_view{} : text.substr(line_end + 2);
        std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return Next::bad;
        std::string_view value = trim(line.substr(colon + 1));
        if (value.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos) return Next::bad;
        out.fields.emplace_back(line.substr(0, colon), value);
    }
    length = end + 4;
    return Next::message;
}

Next Parser::parse_body(std::string_view in, std::size_t from, const Head& head, bool until_end, bool at_end,
                        std::string& out, std::size_t& length) {
    out.clear();
    auto transfer_coding = head.field("transfer-encoding");
    auto content_length = head.field("content-length");
    if (transfer_coding) {
        if (content_length)
            return Next::bad;  // other recipients may choose the other framing (RFC 9112, 6.3)
        if (!equal_ignoring_case(*transfer_coding, "chunked")) return Next::not_implemented;
        std::size_t at = from;
        for (;;) {
            std::size_t line_end = in.find("\r\n", at);
            if (line_end == std::string_view::npos) return in.size() - at > 256 ? Next::bad : Next::more;
            std::string_view line = in.substr(at, line_end - at);
            auto chunk_size = parse_number(trim(line.substr(0, line.find(';'))), 16);
            if (!chunk_size) return Next::bad;
            if (*chunk_size > limits_.body - out.size()) return Next::body_too_large;
            at = line_end + 2;
            if (*chunk_size == 0) break;
            if (in.size() < at + *chunk_size + 2) return Next::more;
            out += in.substr(at, *chunk_size);
            if (in.substr(at + *chunk_size, 2) != "\r\n") return Next::bad;
            at += *chunk_size + 2;
        }
        // Trailer fields are skipped: no caller uses them.
        for (;;) {
            std::size_t line_end = in.find("\r\n", at);
            if (line_end == std::string_view::npos)
                return in.size() - at > limits_.head ? Next::head_too_large : Next::more;
            bool is_last_line = line_end == at;
            at = line_end + 2;
            if (is_last_line) break;
        }
        length = at;
        return Next::message;
    }
    if (content_length) {
        auto field_count = std::size_t(std::count_if(head.fields.begin(), head.fields.end(), [](auto& f) {
            return equal_ignoring_case(f.first, "content-length");
        }));
        auto count = parse_number(*content_length, 10);
        if (!count || field_count != 1) return Next::bad;
        if (*count > limits_.body) return Next::body_too_large;
        if (in.size() - from < *count) return Next::more;
        out = in.substr(from, *count);
        length = from + *count;
        return Next::message;
    }
    if (until_end) {
        if (in.size() - from > limits_.body) return Next::body_too_large;
        if (!at_end) return Next::more;
        out = in.substr(from);
        length = in.size();
        return Next::message;
    }
    length = from;
    return Next::message;
}

Next Parser::request(std::string_view in, Request& out, std::size_t& length) {
    std::string_view line;
    Next next = parse_head(in, line, out, length);
    if (next != Next::message) return next;
    std::size_t first = line.find(' '), last = line.rfind(' ');
    if (first == std::string_view::npos || first == last) return Next::bad;
    out.method = line.substr(0, first);
    out.target = line.substr(first + 1, last - first - 1);
    std::string_view version = line.substr(last + 1);
    if (!is_token(out.method) || out.target.empty() || out.target.find(' ') != std::string_view::npos)
        return Next::bad;
    auto minor = minor_version(version);
    if (!minor) return version.substr(0, 5) == "HTTP/" ? Next::bad_version : Next::bad;
    auto host_count = std::count_if(out.fields.begin(), out.fields.end(),
                                    [](auto& f) { return equal_ignoring_case(f.first, "host"); });
    if (host_count > 1 || (*minor == 1 && host_count == 0)) return Next::bad;
    out.keep_alive = keeps_alive(out, *minor);
    next = parse_body(in, length, out, false, false, out.body, length);
    if (next == Next::message) searched_ = 0;
    return next;
}

Next Parser::response(std::string_view in, bool at_end, Response& out, std::size_t& length) {
    std::string_view line;
    Next next = parse_head(in, line, out, length);
    if (next != Next::message) return next;
    auto minor = minor_version(line.substr(0, 8));
    std::size_t status = line.size() >= 12 ? parse_number(line.substr(9, 3), 10).value_or(0) : 0;
    if (!minor || line[8] != ' ' || status < 100) return Next::bad;
    out.status = int(status);
    out.keep_alive = keeps_alive(out, *minor);
    if (out.status < 200 || out.status == 204 || out.status == 304) {
        out.body.clear();
        searched_ = 0;
        return Next::message;
    }
    bool is_framed = out.field("content-length") || out.field("transfer-encoding");
    if (!is_framed) out.keep_alive = false;
    next = parse_body(in, length, out, !is_framed, at_end, out.body, length);
    if (next == Next::message) searched_ = 0;
    return next;
}

std::string_view reason(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 204:
            return "No Content";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 409:
            return "Conflict";
        case 412:
            return "Precondition Failed";
        case 413:
            return "Content Too Large";
        case 421:
            return "Misdirected Request";
        case 431:
            return "Request Header Fields Too Large";
        case 500:
            return "Internal Server Error";
        case 501:
            return "Not Implemented";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        case 505:
            return "HTTP Version Not Supported";
        default:
            return "Unknown";
    }
}

std::string write_request(std::string_view method, std::string_view target, std::string_view host,
                          const std::vector<Field>& fields, std::string_view body) {
    std::string out;
    out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
    for (const Field& f : fields) out.append(f.name).append(": ").append(f.value).append("\r\n");
    if (!body.empty()) out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    return out.append("\r\n").append(body);
}

std::string write_response(int status, const std::vector<Field>& fields, std::string_view body,
                           bool keep_alive, bool omit_body) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out.append(reason(status)).append("\r\n");
    for (const Field& f : fields) out.append(f.name).append(": ").append(f.value).append("\r\n");
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    if (!keep_alive) out += "Connection: close\r\n";
    out += "\r\n";
    if (!omit_body) out += body;
    return out;
}

// ---- targets -----------------------------------------------------------------------------------

std::optional<std::string_view> Target::parameter(std::string_view name) const {
    for (const auto& [n, v] : parameters)
        if (n == name) return v;
    return std::nullopt;
}

std::optional<Target> read_target(std::string_view target) {
    Target out;
    if (target.empty() || target[0] != '/') return std::nullopt;
    std::size_t question = target.find('?');
    std::string_view path = target.substr(1, question == std::string_view::npos ? question : question - 1);
    std::string_view query =
        question == std::string_view::npos ? std::string_view{} : target.substr(question + 1);
    while (!path.empty()) {
        std::size_t slash = path.find('/');
        auto segment = percent_decode(path.substr(0, slash), false);
        if (!segment) return std::nullopt;
        out.segments.push_back(std::move(*segment));
        path = slash == std::string_view::npos ? std::string_view{} : path.substr(slash + 1);
    }
    while (!query.empty()) {
        std::size_t end = query.find('&');
        std::string_view part = query.substr(0, end);
        query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
        if (part.empty()) continue;
        std::size_t equals = part.find('=');
        auto name = percent_decode(part.substr(0, equals), true);
        auto value = percent_decode(
            equals == std::string_view::npos ? std::string_view{} : part.substr(equals + 1), true);
        if (!name || !value) return std::nullopt;
        out.parameters.emplace_back(std::move(*name), std::move(*value));
    }
    return out;
}

std::string percent_encode(std::string_view text) {
    static constexpr char kDigits[] = "0123456789ABCDEF";
    std::string out;
    for (char c : text) {
        if (std::isalnum(std::uint8_t(c)) || std::string_view("-._~").find(c) != std::string_view::npos) {
            out += c;
        } else {
            out += '%';
            out += kDigits[std::uint8_t(c) >> 4];
            out += kDigits[std::uint8_t(c) & 15];
        }
    }
    return out;
}

namespace {
constexpr std::string_view kBase64Url = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
}

std::string base64url(std::string_view bytes) {
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (char c : bytes) {
        bits = bits << 8 | std::uint8_t(c);
        for (count += 8; count >= 6; count -= 6) out += kBase64Url[bits >> (count - 6) & 63];
    }
    if (count > 0) out += kBase64Url[bits << (6 - count) & 63];
    return out;
}

std::optional<std::string> unbase64url(std::string_view text) {
    if (text.size() % 4 == 1) return std::nullopt;
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (char c : text) {
        std::size_t value = kBase64Url.find(c);
        if (value == std::string_view::npos) return std::nullopt;
        bits = bits << 6 | std::uint32_t(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += char(bits >> count);
        }
    }
    if (count > 0 && (bits & ((1u << count) - 1))) return std::nullopt;  // each value has only one encoding
    return out;
}

}  // namespace indigovane::protocol::http
