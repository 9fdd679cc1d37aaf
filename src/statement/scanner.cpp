#include "statement/scanner.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace indigovane::statement {

namespace {

// What a byte may begin or go on with.
enum : std::uint8_t { kBlank = 1, kWordStart = 2, kWordPart = 4, kDigit = 8, kOperator = 16, kSelf = 32 };

constexpr std::array<std::uint8_t, 256> make_classes() {
    std::array<std::uint8_t, 256> c{};
    for (char b : {' ', '\t', '\n', '\r', '\f', '\v'}) c[std::uint8_t(b)] |= kBlank;
    for (int b = 'a'; b <= 'z'; ++b) c[std::size_t(b)] |= kWordStart | kWordPart;
    for (int b = 'A'; b <= 'Z'; ++b) c[std::size_t(b)] |= kWordStart | kWordPart;
    for (int b = 0x80; b <= 0xff; ++b) c[std::size_t(b)] |= kWordStart | kWordPart;
    c['_'] |= kWordStart | kWordPart;
    c['$'] |= kWordPart;
    for (int b = '0'; b <= '9'; ++b) c[std::size_t(b)] |= kDigit | kWordPart;
    for (char b : std::string_view("~!@#^&|`?+-*/%<>=")) c[std::uint8_t(b)] |= kOperator;
    for (char b : std::string_view(",()[].;:")) c[std::uint8_t(b)] |= kSelf;
    return c;
}
constexpr auto kClasses = make_classes();

constexpr std::array<char, 256> make_lower() {
    std::array<char, 256> l{};
    for (int b = 0; b < 256; ++b) l[std::size_t(b)] = char(b >= 'A' && b <= 'Z' ? b + 32 : b);
    return l;
}
constexpr auto kLower = make_lower();

inline bool is(char c, std::uint8_t what) {
    return (kClasses[std::uint8_t(c)] & what) != 0;
}
char lower(char c) {
    return c >= 'A' && c <= 'Z' ? char(c + 32) : c;
}
int hex_digit(char c) {
    if (c >= '0' && c <= '9') return c - '0';
    c = lower(c);
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

// Keywords behind which an expression begins, so that a sign there belongs to the number after it.
bool is_clause(std::string_view word) {
    static constexpr std::string_view kClauses[] = {
        "select", "where", "and",    "or",     "not",  "limit",     "offset", "when",  "then",    "else",
        "by",     "on",    "having", "set",    "case", "returning", "like",   "ilike", "between", "distinct",
        "all",    "as",    "fetch",  "values", "from", "default",   "using",  "any",   "escape",  "is"};
    return std::find(std::begin(kClauses), std::end(kClauses), word) != std::end(kClauses);
}
bool is_constant(std::string_view word) {
    return word == "null" || word == "true" || word == "false";
}

}  // namespace

const char* describe(Flaw flaw) {
    switch (flaw) {
        case Flaw::none:
            return "";
        case Flaw::empty:
            return "there is no statement";
        case Flaw::unterminated:
            return "a string, comment or quoted identifier does not end";
        case Flaw::bad_character:
            return "a character that begins no token";
        case Flaw::bad_number:
            return "a number with letters behind it, or a parameter out of range";
        case Flaw::bad_escape:
            return "a Unicode escape that names no character";
        case Flaw::bad_identifier:
            return "a quoted identifier without a character";
        case Flaw::too_long:
            return "too many tokens";
    }
    return "";
}

std::string Shape::hex() const {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string out;
    for (std::uint64_t half : {high, low})
        for (int shift = 60; shift >= 0; shift -= 4) out += kDigits[half >> shift & 15];
    return out;
}

bool Shape::parse(std::string_view text, Shape& out) {
    if (text.size() != 32) return false;
    std::uint64_t halves[2] = {};
    for (std::size_t i = 0; i < 32; ++i) {
        int digit = hex_digit(text[i]);
        if (digit < 0) return false;
        halves[i / 16] = halves[i / 16] << 4 | std::uint64_t(digit);
    }
    out = {halves[0], halves[1]};
    return true;
}

// ---- the canonical text ------------------------------------------------------------------------

char* Scanner::room(std::size_t bytes) {
    if (size_ + bytes > text_.size())
        text_.resize(std::max<std::size_t>({1024, text_.size() * 2, size_ + bytes}));
    return text_.data() + size_;
}

void Scanner::put(char c) {
    char* to = room(2);
    to[0] = ' ';
    to[1] = c;
    size_ += 2;
}

void Scanner::put(std::string_view token) {
    char* to = room(token.size() + 1);
    *to++ = ' ';
    std::memcpy(to, token.data(), token.size());
    size_ += token.size() + 1;
}

bool Scanner::fail(Flaw flaw, std::size_t at) {
    flaw_ = flaw;
    at_ = at;
    return false;
}

// Directly in a list, where every kind of literal may stand.
bool Scanner::direct_element() const {
    if (deep_ > 0 || lists_.empty() || (before_ != Before::opener && before_ != Before::comma)) return false;
    return lists_.back().kind == List::Kind::elements || lists_.back().kind == List::Kind::row;
}

// Only a sign asks what the word before it was: words are not looked up otherwise.
bool Scanner::sign_belongs() const {
    if (before_ == Before::word)
        return word_length_ <= 9 &&
               is_clause(std::string_view(text_.data() + size_ - word_length_, word_length_));
    return before_ != Before::operand;
}

void Scanner::literal(Placeholder kind, std::size_t from) {
    ++literals_;
    if (signed_) {
        // The sign was not written when it came: it waits for what follows.
        signed_ = false;
        from = sign_at_;
    }
    if (spans_.size() < options_.most_spans)
        spans_.push_back({std::uint32_t(from), std::uint32_t(pos_ - from)});
    put(direct_element() ? char(kAny) : char(kind));
    before_ = Before::operand;
}

void Scanner::end_element(List& list) {
    std::size_t length = size_ - list.begin;
    if (length == 2 && list.has_previous && list.previous_end - list.previous == 2) {
        // One byte: mostly a literal, of which a list may hold very many.
        if (text_[list.previous + 1] == text_[list.begin + 1]) {
            size_ = list.previous_end;
            return;
        }
    } else if (list.has_previous && list.previous_end - list.previous == length &&
               std::memcmp(text_.data() + list.previous, text_.data() + list.begin, length) == 0) {
        size_ = list.previous_end;  // with the comma between them
        return;
    }
    list.previous = list.begin;
    list.previous_end = size_;
    list.has_previous = true;
}

void Scanner::open(char bracket) {
    List::Kind kind = List::Kind::plain;
    if (bracket == '(' && before_ == Before::in) kind = List::Kind::elements;
    if (bracket == '[' && before_ == Before::array) kind = List::Kind::elements;
    if (bracket == '(' && before_ == Before::values && deep_ == 0 &&
        lists_.size() + 1 < options_.most_elements) {
        List rows{List::Kind::rows};
        rows.begin = size_;
        lists_.push_back(rows);
    }
    if (bracket == '(' && deep_ == 0 && !lists_.empty() && lists_.back().kind == List::Kind::rows)
        kind = List::Kind::row;
    put(bracket);
    before_ = Before::opener;
    if (deep_ > 0 || lists_.size() >= options_.most_elements) {
        ++deep_;
        return;
    }
    List list{kind};
    list.begin = size_;
    lists_.push_back(list);
}

void Scanner::close(char bracket) {
    if (deep_ > 0) {
        --deep_;
    } else {
        if (!lists_.empty() && lists_.back().kind == List::Kind::rows) {  // of a VALUES in brackets
            end_element(lists_.back());
            lists_.pop_back();
        }
        if (!lists_.empty()) {
            if (lists_.back().kind == List::Kind::elements) end_element(lists_.back());
            lists_.pop_back();
        }
    }
    put(bracket);
    before_ = Before::operand;
}

void Scanner::comma() {
    if (deep_ == 0 && !lists_.empty()) {
        List& list = lists_.back();
        if (list.kind == List::Kind::elements || list.kind == List::Kind::rows) {
            end_element(list);
            bool plain = list.kind == List::Kind::elements && list.previous_end - list.previous == 2 &&
                         text_[list.previous + 1] == char(kAny);
            put(',');
            list.begin = size_;
            before_ = Before::comma;
            if (plain) skip_alike();
            return;
        }
    }
    put(',');
    before_ = Before::comma;
}

// Behind a comma, after a plain literal: those that follow and have a comma behind them would be written and
// taken back again. Lists may be very long: they are passed over at once.
void Scanner::skip_alike() {
    const char* in = in_.data();
    std::size_t size = in_.size();
    for (;;) {
        std::size_t at = pos_;
        while (at < size && in[at] == ' ') ++at;
        std::size_t from = at;
        if (at < size && in[at] == '\'') {
            const void* end = std::memchr(in + at + 1, '\'', size - at - 1);
            if (!end) return;
            at = std::size_t(static_cast<const char*>(end) - in) + 1;
        } else {
            while (at < size && is(in[at], kDigit)) ++at;
            if (at == from) return;
        }
        std::size_t end = at;
        while (at < size && in[at] == ' ') ++at;
        if (at >= size || in[at] != ',') return;  // not plain, or the last: the usual way
        ++literals_;
        if (spans_.size() < options_.most_spans)
            spans_.push_back({std::uint32_t(from), std::uint32_t(end - from)});
        pos_ = at + 1;
    }
}

// ---- tokens ------------------------------------------------------------------------------------

// Blanks and comments; false: a comment does not end.
bool Scanner::skip_blank() {
    const char* in = in_.data();
    std::size_t size = in_.size();
    while (pos_ < size) {
        if (is(in[pos_], kBlank)) {
            ++pos_;
        } else if (in[pos_] == '-' && pos_ + 1 < size && in[pos_ + 1] == '-') {
            while (pos_ < size && in[pos_] != '\n' && in[pos_] != '\r') ++pos_;
        } else if (in[pos_] == '/' && pos_ + 1 < size && in[pos_ + 1] == '*') {
            std::size_t from = pos_, depth = 1;
            pos_ += 2;
            // Both pairs that matter in a comment hold a slash. `pos_`: what is before it belongs to a pair
            // already.
            std::size_t look = pos_;
            while (depth > 0) {
                const void* found = look < size ? std::memchr(in + look, '/', size - look) : nullptr;
                if (!found) return fail(Flaw::unterminated, from);
                auto at = std::size_t(static_cast<const char*>(found) - in);
                if (at > pos_ && in[at - 1] == '*') {
                    --depth;
                    pos_ = look = at + 1;
                } else if (at + 1 < size && in[at + 1] == '*') {
                    ++depth;
                    pos_ = look = at + 2;
                } else {
                    look = at + 1;
                }
            }
        } else {
            break;
        }
    }
    return true;
}

// A quoted string whose opening quote stands at `open`, with all that continues it on further lines.
bool Scanner::quoted(std::size_t open, std::size_t from, bool escapes, Placeholder kind) {
    const char* in = in_.data();
    std::size_t size = in_.size();
    pos_ = open + 1;
    for (;;) {
        // Most strings are short: a call costs more than a few steps.
        std::size_t quote = pos_, near = std::min(size, pos_ + 24);
        while (quote < near && in[quote] != '\'') ++quote;
        const void* end = nullptr;
        if (quote == near) {
            end = quote < size ? std::memchr(in + quote, '\'', size - quote) : nullptr;
            quote = end ? std::size_t(static_cast<const char*>(end) - in) : size;
        }
        while (escapes && pos_ < quote) {
            const void* back = std::memchr(in + pos_, '\\', quote - pos_);
            if (!back) break;
            pos_ = std::size_t(static_cast<const char*>(back) - in) + 2;
            if (pos_ <= quote) continue;
            // The quote was escaped: the next one counts.
            end = pos_ < size ? std::memchr(in + pos_, '\'', size - pos_) : nullptr;
            quote = end ? std::size_t(static_cast<const char*>(end) - in) : size;
        }
        pos_ = quote;
        if (pos_ >= size) return fail(Flaw::unterminated, from);
        ++pos_;
        if (pos_ < size && in[pos_] == '\'') {  // a quote in the string
            ++pos_;
            continue;
        }
        // Behind blanks that hold a new line a quote goes on with this string. Comments to the end of a line
        // count as blanks there, others do not.
        if (pos_ >= size || !is(in[pos_], kBlank | kOperator)) break;
        std::size_t next = pos_;
        bool line = false;
        while (next < size) {
            if (is(in[next], kBlank)) {
                line = line || in[next] == '\n' || in[next] == '\r';
                ++next;
            } else if (in[next] == '-' && next + 1 < size && in[next + 1] == '-') {
                while (next < size && in[next] != '\n' && in[next] != '\r') ++next;
            } else {
                break;
            }
        }
        if (!line || next >= size || in[next] != '\'') break;
        pos_ = next + 1;
    }
    literal(kind, from);
    return true;
}

// Whether each escape of a U& string or identifier names a character; surrogates come in pairs.
bool Scanner::valid_unicode(std::string_view body, char escape) const {
    bool high = false;
    for (std::size_t i = 0; i < body.size(); ++i) {
        if (body[i] != escape) {
            if (high) return false;
            continue;
        }
        if (i + 1 < body.size() && body[i + 1] == escape) {
            if (high) return false;
            ++i;
            continue;
        }
        bool longer = i + 1 < body.size() && body[i + 1] == '+';
        std::size_t digits = longer ? 6 : 4, begin = i + 1 + (longer ? 1 : 0);
        std::uint32_t value = 0;
        if (begin + digits > body.size()) return false;
        for (std::size_t k = 0; k < digits; ++k) {
            int digit = hex_digit(body[begin + k]);
            if (digit < 0) return false;
            value = value << 4 | std::uint32_t(digit);
        }
        if (value == 0 || value > 0x10ffff) return false;
        bool is_high = value >= 0xd800 && value <= 0xdbff, is_low = value >= 0xdc00 && value <= 0xdfff;
        if (high != is_low) return false;
        high = is_high;
        i = begin + digits - 1;
    }
    return !high;
}

// U&'...' or U&"...", with the UESCAPE behind it if there is one.
bool Scanner::unicode(std::size_t from) {
    bool text = in_[from + 2] == '\'';
    std::size_t begin = from + 3;
    bool was_signed = std::exchange(signed_, false);
    if (text) {
        std::size_t size = size_, spans = spans_.size();
        auto before = before_;
        auto literals = literals_;
        if (!quoted(from + 2, from, false, kText)) return false;
        size_ = size, before_ = before, literals_ = literals;  // written below, with its UESCAPE
        spans_.resize(spans);
    } else {
        pos_ = begin;
        for (;;) {
            pos_ = in_.find('"', pos_);
            if (pos_ == std::string_view::npos) return fail(Flaw::unterminated, from);
            ++pos_;
            if (pos_ >= in_.size() || in_[pos_] != '"') break;
            ++pos_;
        }
        if (pos_ == begin + 1) return fail(Flaw::bad_identifier, from);
    }
    std::string_view body = in_.substr(begin, pos_ - 1 - begin);
    std::size_t end = pos_;
    char escape = '\\';
    if (!skip_blank()) return false;
    std::string_view rest = in_.substr(pos_);
    bool has_escape =
        rest.size() >= 7 && (rest.size() == 7 || !is(rest[7], kWordPart)) &&
        std::equal(rest.begin(), rest.begin() + 7, "uescape", [](char a, char b) { return lower(a) == b; });
    if (has_escape) {
        pos_ += 7;
        if (!skip_blank()) return false;
        rest = in_.substr(pos_);
        if (rest.size() < 3 || rest[0] != '\'' || rest[2] != '\'' || hex_digit(rest[1]) >= 0 ||
            is(rest[1], kBlank) || rest[1] == '+' || rest[1] == '\'' || rest[1] == '"')
            return fail(Flaw::bad_escape, pos_);
        escape = rest[1];
        pos_ += 3;
        end = pos_;
    }
    pos_ = end;
    if (!valid_unicode(body, escape)) return fail(Flaw::bad_escape, from);
    signed_ = was_signed;
    if (text) {
        literal(kText, from);
        return true;
    }
    put("U&\"" + std::string(body) + '"');
    if (escape != '\\') {
        put("uescape");
        put(std::string("'") + escape + "'");
    }
    before_ = Before::operand;
    return true;
}

bool Scanner::dollar(std::size_t from) {
    std::size_t size = in_.size(), tag = from + 1;
    if (tag < size && is(in_[tag], kWordStart))
        while (tag < size && is(in_[tag], kWordPart) && in_[tag] != '$') ++tag;
    if (tag >= size || in_[tag] != '$') return fail(Flaw::bad_character, from);
    std::string_view delimiter = in_.substr(from, tag + 1 - from);
    std::size_t end = in_.find(delimiter, tag + 1);
    if (end == std::string_view::npos) return fail(Flaw::unterminated, from);
    pos_ = end + delimiter.size();
    literal(kText, from);
    return true;
}

bool Scanner::parameter(std::size_t from) {
    pos_ = from + 1;
    std::uint64_t value = 0;
    while (pos_ < in_.size() && is(in_[pos_], kDigit) && value <= 1u << 30)
        value = value * 10 + std::uint64_t(in_[pos_++] - '0');
    if (value > 1u << 30 || (pos_ < in_.size() && is(in_[pos_], kWordStart)))
        return fail(Flaw::bad_number, from);
    // Elements that differ by their number only are alike.
    if (direct_element())
        put("$1");
    else
        put(in_.substr(from, pos_ - from));
    before_ = Before::operand;
    return true;
}

bool Scanner::number(std::size_t from) {
    const char* in = in_.data();
    std::size_t size = in_.size();
    pos_ = from;
    bool whole = true;
    while (pos_ < size && is(in[pos_], kDigit)) ++pos_;
    std::size_t digits = pos_ - from;
    if (pos_ < size && in[pos_] == '.' && !(pos_ + 1 < size && in[pos_ + 1] == '.')) {
        whole = false;
        ++pos_;
        while (pos_ < size && is(in[pos_], kDigit)) ++pos_;
    }
    if (pos_ < size && (in[pos_] == 'e' || in[pos_] == 'E')) {
        std::size_t next = pos_ + 1;
        if (next < size && (in[next] == '+' || in[next] == '-')) ++next;
        if (next < size && is(in[next], kDigit)) {
            whole = false;
            pos_ = next;
            while (pos_ < size && is(in[pos_], kDigit)) ++pos_;
        }
    }
    if (pos_ < size && is(in[pos_], kWordStart)) return fail(Flaw::bad_number, from);
    if (whole && digits >= 10) {
        std::size_t zeros = 0;
        while (zeros + 1 < digits && in[from + zeros] == '0') ++zeros;
        std::string_view value(in + from + zeros, digits - zeros);
        whole = value.size() < 10 || (value.size() == 10 && value <= "2147483647");
    }
    literal(whole ? kWhole : kNumber, from);
    return true;
}

void Scanner::word(std::size_t from) {
    const char* in = in_.data();
    std::size_t size = in_.size(), end = from + 1;
    while (end < size && is(in[end], kWordPart)) ++end;
    pos_ = end;
    std::size_t length = end - from;
    char* text = room(length + 1);
    *text++ = ' ';
    for (std::size_t i = 0; i < length; ++i) text[i] = kLower[std::uint8_t(in[from + i])];
    std::size_t begin = size_;
    size_ += length + 1;
    std::string_view word(text, length);
    if (before_ == Before::opener && deep_ == 0 && !lists_.empty() &&
        lists_.back().kind == List::Kind::elements &&
        (word == "select" || word == "with" || word == "values" || word == "table"))
        lists_.back().kind = List::Kind::plain;  // IN (SELECT ...): its commas set no elements apart
    bool rows = false;
    if (length == 2 && text[0] == 'i' && text[1] == 'n') {
        before_ = Before::in;
        return;
    }
    if (length == 5 && word == "array") {
        before_ = Before::array;
        return;
    }
    rows = length == 6 && word == "values";
    if (rows) {
        before_ = Before::values;
        return;
    }
    if (length <= 5 && direct_element() && is_constant(word)) {
        // NULL is an element like any other: rows that differ by it alone are alike.
        text[0] = char(kAny);
        size_ = begin + 2;
        before_ = Before::operand;
        return;
    }
    word_length_ = length;
    before_ = Before::word;
}

void Scanner::symbol(std::size_t from) {
    const char* in = in_.data();
    std::size_t size = in_.size();
    std::size_t end = from;
    while (end < size && is(in[end], kOperator)) {
        // A comment ends an operator.
        if (end + 1 < size &&
            ((in[end] == '-' && in[end + 1] == '-') || (in[end] == '/' && in[end + 1] == '*')))
            break;
        ++end;
    }
    // One of several characters ends in + or - only if it holds one that no plain SQL operator has.
    std::string_view name(in + from, end - from);
    if (name.find_first_of("~!@#^&|`?%") == std::string_view::npos)
        while (name.size() > 1 && (name.back() == '+' || name.back() == '-')) name.remove_suffix(1);
    pos_ = from + name.size();
    if ((name == "-" || name == "+") && sign_belongs()) {
        std::size_t next = pos_;
        while (next < size && is(in[next], kBlank)) ++next;
        if (next < size &&
            (is(in[next], kDigit) || (in[next] == '.' && next + 1 < size && is(in[next + 1], kDigit)))) {
            signed_ = true;
            sign_at_ = from;
            return;
        }
    }
    put(name == "!=" ? std::string_view("<>") : name);
    before_ = Before::symbol;
}

bool Scanner::scan(std::string_view sql) {
    in_ = sql;
    pos_ = size_ = 0;
    literals_ = deep_ = 0;
    spans_.clear();
    lists_.clear();
    flaw_ = Flaw::none;
    at_ = 0;
    before_ = Before::start;
    signed_ = several_ = ended_ = false;
    const char* in = in_.data();
    std::size_t size = in_.size();
    if (size >= 0xffffffffu) return fail(Flaw::too_long, 0);
    for (;;) {
        if (pos_ < size && in[pos_] == ' ') ++pos_;  // mostly one blank, and no comment
        if (pos_ < size && is(in[pos_], kBlank | kOperator) && !skip_blank()) return false;
        if (pos_ >= size) break;
        if (size_ > options_.longest) return fail(Flaw::too_long, pos_);
        std::size_t from = pos_;
        char c = in[from], next = from + 1 < size ? in[from + 1] : '\0';
        // The rows of VALUES go on as long as brackets and commas do.
        if (!lists_.empty() && deep_ == 0 && lists_.back().kind == List::Kind::rows && c != ',' && c != '(' &&
            c != ')') {
            end_element(lists_.back());
            lists_.pop_back();
        }
        if (c == ';') {
            ++pos_;
            if (size_ == 0) continue;
            ended_ = true;
            continue;
        }
        if (ended_) {
            ended_ = false;
            several_ = true;
            put(';');
            before_ = Before::start;
        }
        if (is(c, kWordStart)) {
            if (next == '\'') {
                char kind = lower(c);
                if (kind == 'e' || kind == 'b' || kind == 'x' || kind == 'n') {
                    if (!quoted(from + 1, from, kind == 'e', kind == 'b' || kind == 'x' ? kBits : kText))
                        return false;
                    continue;
                }
            }
            if (lower(c) == 'u' && next == '&' && from + 2 < size &&
                (in[from + 2] == '\'' || in[from + 2] == '"')) {
                if (!unicode(from)) return false;
                continue;
            }
            word(from);
        } else if (c == '\'') {
            if (!quoted(from, from, false, kText)) return false;
        } else if (is(c, kDigit) || (c == '.' && is(next, kDigit))) {
            if (!number(from)) return false;
        } else if (is(c, kOperator)) {
            symbol(from);
        } else if (c == '"') {
            pos_ = from + 1;
            for (;;) {
                pos_ = in_.find('"', pos_);
                if (pos_ == std::string_view::npos) return fail(Flaw::unterminated, from);
                ++pos_;
                if (pos_ >= size || in[pos_] != '"') break;
                ++pos_;
            }
            if (pos_ == from + 2) return fail(Flaw::bad_identifier, from);
            put(in_.substr(from, pos_ - from));
            before_ = Before::operand;
        } else if (c == '$') {
            if (is(next, kDigit)) {
                if (!parameter(from)) return false;
            } else if (!dollar(from)) {
                return false;
            }
        } else if (c == '(' || c == '[') {
            ++pos_;
            open(c);
        } else if (c == ')' || c == ']') {
            ++pos_;
            close(c);
        } else if (c == ',') {
            ++pos_;
            comma();
        } else if (c == '.' || c == ':') {
            // Two that belong together, as their characters stand side by side.
            std::string_view pair = in_.substr(from, 2);
            std::size_t length = pair == "::" || pair == ":=" || pair == ".." ? 2 : 1;
            pos_ += length;
            put(in_.substr(from, length));
            before_ = Before::symbol;
        } else {
            return fail(Flaw::bad_character, from);
        }
    }
    while (!lists_.empty() && lists_.back().kind == List::Kind::rows) {
        end_element(lists_.back());
        lists_.pop_back();
    }
    if (size_ == 0) return fail(Flaw::empty, size);
    if (size_ > options_.longest) return fail(Flaw::too_long, size);
    return true;
}

// ---- what is made of a canonical text ----------------------------------------------------------

Shape shape_of(std::string_view canonical) {
    // Placeholders of all kinds are made alike on the way. A quoted identifier keeps its bytes: control
    // characters in one are told from placeholders by the quotes.
    std::string even(canonical);
    bool quoted = false;
    for (char& c : even) {
        if (c == '"') quoted = !quoted;
        if (!quoted && c >= kText && c <= kAny) c = kText;
    }
    XXH128_hash_t hash = XXH3_128bits(even.data(), even.size());
    return {hash.high64, hash.low64};
}

std::string parsable(std::string_view canonical) {
    std::string out;
    out.reserve(canonical.size() + 64);
    bool quoted = false;
    for (char c : canonical) {
        if (c == '"') quoted = !quoted;
        if (quoted || c < kText || c > kAny) {
            out += c;
            continue;
        }
        switch (c) {
            case kText:
                out += "'1'";
                break;
            case kWhole:
            case kAny:
                out += '1';
                break;
            case kNumber:
                out += "1.0";
                break;
            case kBits:
                out += "B'1'";
                break;
        }
    }
    return out;
}

std::string printable(std::string_view canonical, std::size_t most) {
    std::string out;
    for (char c : canonical.substr(canonical.empty() ? 0 : 1)) {
        if (out.size() >= most) return out + "...";
        out += c >= kText && c <= kAny ? '?' : std::uint8_t(c) < 0x20 || c == 0x7f ? ' ' : c;
    }
    return out;
}

}  // namespace indigovane::statement
