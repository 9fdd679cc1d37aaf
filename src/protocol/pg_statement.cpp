#include "protocol/pg_statement.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

#include "protocol/pg_text.hpp"

namespace indigovane::protocol::pg {

namespace {

std::string_view trim(std::string_view s) {
    while (!s.empty() && is_blank(s.front())) s.remove_prefix(1);
    while (!s.empty() && is_blank(s.back())) s.remove_suffix(1);
    return s;
}

}  // namespace

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
        std::string_view fields = trim(sql.substr(2, end - 2));
        while (!fields.empty() && s.fields.size() <= Statement::kMaxFields) {
            std::size_t comma = fields.find(',');
            std::string_view part = trim(fields.substr(0, comma));
            fields = comma == std::string_view::npos ? std::string_view{} : fields.substr(comma + 1);
            std::size_t equals = part.find('=');
            if (equals == std::string_view::npos || equals == 0) {
                s.malformed = true;
                return s;
            }
            s.fields.emplace_back(part.substr(0, equals), part.substr(equals + 1));
        }
        sql = trim(sql.substr(end + 2));
    }
    bool is_literal_open = false;
    std::size_t end = sql.size();
    for (std::size_t i = 0; i < sql.size(); ++i) {
        if (sql[i] == '\'') {
            // A doubled quote is treated as the end of one literal and the start of the next.
            i = sql.find('\'', i + 1);
            is_literal_open = i == std::string_view::npos;
            if (is_literal_open) break;
        }
        if (sql[i] != ';') continue;
        end = std::min(end, i);
        std::string_view remainder = sql.substr(i + 1);
        if (std::any_of(remainder.begin(), remainder.end(), [](char c) { return !is_blank(c) && c != ';'; }))
            s.has_several_statements = true;
        break;
    }
    s.malformed = is_literal_open;
    s.body = trim(sql.substr(0, end));
    return s;
}

namespace {

// Literals of at least this many bytes are not copied.
constexpr std::size_t kLongLiteralBytes = 160 * 1024;

// Reads words, quoted literals and single characters from the front of a text. White space before them is
// skipped.
class Scanner {
  public:
    explicit Scanner(std::string_view text) : text_(text) {}
    // Compares without regard to case. A word must not be followed by a letter or a digit.
    bool match_word(std::string_view expected) {
        skip_blanks();
        if (text_.size() < expected.size()) return false;
        for (std::size_t i = 0; i < expected.size(); ++i)
            if (std::tolower(std::uint8_t(text_[i])) != std::tolower(std::uint8_t(expected[i]))) return false;
        bool is_word = std::isalnum(std::uint8_t(expected.back()));
        if (is_word && text_.size() > expected.size() && std::isalnum(std::uint8_t(text_[expected.size()])))
            return false;
        text_.remove_prefix(expected.size());
        return true;
    }
    bool match_all(std::initializer_list<std::string_view> words) {
        return std::all_of(words.begin(), words.end(),
                           [this](std::string_view expected) { return match_word(expected); });
    }
    // Reads a literal and replaces its doubled quotes.
    std::optional<std::string> literal() {
        skip_blanks();
        if (text_.empty() || text_[0] != '\'') return std::nullopt;
        std::size_t end = text_.find('\'', 1);
        if (end != std::string_view::npos && (end + 1 == text_.size() || text_[end + 1] != '\'')) {
            std::string plain(text_.substr(1, end - 1));
            text_.remove_prefix(end + 1);
            return plain;
        }
        std::string value;
        for (std::size_t i = 1; i < text_.size(); ++i) {
            if (text_[i] == '\'') {
                if (i + 1 >= text_.size() || text_[i + 1] != '\'') {
                    text_.remove_prefix(i + 1);
                    return value;
                }
                ++i;
            }
            value += text_[i];
        }
        return std::nullopt;
    }
    // Reads a literal of at least `min_bytes` bytes without copying it. Returns nothing if the first quote in
    // it comes earlier.
    std::optional<std::string_view> long_literal(std::size_t min_bytes) {
        skip_blanks();
        std::size_t end = text_.empty() || text_[0] != '\'' ? std::string_view::npos : text_.find('\'', 1);
        if (end == std::string_view::npos || end - 1 < min_bytes) return std::nullopt;
        std::string_view value = text_.substr(1, end - 1);
        text_.remove_prefix(end + 1);
        return value;
    }
    std::optional<std::uint32_t> number() {
        skip_blanks();
        std::uint32_t value = 0;
        auto [end, error] = std::from_chars(text_.data(), text_.data() + text_.size(), value);
        if (error != std::errc()) return std::nullopt;
        text_.remove_prefix(std::size_t(end - text_.data()));
        return value;
    }
    bool is_at_end() {
        skip_blanks();
        return text_.empty();
    }

  private:
    void skip_blanks() {
        while (!text_.empty() && is_blank(text_.front())) text_.remove_prefix(1);
    }
    std::string_view text_;
};

}  // namespace

Verb read_verb(std::string_view body) {
    Verb verb;
    if (Scanner scanner(body); scanner.match_all({"select", "content", "from", "kv", "where", "name", "="})) {
        auto name = scanner.literal();
        if (name && scanner.is_at_end()) {
            verb.kind = Verb::Kind::lookup;
            verb.name = *name;
            return verb;
        }
    }
    if (Scanner scanner(body);
        scanner.match_all({"insert", "into", "kv", "(", "name", ",", "content", ")", "values", "("})) {
        auto name = scanner.literal();
        bool has_comma = name && scanner.match_word(",");
        auto long_content = has_comma ? scanner.long_literal(kLongLiteralBytes) : std::nullopt;
        auto content = has_comma && !long_content ? scanner.literal() : std::nullopt;
        if ((long_content || content) && scanner.match_all({")", "returning", "content"}) &&
            scanner.is_at_end()) {
            verb.kind = Verb::Kind::write;
            verb.name = *name;
            verb.content = content;
            verb.long_content = long_content.value_or(std::string_view{});
            return verb;
        }
    }
    if (Scanner scanner(body);
        scanner.match_all({"select", "name", ",", "content", "from", "kv", "where", "name", ">"})) {
        auto after = scanner.literal();
        std::optional<std::string> prefix;
        if (after && scanner.match_all({"and", "starts_with", "(", "name", ","})) {
            prefix = scanner.literal();
            if (!prefix || !scanner.match_word(")")) return verb;
        }
        if (after && scanner.match_all({"order", "by", "name", "limit"})) {
            auto limit = scanner.number();
            if (limit && scanner.is_at_end()) {
                verb.kind = Verb::Kind::page;
                verb.name = *after;
                verb.prefix = prefix;
                verb.limit = *limit;
                return verb;
            }
        }
    }
    // Any other statement is passed on unchanged. Its first literal is taken as the name of the row.
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
        while (!head.empty() && is_blank(head.back())) head.remove_suffix(1);
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

}  // namespace indigovane::protocol::pg
