// The scanner's tokens: strings, numbers, words, operators, parameters, comments.
#include <algorithm>
#include <cstring>
#include <utility>

#include "statement/character_classes.hpp"
#include "statement/scanner.hpp"

namespace indigovane::statement {

namespace {

bool is_constant(std::string_view word) {
    return word == "null" || word == "true" || word == "false";
}

}  // namespace

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
        if (!skip_quoted_identifier(from + 2, from)) return false;
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

// From the opening quote at `open` behind the closing one; flaws are told at `from`.
bool Scanner::skip_quoted_identifier(std::size_t open, std::size_t from) {
    pos_ = open + 1;
    for (;;) {
        pos_ = in_.find('"', pos_);
        if (pos_ == std::string_view::npos) return fail(Flaw::unterminated, from);
        ++pos_;
        if (pos_ >= in_.size() || in_[pos_] != '"') break;
        ++pos_;
    }
    return pos_ == open + 2 ? fail(Flaw::bad_identifier, from) : true;
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
    char* text = reserve(length + 1);
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

}  // namespace indigovane::statement
