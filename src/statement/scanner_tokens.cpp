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

// Skips blanks and comments. Returns false if a comment is not terminated.
bool Scanner::skip_blanks() {
    const char* in = sql_.data();
    std::size_t size = sql_.size();
    while (pos_ < size) {
        if (is(in[pos_], kBlank)) {
            ++pos_;
        } else if (in[pos_] == '-' && pos_ + 1 < size && in[pos_ + 1] == '-') {
            while (pos_ < size && in[pos_] != '\n' && in[pos_] != '\r') ++pos_;
        } else if (in[pos_] == '/' && pos_ + 1 < size && in[pos_ + 1] == '*') {
            std::size_t from = pos_, depth = 1;
            pos_ += 2;
            // Comments nest. Both /* and */ hold a slash, so that it is enough to look at slashes. The bytes
            // before pos_ already belong to a delimiter.
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

// Scans a quoted string whose opening quote is at `open`, with its continuations on further lines. `from` is
// the start of the token, which may have a prefix. `has_escapes`: backslashes escape the next character.
bool Scanner::scan_quoted_string(std::size_t open, std::size_t from, bool has_escapes,
                                 Placeholder placeholder) {
    const char* in = sql_.data();
    std::size_t size = sql_.size();
    pos_ = open + 1;
    for (;;) {
        // Most strings are short, and a loop over a few bytes is cheaper than a call of memchr().
        std::size_t quote = pos_, near = std::min(size, pos_ + 24);
        while (quote < near && in[quote] != '\'') ++quote;
        const void* end = nullptr;
        if (quote == near) {
            end = quote < size ? std::memchr(in + quote, '\'', size - quote) : nullptr;
            quote = end ? std::size_t(static_cast<const char*>(end) - in) : size;
        }
        while (has_escapes && pos_ < quote) {
            const void* back = std::memchr(in + pos_, '\\', quote - pos_);
            if (!back) break;
            pos_ = std::size_t(static_cast<const char*>(back) - in) + 2;
            if (pos_ <= quote) continue;
            // The quote was escaped: look for the next one.
            end = pos_ < size ? std::memchr(in + pos_, '\'', size - pos_) : nullptr;
            quote = end ? std::size_t(static_cast<const char*>(end) - in) : size;
        }
        pos_ = quote;
        if (pos_ >= size) return fail(Flaw::unterminated, from);
        ++pos_;
        if (pos_ < size && in[pos_] == '\'') {  // two quotes stand for one
            ++pos_;
            continue;
        }
        // A quote after blanks with a line break continues this string. Comments that begin with -- count as
        // blanks here; those in /* */ do not.
        if (pos_ >= size || !is(in[pos_], kBlank | kOperator)) break;
        std::size_t next = pos_;
        bool has_line_break = false;
        while (next < size) {
            if (is(in[next], kBlank)) {
                has_line_break = has_line_break || in[next] == '\n' || in[next] == '\r';
                ++next;
            } else if (in[next] == '-' && next + 1 < size && in[next + 1] == '-') {
                while (next < size && in[next] != '\n' && in[next] != '\r') ++next;
            } else {
                break;
            }
        }
        if (!has_line_break || next >= size || in[next] != '\'') break;
        pos_ = next + 1;
    }
    append_literal(placeholder, from);
    return true;
}

// Whether each escape of a U& string or identifier names a character. Surrogates must come in pairs.
bool Scanner::is_valid_unicode(std::string_view body, char escape) const {
    bool after_high_surrogate = false;
    for (std::size_t i = 0; i < body.size(); ++i) {
        if (body[i] != escape) {
            if (after_high_surrogate) return false;
            continue;
        }
        if (i + 1 < body.size() && body[i + 1] == escape) {
            if (after_high_surrogate) return false;
            ++i;
            continue;
        }
        bool has_six_digits = i + 1 < body.size() && body[i + 1] == '+';
        std::size_t digits = has_six_digits ? 6 : 4, begin = i + 1 + (has_six_digits ? 1 : 0);
        std::uint32_t value = 0;
        if (begin + digits > body.size()) return false;
        for (std::size_t index = 0; index < digits; ++index) {
            int digit = hex_digit(body[begin + index]);
            if (digit < 0) return false;
            value = value << 4 | std::uint32_t(digit);
        }
        if (value == 0 || value > 0x10ffff) return false;
        bool is_high = value >= 0xd800 && value <= 0xdbff, is_low = value >= 0xdc00 && value <= 0xdfff;
        if (after_high_surrogate != is_low) return false;
        after_high_surrogate = is_high;
        i = begin + digits - 1;
    }
    return !after_high_surrogate;
}

// Scans U&'...' or U&"...", with a UESCAPE after it if there is one.
bool Scanner::scan_unicode(std::size_t from) {
    bool is_string = sql_[from + 2] == '\'';
    std::size_t begin = from + 3;
    bool had_pending_sign = std::exchange(has_pending_sign_, false);
    if (is_string) {
        std::size_t old_text_size = text_size_, old_span_count = spans_.size();
        auto old_previous_token = previous_token_;
        auto old_literals = literals_;
        if (!scan_quoted_string(from + 2, from, false, kText)) return false;
        // The literal is appended below, with its UESCAPE.
        text_size_ = old_text_size, previous_token_ = old_previous_token, literals_ = old_literals;
        spans_.resize(old_span_count);
    } else {
        if (!skip_quoted_identifier(from + 2, from)) return false;
    }
    std::string_view body = sql_.substr(begin, pos_ - 1 - begin);
    std::size_t end = pos_;
    char escape = '\\';
    if (!skip_blanks()) return false;
    std::string_view rest = sql_.substr(pos_);
    bool has_escape =
        rest.size() >= 7 && (rest.size() == 7 || !is(rest[7], kWordPart)) &&
        std::equal(rest.begin(), rest.begin() + 7, "uescape", [](char a, char b) { return lower(a) == b; });
    if (has_escape) {
        pos_ += 7;
        if (!skip_blanks()) return false;
        rest = sql_.substr(pos_);
        if (rest.size() < 3 || rest[0] != '\'' || rest[2] != '\'' || hex_digit(rest[1]) >= 0 ||
            is(rest[1], kBlank) || rest[1] == '+' || rest[1] == '\'' || rest[1] == '"')
            return fail(Flaw::bad_escape, pos_);
        escape = rest[1];
        pos_ += 3;
        end = pos_;
    }
    pos_ = end;
    if (!is_valid_unicode(body, escape)) return fail(Flaw::bad_escape, from);
    has_pending_sign_ = had_pending_sign;
    if (is_string) {
        append_literal(kText, from);
        return true;
    }
    append("U&\"" + std::string(body) + '"');
    if (escape != '\\') {
        append("uescape");
        append(std::string("'") + escape + "'");
    }
    previous_token_ = PreviousToken::operand;
    return true;
}

// Moves from the opening quote at `open` past the closing one. A flaw is reported at `from`.
bool Scanner::skip_quoted_identifier(std::size_t open, std::size_t from) {
    pos_ = open + 1;
    for (;;) {
        pos_ = sql_.find('"', pos_);
        if (pos_ == std::string_view::npos) return fail(Flaw::unterminated, from);
        ++pos_;
        if (pos_ >= sql_.size() || sql_[pos_] != '"') break;
        ++pos_;
    }
    return pos_ == open + 2 ? fail(Flaw::bad_identifier, from) : true;
}

bool Scanner::scan_dollar_quote(std::size_t from) {
    std::size_t size = sql_.size(), tag = from + 1;
    if (tag < size && is(sql_[tag], kWordStart))
        while (tag < size && is(sql_[tag], kWordPart) && sql_[tag] != '$') ++tag;
    if (tag >= size || sql_[tag] != '$') return fail(Flaw::bad_character, from);
    std::string_view delimiter = sql_.substr(from, tag + 1 - from);
    std::size_t end = sql_.find(delimiter, tag + 1);
    if (end == std::string_view::npos) return fail(Flaw::unterminated, from);
    pos_ = end + delimiter.size();
    append_literal(kText, from);
    return true;
}

bool Scanner::scan_parameter(std::size_t from) {
    pos_ = from + 1;
    std::uint64_t value = 0;
    while (pos_ < sql_.size() && is(sql_[pos_], kDigit) && value <= 1u << 30)
        value = value * 10 + std::uint64_t(sql_[pos_++] - '0');
    if (value > 1u << 30 || (pos_ < sql_.size() && is(sql_[pos_], kWordStart)))
        return fail(Flaw::bad_number, from);
    // Elements that differ only by the number of a parameter have the same canonical text.
    if (is_list_element())
        append("$1");
    else
        append(sql_.substr(from, pos_ - from));
    previous_token_ = PreviousToken::operand;
    return true;
}

bool Scanner::scan_number(std::size_t from) {
    const char* in = sql_.data();
    std::size_t size = sql_.size();
    pos_ = from;
    bool is_integer = true;
    while (pos_ < size && is(in[pos_], kDigit)) ++pos_;
    std::size_t digits = pos_ - from;
    if (pos_ < size && in[pos_] == '.' && !(pos_ + 1 < size && in[pos_ + 1] == '.')) {
        is_integer = false;
        ++pos_;
        while (pos_ < size && is(in[pos_], kDigit)) ++pos_;
    }
    if (pos_ < size && (in[pos_] == 'e' || in[pos_] == 'E')) {
        std::size_t next = pos_ + 1;
        if (next < size && (in[next] == '+' || in[next] == '-')) ++next;
        if (next < size && is(in[next], kDigit)) {
            is_integer = false;
            pos_ = next;
            while (pos_ < size && is(in[pos_], kDigit)) ++pos_;
        }
    }
    if (pos_ < size && is(in[pos_], kWordStart)) return fail(Flaw::bad_number, from);
    if (is_integer && digits >= 10) {
        std::size_t zeros = 0;
        while (zeros + 1 < digits && in[from + zeros] == '0') ++zeros;
        std::string_view value(in + from + zeros, digits - zeros);
        is_integer = value.size() < 10 || (value.size() == 10 && value <= "2147483647");
    }
    append_literal(is_integer ? kInteger : kNumber, from);
    return true;
}

void Scanner::scan_word(std::size_t from) {
    const char* in = sql_.data();
    std::size_t size = sql_.size(), end = from + 1;
    while (end < size && is(in[end], kWordPart)) ++end;
    pos_ = end;
    std::size_t length = end - from;
    char* text = reserve(length + 1);
    *text++ = ' ';
    for (std::size_t i = 0; i < length; ++i) text[i] = kLower[std::uint8_t(in[from + i])];
    std::size_t begin = text_size_;
    text_size_ += length + 1;
    std::string_view folded(text, length);
    if (previous_token_ == PreviousToken::opener && unlisted_depth_ == 0 && !lists_.empty() &&
        lists_.back().type == List::Type::elements &&
        (folded == "select" || folded == "with" || folded == "values" || folded == "table"))
        lists_.back().type = List::Type::plain;  // IN (SELECT ...): its commas do not separate elements
    bool is_values = false;
    if (length == 2 && text[0] == 'i' && text[1] == 'n') {
        previous_token_ = PreviousToken::in;
        return;
    }
    if (length == 5 && folded == "array") {
        previous_token_ = PreviousToken::array;
        return;
    }
    is_values = length == 6 && folded == "values";
    if (is_values) {
        previous_token_ = PreviousToken::values;
        return;
    }
    if (length <= 5 && is_list_element() && is_constant(folded)) {
        // NULL, true and false are elements like literals: rows that differ only by them are equal.
        text[0] = char(kAny);
        text_size_ = begin + 2;
        previous_token_ = PreviousToken::operand;
        return;
    }
    word_length_ = length;
    previous_token_ = PreviousToken::word;
}

void Scanner::scan_operator(std::size_t from) {
    const char* in = sql_.data();
    std::size_t size = sql_.size();
    std::size_t end = from;
    while (end < size && is(in[end], kOperator)) {
        // The start of a comment ends the operator.
        if (end + 1 < size &&
            ((in[end] == '-' && in[end + 1] == '-') || (in[end] == '/' && in[end + 1] == '*')))
            break;
        ++end;
    }
    // An operator of several characters ends in + or - only if it contains a character that the operators of
    // standard SQL do not have.
    std::string_view name(in + from, end - from);
    if (name.find_first_of("~!@#^&|`?%") == std::string_view::npos)
        while (name.size() > 1 && (name.back() == '+' || name.back() == '-')) name.remove_suffix(1);
    pos_ = from + name.size();
    if ((name == "-" || name == "+") && is_sign_of_number()) {
        std::size_t next = pos_;
        while (next < size && is(in[next], kBlank)) ++next;
        if (next < size &&
            (is(in[next], kDigit) || (in[next] == '.' && next + 1 < size && is(in[next + 1], kDigit)))) {
            has_pending_sign_ = true;
            sign_offset_ = from;
            return;
        }
    }
    append(name == "!=" ? std::string_view("<>") : name);
    previous_token_ = PreviousToken::symbol;
}

}  // namespace indigovane::statement
