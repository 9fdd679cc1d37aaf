#include "adapters/rest.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "protocol/http.hpp"
#include "protocol/pg.hpp"

namespace indigovane::adapters::rest {

namespace http = protocol::http;
using routing::Row;

namespace {

constexpr char kCursorVersion = 1;
constexpr std::size_t kChecksumBytes = 8;

// FNV-1a over the query's parts and `after`. Each part is preceded by its length, so that no two different
// lists of parts give the same bytes.
std::uint64_t checksum(const Query& query, std::string_view after) {
    std::uint64_t hash = 14695981039346656037u;
    auto add = [&](std::string_view text) {
        for (char c : text) hash = (hash ^ std::uint8_t(c)) * 1099511628211u;
    };
    std::string group = std::to_string(query.group);
    for (std::string_view part :
         {std::string_view(query.class_name), std::string_view(query.session), std::string_view(query.tenant),
          std::string_view(query.prefix), std::string_view(group), after}) {
        add(std::to_string(part.size()) + ":");
        add(part);
    }
    return hash;
}

std::string little_endian(std::uint64_t value) {
    std::string out;
    for (std::size_t i = 0; i < kChecksumBytes; ++i) out += char(value >> (8 * i));
    return out;
}

}  // namespace

std::string write_cursor(const Query& query, std::string_view after) {
    std::string bytes(1, kCursorVersion);
    bytes += little_endian(checksum(query, after));
    bytes += after;
    return http::base64url(bytes);
}

std::optional<std::string> read_cursor(const Query& query, std::string_view cursor) {
    auto bytes = http::unbase64url(cursor);
    if (!bytes || bytes->size() <= 1 + kChecksumBytes || (*bytes)[0] != kCursorVersion) return std::nullopt;
    std::string after = bytes->substr(1 + kChecksumBytes);
    if (bytes->substr(1, kChecksumBytes) != little_endian(checksum(query, after))) return std::nullopt;
    return after;
}

// RFC 4648: base64 and base64url differ in two characters and in the padding.
std::string base64(std::string_view bytes) {
    std::string out = http::base64url(bytes);
    std::replace(out.begin(), out.end(), '-', '+');
    std::replace(out.begin(), out.end(), '_', '/');
    while (out.size() % 4) out += '=';
    return out;
}

std::optional<std::string> unbase64(std::string_view text) {
    if (text.size() % 4) return std::nullopt;
    for (int i = 0; i < 2 && !text.empty() && text.back() == '='; ++i) text.remove_suffix(1);
    std::string url_safe(text);
    if (url_safe.find_first_of("-_") != std::string::npos) return std::nullopt;
    std::replace(url_safe.begin(), url_safe.end(), '+', '-');
    std::replace(url_safe.begin(), url_safe.end(), '/', '_');
    return http::unbase64url(url_safe);
}

nlohmann::json write_rows(const std::vector<Row>& rows) {
    nlohmann::json items = nlohmann::json::array();
    for (const Row& row : rows) items.push_back({{"name", row.name}, {"content", base64(row.content)}});
    return items;
}

std::optional<std::vector<Row>> read_rows(const std::string& body) {
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("items") || !json["items"].is_array()) return std::nullopt;
    std::vector<Row> rows;
    for (const auto& item : json["items"]) {
        if (!item.is_object() || !item.contains("name") || !item["name"].is_string() ||
            !item.contains("content") || !item["content"].is_string())
            return std::nullopt;
        auto content = unbase64(item["content"].get_ref<const std::string&>());
        if (!content) return std::nullopt;
        rows.push_back({item["name"].get<std::string>(), std::move(*content)});
    }
    return rows;
}

std::string raw_content(const std::string& content, bool binary) {
    if (binary) return content;
    auto bytes = protocol::pg::unhex(content);
    return bytes ? *bytes : content;
}

}  // namespace indigovane::adapters::rest
