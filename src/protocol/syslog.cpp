#include "protocol/syslog.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <ctime>

namespace indigovane::protocol::syslog {
namespace {

constexpr std::string_view kBom = "\xEF\xBB\xBF";

bool printable(char c) {
    return c > 32 && c < 127;
}
bool name_character(char c) {
    return printable(c) && c != '=' && c != ']' && c != '"';
}

std::string field(std::string_view text, std::size_t most) {
    if (text.empty()) return "-";
    std::string out(text.substr(0, most));
    std::replace_if(
        out.begin(), out.end(), [](char c) { return !printable(c); }, '_');
    return out;
}

std::string name(std::string_view text) {
    std::string out(text.empty() ? "_" : text.substr(0, 32));
    std::replace_if(
        out.begin(), out.end(), [](char c) { return !name_character(c); }, '_');
    return out;
}

// Reads from the front of a text.
struct Cursor {
    std::string_view rest;
    bool skip(char c) {
        if (rest.empty() || rest[0] != c) return false;
        rest.remove_prefix(1);
        return true;
    }
    std::optional<std::string_view> until_space() {
        std::size_t end = rest.find(' ');
        if (end == 0 || end == std::string_view::npos) return std::nullopt;
        std::string_view text = rest.substr(0, end);
        rest.remove_prefix(end + 1);
        return text;
    }
    std::optional<std::string> header(std::size_t most) {
        auto text = until_space();
        if (!text || text->size() > most || !std::all_of(text->begin(), text->end(), printable))
            return std::nullopt;
        return *text == "-" ? std::string() : std::string(*text);
    }
    std::optional<std::string> sd_name() {
        std::size_t count = 0;
        while (count < rest.size() && name_character(rest[count])) ++count;
        if (count == 0 || count > 32) return std::nullopt;
        std::string text(rest.substr(0, count));
        rest.remove_prefix(count);
        return text;
    }
    std::optional<std::string> value() {
        if (!skip('"')) return std::nullopt;
        std::string text;
        while (!rest.empty()) {
            char c = rest[0];
            rest.remove_prefix(1);
            if (c == '"') return text;
            if (c == ']') return std::nullopt;  // must be escaped
            if (c == '\\' && !rest.empty() &&
                std::string_view("\"\\]").find(rest[0]) != std::string_view::npos) {
                c = rest[0];
                rest.remove_prefix(1);
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
    for (const auto& [text, most] :
         {std::pair{&m.timestamp, 32}, {&m.host, 255}, {&m.app, 48}, {&m.process, 128}, {&m.id, 32}}) {
        out += field(*text, std::size_t(most));
        out += ' ';
    }
    if (m.data.empty()) out += '-';
    for (const Element& e : m.data) {
        out += '[';
        out += name(e.id);
        for (const auto& [n, v] : e.parameters) {
            out += ' ';
            out += name(n);
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
    Cursor c{line};
    if (!c.skip('<')) return std::nullopt;
    std::size_t close = c.rest.find('>');
    if (close == std::string_view::npos || close == 0 || close > 3) return std::nullopt;
    int priority = 0;
    auto [end, error] = std::from_chars(c.rest.data(), c.rest.data() + close, priority);
    if (error != std::errc() || end != c.rest.data() + close || priority < 0 || priority > 191)
        return std::nullopt;
    if (close > 1 && c.rest[0] == '0') return std::nullopt;  // no leading zeros
    c.rest.remove_prefix(close + 1);
    m.facility = priority / 8;
    m.severity = Severity(priority % 8);
    if (c.until_space() != "1") return std::nullopt;
    auto timestamp = c.header(32), host = c.header(255), app = c.header(48), process = c.header(128),
         id = c.header(32);
    if (!timestamp || !host || !app || !process || !id) return std::nullopt;
    m.timestamp = *timestamp, m.host = *host, m.app = *app, m.process = *process, m.id = *id;
    if (!c.skip('-')) {
        if (c.rest.empty() || c.rest[0] != '[') return std::nullopt;
        while (c.skip('[')) {
            Element e;
            auto element = c.sd_name();
            if (!element) return std::nullopt;
            e.id = *element;
            while (c.skip(' ')) {
                auto n = c.sd_name();
                if (!n || !c.skip('=')) return std::nullopt;
                auto v = c.value();
                if (!v) return std::nullopt;
                e.parameters.emplace_back(*n, *v);
            }
            if (!c.skip(']')) return std::nullopt;
            m.data.push_back(std::move(e));
        }
    }
    if (c.rest.empty()) return m;
    if (!c.skip(' ')) return std::nullopt;
    if (c.rest.substr(0, 3) == kBom) c.rest.remove_prefix(3);
    m.text = c.rest;
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
