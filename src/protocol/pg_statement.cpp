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
        if (std::any_of(rest.begin(), rest.end(), [](char c) { return !is_blank(c) && c != ';'; }))
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
    bool match_all(std::initializer_list<std::string_view> all) {
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
        while (!rest_.empty() && is_blank(rest_.front())) rest_.remove_prefix(1);
    }
    std::string_view rest_;
};

}  // namespace

Verb read_verb(std::string_view body) {
    Verb verb;
    if (Scanner scanner(body); scanner.match_all({"select", "content", "from", "kv", "where", "name", "="})) {
        auto name = scanner.literal();
        if (name && scanner.done()) {
            verb.kind = Verb::Kind::lookup;
            verb.name = *name;
            return verb;
        }
    }
    if (Scanner scanner(body);
        scanner.match_all({"insert", "into", "kv", "(", "name", ",", "content", ")", "values", "("})) {
        auto name = scanner.literal();
        bool comma = name && scanner.word(",");
        auto whole = comma ? scanner.long_literal(kLongLiteral) : std::nullopt;
        auto content = comma && !whole ? scanner.literal() : std::nullopt;
        if ((whole || content) && scanner.match_all({")", "returning", "content"}) && scanner.done()) {
            verb.kind = Verb::Kind::write;
            verb.name = *name;
            verb.content = content;
            verb.long_content = whole.value_or(std::string_view{});
            return verb;
        }
    }
    if (Scanner scanner(body);
        scanner.match_all({"select", "name", ",", "content", "from", "kv", "where", "name", ">"})) {
        auto after = scanner.literal();
        std::optional<std::string> prefix;
        if (after && scanner.match_all({"and", "starts_with", "(", "name", ","})) {
            prefix = scanner.literal();
            if (!prefix || !scanner.word(")")) return verb;
        }
        if (after && scanner.match_all({"order", "by", "name", "limit"})) {
            auto limit = scanner.number();
            if (limit && scanner.done()) {
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
