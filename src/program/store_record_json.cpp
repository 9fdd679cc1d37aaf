#include "program/store_record_json.hpp"

#include <nlohmann/json.hpp>

#include "store/positions.hpp"

namespace indigovane::program {

using nlohmann::ordered_json;
using store::Positions;
using store::Record;
using store::Space;

namespace {

constexpr std::size_t kSessionKeyBytes = 8;
// Bits of a session's value that hold the commit; another bit holds whether a write is open.
constexpr int kCommitBits = 62;

std::string to_hex(std::string_view bytes) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string hex;
    for (char byte : bytes) {
        hex += kDigits[std::uint8_t(byte) >> 4];
        hex += kDigits[std::uint8_t(byte) & 15];
    }
    return hex;
}

int hex_digit(char digit) {
    if (digit >= '0' && digit <= '9') return digit - '0';
    if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
    return -1;
}

std::optional<std::string> from_hex(std::string_view hex) {
    if (hex.size() % 2 != 0) return std::nullopt;
    std::string bytes;
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        int high = hex_digit(hex[i]);
        int low = hex_digit(hex[i + 1]);
        if (high < 0 || low < 0) return std::nullopt;
        bytes += char(high << 4 | low);
    }
    return bytes;
}

bool is_printable(std::string_view bytes) {
    for (char byte : bytes)
        if (std::uint8_t(byte) < 0x20 || std::uint8_t(byte) >= 0x7f) return false;
    return true;
}

ordered_json bytes_to_json(std::string_view bytes) {
    if (is_printable(bytes)) return std::string(bytes);
    return {{"hex", to_hex(bytes)}};
}

std::optional<std::string> bytes_from_json(const ordered_json& json) {
    if (json.is_string()) return json.get<std::string>();
    if (json.is_object() && json.size() == 1 && json.contains("hex") && json["hex"].is_string())
        return from_hex(json["hex"].get<std::string>());
    return std::nullopt;
}

void check_keys(const ordered_json& json) {
    for (const auto& [key, value] : json.items())
        if (key != "space" && key != "key" && key != "value" && key != "sequence" && key != "expires_ms")
            throw RecordFormatError("unknown key: expected space, key, value, sequence or expires_ms");
}

Space space_from_json(const ordered_json& json) {
    if (!json.contains("space") || !json["space"].is_string())
        throw RecordFormatError("space: expected a name");
    auto space = store::parse_space(json["space"].get<std::string>());
    if (!space) throw RecordFormatError("space: no space has this name");
    return *space;
}

std::uint64_t expiry_from_json(const ordered_json& json) {
    if (!json.contains("expires_ms")) return 0;
    if (!json["expires_ms"].is_number_unsigned())
        throw RecordFormatError("expires_ms: expected a whole number");
    return json["expires_ms"].get<std::uint64_t>();
}

bool is_session_value(const ordered_json& value) {
    return value.is_object() && value.contains("commit_us") && value["commit_us"].is_number_unsigned() &&
           value.contains("open") && value["open"].is_boolean() &&
           value["commit_us"].get<std::uint64_t>() >> kCommitBits == 0;
}

void read_session(const ordered_json& json, Record& record) {
    auto key = json["key"].is_string() ? read_session_key(json["key"].get<std::string>()) : std::nullopt;
    if (!key) throw RecordFormatError("key: expected the 16 hex digits of a session");
    const ordered_json& value = json["value"];
    if (!is_session_value(value))
        throw RecordFormatError(R"(value: expected {"commit_us": number, "open": true or false})");
    record.key = *key;
    record.value = store::encode_u64(
        Positions::encode(value["commit_us"].get<std::uint64_t>(), value["open"].get<bool>()));
}

void read_bytes(const ordered_json& json, Record& record) {
    auto key = bytes_from_json(json["key"]);
    auto value = bytes_from_json(json["value"]);
    if (!key || !value) throw RecordFormatError(R"(key and value: expected a string or {"hex": "..."})");
    if (key->size() > store::kMaxKeyBytes || value->size() > store::kMaxValueBytes)
        throw RecordFormatError("key or value: too long");
    record.key = *key;
    record.value = *value;
}

}  // namespace

std::string write_record_line(const Record& record, std::uint64_t sequence) {
    ordered_json json;
    json["space"] = store::name(record.space);
    if (record.space == Space::positions) {
        std::uint64_t value = store::decode_u64(record.value).value_or(0);
        json["key"] = to_hex(record.key);
        json["value"] = {{"commit_us", Positions::commit_us(value)},
                         {"open", Positions::has_open_write(value)}};
    } else {
        json["key"] = bytes_to_json(record.key);
        json["value"] = bytes_to_json(record.value);
    }
    json["sequence"] = sequence;
    if (record.expires_ms > 0) json["expires_ms"] = record.expires_ms;
    return json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

Record read_record_line(const std::string& line) {
    auto json = ordered_json::parse(line, nullptr, false);
    if (json.is_discarded()) throw RecordFormatError("the line is not valid JSON");
    if (!json.is_object()) throw RecordFormatError("expected a JSON object");
    check_keys(json);
    Record record;
    record.space = space_from_json(json);
    if (!json.contains("key") || !json.contains("value"))
        throw RecordFormatError("'key' and 'value' are required");
    record.expires_ms = expiry_from_json(json);
    if (record.space == Space::positions)
        read_session(json, record);
    else
        read_bytes(json, record);
    return record;
}

std::optional<std::string> read_session_key(std::string_view hex) {
    auto bytes = from_hex(hex);
    if (!bytes || bytes->size() != kSessionKeyBytes) return std::nullopt;
    return bytes;
}

}  // namespace indigovane::program
