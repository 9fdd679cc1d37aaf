#include "protocol/pg.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace indigovane::protocol::pg {
namespace {

std::uint16_t read_u16(std::string_view b) {
    return b.size() < 2 ? 0 : std::uint16_t(std::uint8_t(b[0]) << 8 | std::uint8_t(b[1]));
}

bool blank(char c) {
    return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f';
}

std::string_view trim(std::string_view s) {
    while (!s.empty() && blank(s.front())) s.remove_prefix(1);
    while (!s.empty() && blank(s.back())) s.remove_suffix(1);
    return s;
}

}  // namespace

std::uint32_t read_u32(std::string_view b) {
    if (b.size() < 4) return 0;
    return std::uint32_t(std::uint8_t(b[0])) << 24 | std::uint32_t(std::uint8_t(b[1])) << 16 |
           std::uint32_t(std::uint8_t(b[2])) << 8 | std::uint32_t(std::uint8_t(b[3]));
}

Next next_message(std::string_view in, std::size_t limit, Message& message, std::size_t& length) {
    if (in.size() < 5) return Next::more;
    std::uint32_t size = read_u32(in.substr(1));
    if (size < 4 || size > 0x3fffffff) return Next::malformed;
    length = std::size_t(size) + 1;
    message.type = in[0];
    if (length > limit) return Next::too_long;
    if (in.size() < length) return Next::more;
    message.body = in.substr(5, size - 4);
    return Next::message;
}

Next next_startup(std::string_view in, std::size_t limit, Message& message, std::size_t& length) {
    if (in.size() < 4) return Next::more;
    std::uint32_t size = read_u32(in);
    if (size < 8) return Next::malformed;
    length = size;
    if (length > limit) return Next::too_long;
    if (in.size() < length) return Next::more;
    message.type = 0;
    message.body = in.substr(4, size - 4);
    return Next::message;
}

std::optional<std::string_view> read_string(std::string_view& rest) {
    std::size_t end = rest.find('\0');
    if (end == std::string_view::npos) return std::nullopt;
    std::string_view text = rest.substr(0, end);
    rest.remove_prefix(end + 1);
    return text;
}

ErrorFields read_error(std::string_view body) {
    ErrorFields fields;
    while (!body.empty() && body[0] != '\0') {
        char type = body[0];
        body.remove_prefix(1);
        auto text = read_string(body);
        if (!text) break;
        if (type == 'S') fields.severity = *text;
        if (type == 'C') fields.code = *text;
        if (type == 'M') fields.message = *text;
    }
    return fields;
}

std::optional<std::vector<Column>> read_columns(std::string_view body) {
    if (body.size() < 2) return std::nullopt;
    std::size_t count = read_u16(body);
    body.remove_prefix(2);
    std::vector<Column> columns;
    for (std::size_t i = 0; i < count; ++i) {
        auto name = read_string(body);
        if (!name || body.size() < 18) return std::nullopt;
        columns.push_back({*name, read_u16(body.substr(16)) == 1});
        body.remove_prefix(18);
    }
    if (!body.empty()) return std::nullopt;
    return columns;
}

std::optional<std::vector<std::optional<std::string_view>>> read_values(std::string_view body) {
    if (body.size() < 2) return std::nullopt;
    std::size_t count = read_u16(body);
    body.remove_prefix(2);
    std::vector<std::optional<std::string_view>> values;
    for (std::size_t i = 0; i < count; ++i) {
        if (body.size() < 4) return std::nullopt;
        std::uint32_t size = read_u32(body);
        body.remove_prefix(4);
        if (size == 0xffffffff) {
            values.emplace_back(std::nullopt);
            continue;
        }
        if (size > body.size()) return std::nullopt;
        values.emplace_back(body.substr(0, size));
        body.remove_prefix(size);
    }
    if (!body.empty()) return std::nullopt;
    return values;
}

std::optional<std::pair<std::string_view, std::string_view>> read_parameter(std::string_view body) {
    auto name = read_string(body);
    if (!name) return std::nullopt;
    auto value = read_string(body);
    if (!value) return std::nullopt;
    return std::pair{*name, *value};
}

// ---- writing -----------------------------------------------------------------------------------

void Writer::u16(std::uint16_t v) {
    out_ += char(v >> 8);
    out_ += char(v);
}
void Writer::u32(std::uint32_t v) {
    u16(std::uint16_t(v >> 16));
    u16(std::uint16_t(v));
}
void Writer::text(std::string_view s) {
    out_ += s;
    out_ += '\0';
}
std::size_t Writer::begin(char type) {
    if (type) out_ += type;
    std::size_t at = out_.size();
    u32(0);
    return at;
}
void Writer::end(std::size_t at) {
    auto size = std::uint32_t(out_.size() - at);
    for (int i = 0; i < 4; ++i) out_[at + std::size_t(i)] = char(size >> (24 - 8 * i));
}

Writer& Writer::plain(char type, std::string_view body) {
    std::size_t at = begin(type);
    out_ += body;
    end(at);
    return *this;
}
Writer& Writer::startup(std::string_view user, std::string_view database) {
    std::size_t at = begin(0);
    u32(kVersion3);
    text("user");
    text(user);
    text("database");
    text(database);
    out_ += '\0';
    end(at);
    return *this;
}
Writer& Writer::query(std::string_view sql) {
    std::size_t at = begin('Q');
    text(sql);
    end(at);
    return *this;
}
Writer& Writer::authentication_ok() {
    std::size_t at = begin('R');
    u32(0);
    end(at);
    return *this;
}
Writer& Writer::parameter(std::string_view name, std::string_view value) {
    std::size_t at = begin('S');
    text(name);
    text(value);
    end(at);
    return *this;
}
Writer& Writer::backend_key(std::uint32_t process, std::uint32_t secret) {
    std::size_t at = begin('K');
    u32(process);
    u32(secret);
    end(at);
    return *this;
}
Writer& Writer::complete(std::string_view tag) {
    std::size_t at = begin('C');
    text(tag);
    end(at);
    return *this;
}
Writer& Writer::row_description(const std::vector<ColumnSpec>& columns) {
    std::size_t at = begin('T');
    u16(std::uint16_t(columns.size()));
    for (const ColumnSpec& column : columns) {
        text(column.name);
        u32(0);  // no table
        u16(0);
        u32(column.type);
        u16(0xffff);      // of variable size
        u32(0xffffffff);  // no modifier
        u16(column.binary ? 1 : 0);
    }
    end(at);
    return *this;
}
Writer& Writer::data_row(const std::vector<std::optional<std::string_view>>& values) {
    std::size_t at = begin('D');
    u16(std::uint16_t(values.size()));
    for (const auto& value : values) {
        u32(value ? std::uint32_t(value->size()) : 0xffffffff);
        if (value) out_ += *value;
    }
    end(at);
    return *this;
}
Writer& Writer::error(std::string_view severity, std::string_view code, std::string_view message,
                      std::string_view detail) {
    std::size_t at = begin('E');
    out_ += 'S';
    text(severity);
    out_ += 'V';
    text(severity);
    out_ += 'C';
    text(code);
    out_ += 'M';
    text(message);
    if (!detail.empty()) {
        out_ += 'D';
        text(detail);
    }
    out_ += '\0';
    end(at);
    return *this;
}

// ---- statements --------------------------------------------------------------------------------

std::optional<std::string_view> Statement::field(std::string_view name) const {
    for (const auto& [n, v] : fields)
        if (n == name) return v;
    return std::nullopt;
}

Statement read_statement(std::string_view sql) {
    Statement s;
    sql = trim(sql);
    if (sql.substr(0, 2) == "/*") {
        std::size_t end = sql.find("*/", 2);
        if (end == std::string_view::npos) {
            s.malformed = true;
            return s;
        }
        s.comment = sql.substr(0, end + 2);
        std::string_view rest = trim(sql.substr(2, end - 2));
        while (!rest.empty()) {
            std::size_t comma = rest.find(',');
            std::string_view part = trim(rest.substr(0, comma));
            rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
            std::size_t equals = part.find('=');
            if (equals == std::string_view::npos || equals == 0) {
                s.malformed = true;
                return s;
            }
            s.fields.emplace_back(part.substr(0, equals), part.substr(equals + 1));
        }
        sql = trim(sql.substr(end + 2));
    }
    bool quoted = false;
    std::size_t end = sql.size();
    for (std::size_t i = 0; i < sql.size(); ++i) {
        if (sql[i] == '\'') {
            i = sql.find('\'', i + 1);  // a doubled quote is the end of one literal and the start of another
            quoted = i == std::string_view::npos;
            if (quoted) break;
        }
        if (sql[i] != ';') continue;
        end = std::min(end, i);
        std::string_view rest = sql.substr(i + 1);
        if (std::any_of(rest.begin(), rest.end(), [](char c) { return !blank(c) && c != ';'; }))
            s.several = true;
        break;
    }
    s.malformed = quoted;
    s.body = trim(sql.substr(0, end));
    return s;
}

namespace {

constexpr std::size_t kLongLiteral = 160 * 1024;  // is not copied

// Words, quoted literals and single characters, one after the other.
class Scanner {
  public:
    explicit Scanner(std::string_view text) : rest_(text) {}
    bool word(std::string_view expected) {
        skip();
        if (rest_.size() < expected.size()) return false;
        for (std::size_t i = 0; i < expected.size(); ++i)
            if (std::tolower(std::uint8_t(rest_[i])) != std::tolower(std::uint8_t(expected[i]))) return false;
        bool letters = std::isalnum(std::uint8_t(expected.back()));
        if (letters && rest_.size() > expected.size() && std::isalnum(std::uint8_t(rest_[expected.size()])))
            return false;
        rest_.remove_prefix(expected.size());
        return true;
    }
    bool words(std::initializer_list<std::string_view> all) {
        return std::all_of(all.begin(), all.end(), [this](std::string_view w) { return word(w); });
    }
    std::optional<std::string> literal() {
        skip();
        if (rest_.empty() || rest_[0] != '\'') return std::nullopt;
        std::size_t end = rest_.find('\'', 1);
        if (end != std::string_view::npos && (end + 1 == rest_.size() || rest_[end + 1] != '\'')) {
            std::string plain(rest_.substr(1, end - 1));
            rest_.remove_prefix(end + 1);
            return plain;
        }
        std::string value;
        for (std::size_t i = 1; i < rest_.size(); ++i) {
            if (rest_[i] == '\'') {
                if (i + 1 >= rest_.size() || rest_[i + 1] != '\'') {
                    rest_.remove_prefix(i + 1);
                    return value;
                }
                ++i;
            }
            value += rest_[i];
        }
        return std::nullopt;
    }
    // A literal of that length at least, as it stands; one with a quote in it is none.
    std::optional<std::string_view> long_literal(std::size_t least) {
        skip();
        std::size_t end = rest_.empty() || rest_[0] != '\'' ? std::string_view::npos : rest_.find('\'', 1);
        if (end == std::string_view::npos || end - 1 < least) return std::nullopt;
        std::string_view value = rest_.substr(1, end - 1);
        rest_.remove_prefix(end + 1);
        return value;
    }
    std::optional<std::uint32_t> number() {
        skip();
        std::uint32_t value = 0;
        auto [end, error] = std::from_chars(rest_.data(), rest_.data() + rest_.size(), value);
        if (error != std::errc()) return std::nullopt;
        rest_.remove_prefix(std::size_t(end - rest_.data()));
        return value;
    }
    bool done() {
        skip();
        return rest_.empty();
    }

  private:
    void skip() {
        while (!rest_.empty() && blank(rest_.front())) rest_.remove_prefix(1);
    }
    std::string_view rest_;
};

}  // namespace

Verb read_verb(std::string_view body) {
    Verb verb;
    if (Scanner s(body); s.words({"select", "content", "from", "kv", "where", "name", "="})) {
        auto name = s.literal();
        if (name && s.done()) {
            verb.kind = Verb::Kind::lookup;
            verb.name = *name;
            return verb;
        }
    }
    if (Scanner s(body); s.words({"insert", "into", "kv", "(", "name", ",", "content", ")", "values", "("})) {
        auto name = s.literal();
        bool comma = name && s.word(",");
        auto whole = comma ? s.long_literal(kLongLiteral) : std::nullopt;
        auto content = comma && !whole ? s.literal() : std::nullopt;
        if ((whole || content) && s.words({")", "returning", "content"}) && s.done()) {
            verb.kind = Verb::Kind::write;
            verb.name = *name;
            verb.content = content;
            verb.long_content = whole.value_or(std::string_view{});
            return verb;
        }
    }
    if (Scanner s(body); s.words({"select", "name", ",", "content", "from", "kv", "where", "name", ">"})) {
        auto after = s.literal();
        std::optional<std::string> prefix;
        if (after && s.words({"and", "starts_with", "(", "name", ","})) {
            prefix = s.literal();
            if (!prefix || !s.word(")")) return verb;
        }
        if (after && s.words({"order", "by", "name", "limit"})) {
            auto limit = s.number();
            if (limit && s.done()) {
                verb.kind = Verb::Kind::page;
                verb.name = *after;
                verb.prefix = prefix;
                verb.limit = *limit;
                return verb;
            }
        }
    }
    // Any other statement is passed on as it stands; its first literal names the row.
    std::size_t quote = body.find('\'');
    if (quote != std::string_view::npos)
        if (auto name = Scanner(body.substr(quote)).literal()) verb.name = *name;
    return verb;
}

std::string query_with_deadline(std::string_view sql, const Statement& statement, std::string_view value) {
    std::string out = with_deadline(sql, statement, value, std::string("Q\0\0\0\0", 5));
    out += '\0';
    auto size = std::uint32_t(out.size() - 1);
    for (int i = 0; i < 4; ++i) out[std::size_t(i) + 1] = char(size >> (24 - 8 * i));
    return out;
}

std::string with_deadline(std::string_view sql, const Statement& statement, std::string_view value,
                          std::string out) {
    out.reserve(out.size() + sql.size() + value.size() + 16);
    if (auto d = statement.field("d")) {
        auto at = std::size_t(d->data() - sql.data());
        out += sql.substr(0, at);
        out += value;
        out += sql.substr(at + d->size());
    } else if (!statement.comment.empty()) {
        std::size_t end = std::size_t(statement.comment.data() - sql.data()) + statement.comment.size();
        std::string_view head = sql.substr(0, end - 2);
        while (!head.empty() && blank(head.back())) head.remove_suffix(1);
        out += head;
        out += statement.fields.empty() ? " d=" : ",d=";
        out += value;
        out += " ";
        out += sql.substr(end - 2);
    } else {
        out += sql;
    }
    return out;
}

bool valid_text(std::string_view bytes) {
    for (std::size_t i = 0; i < bytes.size();) {
        auto c = std::uint8_t(bytes[i]);
        if (c < 0x80) {
            if ((c < 0x20 && !blank(char(c))) || c == 0x7f) return false;
            ++i;
            continue;
        }
        std::size_t more = c >= 0xc2 && c < 0xe0   ? 1
                           : c >= 0xe0 && c < 0xf0 ? 2
                           : c >= 0xf0 && c < 0xf5 ? 3
                                                   : 0;
        if (more == 0 || bytes.size() - i <= more) return false;
        std::uint32_t point = c & (0x3fu >> more);
        for (std::size_t k = 1; k <= more; ++k) {
            auto next = std::uint8_t(bytes[i + k]);
            if (next >> 6 != 2) return false;
            point = point << 6 | (next & 0x3f);
        }
        constexpr std::uint32_t kLeastPoint[] = {0, 0x80, 0x800, 0x10000};
        if (point < kLeastPoint[more] || point > 0x10ffff || (point >= 0xd800 && point < 0xe000))
            return false;
        i += more + 1;
    }
    return true;
}

std::string quote(std::string_view text) {
    std::string out = "'";
    for (char c : text) {
        if (c == '\'') out += '\'';
        out += c;
    }
    return out += '\'';
}

std::string hex(std::string_view bytes) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string out = "\\x";
    for (char c : bytes) {
        out += kDigits[std::uint8_t(c) >> 4];
        out += kDigits[std::uint8_t(c) & 15];
    }
    return out;
}

bool is_hex(std::string_view text) {
    return text.substr(0, 2) == "\\x" && text.size() % 2 == 0 &&
           std::all_of(text.begin() + 2, text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || ((c | 32) >= 'a' && (c | 32) <= 'f'); });
}

std::optional<std::string> unhex(std::string_view text) {
    if (text.substr(0, 2) != "\\x" || text.size() % 2) return std::nullopt;
    std::string out;
    for (std::size_t i = 2; i < text.size(); i += 2) {
        unsigned value = 0;
        auto [end, error] = std::from_chars(text.data() + i, text.data() + i + 2, value, 16);
        if (error != std::errc() || end != text.data() + i + 2) return std::nullopt;
        out += char(value);
    }
    return out;
}

}  // namespace indigovane::protocol::pg
