#include "protocol/syslog.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <ctime>

namespace indigovane::protocol::syslog {
namespace {

constexpr std::string_view kBom = "\xEF\xBB\xBF";

bool is_printable(char c) {
    return c > 32 && c < 127;
}
bool is_name_character(char c) {
    return is_printable(c) && c != '=' && c != ']' && c != '"';
}

// Writes a header field of at most `max_length` characters.
std::string header_field(std::string_view text, std::size_t max_length) {
    if (text.empty()) return "-";
    std::string out(text.substr(0, max_length));
    std::replace_if(
        out.begin(), out.end(), [](char c) { return !is_printable(c); }, '_');
    return out;
}

// Writes an SD-NAME of at most 32 characters.
std::string structured_data_name(std::string_view text) {
    std::string out(text.empty() ? "_" : text.substr(0, 32));
    std::replace_if(
        out.begin(), out.end(), [](char c) { return !is_name_character(c); }, '_');
    return out;
}

// Reads from the front of a text.
struct Cursor {
    std::string_view remaining;
    bool skip(char c) {
        if (remaining.empty() || remaining[0] != c) return false;
        remaining.remove_prefix(1);
        return true;
    }
    // Reads a text that is not empty, and the space that must follow it.
    std::optional<std::string_view> until_space() {
        std::size_t end = remaining.find(' ');
        if (end == 0 || end == std::string_view::npos) return std::nullopt;
        std::string_view text = remaining.substr(0, end);
        remaining.remove_prefix(end + 1);
        return text;
    }
    // Reads a header field. The nil value "-" is read as an empty text.
    std::optional<std::string> header(std::size_t max_length) {
        auto text = until_space();
        if (!text || text->size() > max_length || !std::all_of(text->begin(), text->end(), is_printable))
            return std::nullopt;
        return *text == "-" ? std::string() : std::string(*text);
    }
    std::optional<std::string> sd_name() {
        std::size_t count = 0;
        while (count < remaining.size() && is_name_character(remaining[count])) ++count;
        if (count == 0 || count > 32) return std::nullopt;
        std::string text(remaining.substr(0, count));
        remaining.remove_prefix(count);
        return text;
    }
    std::optional<std::string> parameter_value() {
        if (!skip('"')) return std::nullopt;
        std::string text;
        while (!remaining.empty()) {
            char c = remaining[0];
            remaining.remove_prefix(1);
            if (c == '"') return text;
            if (c == ']') return std::nullopt;  // ']' must be escaped
            if (c == '\\' && !remaining.empty() &&
                std::string_view("\"\\]").find(remaining[0]) != std::string_view::npos) {
                c = remaining[0];
                remaining.remove_prefix(1);
            }
            text += c;
        }
        return std::nullopt;
    }
};

}  // namespace

std::string write(const Message& m) {
    std::string out(1, '<');
    out += std::to_string(std::clamp(m.facility, 0, 23) * 8 + int(m.severity));
    out += ">1 ";
    for (const auto& [text, max_length] :
         {std::pair{&m.timestamp, 32}, {&m.host, 255}, {&m.app, 48}, {&m.process, 128}, {&m.id, 32}}) {
        out += header_field(*text, std::size_t(max_length));
        out += ' ';
    }
    if (m.data.empty()) out += '-';
    for (const Element& e : m.data) {
        out += '[';
        out += structured_data_name(e.id);
        for (const auto& [n, v] : e.parameters) {
            out += ' ';
            out += structured_data_name(n);
            out += "=\"";
            for (char c : v) {
                if (c == '"' || c == '\\' || c == ']') out += '\\';
                out += c;
            }
            out += '"';
        }
        out += ']';
    }
    if (!m.text.empty()) {
        out += ' ';
        bool ascii = std::all_of(m.text.begin(), m.text.end(), [](char c) { return std::uint8_t(c) < 128; });
        if (!ascii) out += kBom;
        out += m.text;
    }
    return out;
}

std::optional<Message> read(std::string_view line) {
    Message m;
    Cursor cursor{line};
    if (!cursor.skip('<')) return std::nullopt;
    std::size_t close = cursor.remaining.find('>');
    if (close == std::string_view::npos || close == 0 || close > 3) return std::nullopt;
    int priority = 0;
    auto [end, error] = std::from_chars(cursor.remaining.data(), cursor.remaining.data() + close, priority);
    if (error != std::errc() || end != cursor.remaining.data() + close || priority < 0 || priority > 191)
        return std::nullopt;
    if (close > 1 && cursor.remaining[0] == '0') return std::nullopt;  // no leading zeros
    cursor.remaining.remove_prefix(close + 1);
    m.facility = priority / 8;
    m.severity = Severity(priority % 8);
    if (cursor.until_space() != "1") return std::nullopt;
    auto timestamp = cursor.header(32), host = cursor.header(255), app = cursor.header(48),
         process = cursor.header(128), id = cursor.header(32);
    if (!timestamp || !host || !app || !process || !id) return std::nullopt;
    m.timestamp = *timestamp, m.host = *host, m.app = *app, m.process = *process, m.id = *id;
    if (!cursor.skip('-')) {
        if (cursor.remaining.empty() || cursor.remaining[0] != '[') return std::nullopt;
        while (cursor.skip('[')) {
            Element e;
            auto element = cursor.sd_name();
            if (!element) return std::nullopt;
            e.id = *element;
            while (cursor.skip(' ')) {
                auto n = cursor.sd_name();
                if (!n || !cursor.skip('=')) return std::nullopt;
                auto v = cursor.parameter_value();
                if (!v) return std::nullopt;
                e.parameters.emplace_back(*n, *v);
            }
            if (!cursor.skip(']')) return std::nullopt;
            m.data.push_back(std::move(e));
        }
    }
    if (cursor.remaining.empty()) return m;
    if (!cursor.skip(' ')) return std::nullopt;
    if (cursor.remaining.substr(0, 3) == kBom) cursor.remaining.remove_prefix(3);
    m.text = cursor.remaining;
    return m;
}

std::string timestamp(std::int64_t unix_micros) {
    std::int64_t seconds = unix_micros / 1000000, micros = unix_micros % 1000000;
    if (micros < 0) micros += 1000000, --seconds;
    auto time = std::time_t(seconds);
    std::tm utc{};
    gmtime_r(&time, &utc);
    char date[32], text[48];
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &utc);
    std::snprintf(text, sizeof text, "%s.%06dZ", date, int(micros));
    return text;
}

std::string frame(std::string_view message) {
    return std::to_string(message.size()) + " " + std::string(message);
}

Next next_frame(std::string_view in, std::size_t limit, std::string_view& message, std::size_t& length) {
    std::size_t space = in.find(' ');
    if (space == std::string_view::npos) space = in.size();
    std::size_t size = 0;
    auto [end, error] = std::from_chars(in.data(), in.data() + space, size);
    if (space > 0 && (error != std::errc() || end != in.data() + space || in[0] == '0'))
        return Next::malformed;
    if (size > limit || space > 9) return Next::malformed;
    if (space == in.size()) return Next::more;
    if (space == 0) return Next::malformed;
    if (in.size() - space - 1 < size) return Next::more;
    message = in.substr(space + 1, size);
    length = space + 1 + size;
    return Next::message;
}

}  // namespace indigovane::protocol::syslog
