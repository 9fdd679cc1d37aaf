#include "statement/scanner.hpp"

#include <algorithm>
#include <cstring>

#include "statement/character_classes.hpp"

namespace indigovane::statement {

namespace {

constexpr std::size_t kMaxStatementBytes = 0xffffffff;  // Span counts bytes in 32 bits

// Whether an expression begins after this keyword, so that a sign there belongs to the number after it.
bool begins_expression(std::string_view word) {
    static constexpr std::string_view kKeywords[] = {
        "select", "where", "and",    "or",     "not",  "limit",     "offset", "when",  "then",    "else",
        "by",     "on",    "having", "set",    "case", "returning", "like",   "ilike", "between", "distinct",
        "all",    "as",    "fetch",  "values", "from", "default",   "using",  "any",   "escape",  "is"};
    return std::find(std::begin(kKeywords), std::end(kKeywords), word) != std::end(kKeywords);
}

}  // namespace

const char* describe(Flaw flaw) {
    switch (flaw) {
        case Flaw::none:
            return "";
        case Flaw::empty:
            return "there is no statement";
        case Flaw::unterminated:
            return "unterminated string, comment or quoted identifier";
        case Flaw::bad_character:
            return "a character that can't begin a token";
        case Flaw::bad_number:
            return "a number followed by letters, or a parameter number out of range";
        case Flaw::bad_escape:
            return "invalid Unicode escape";
        case Flaw::bad_identifier:
            return "empty quoted identifier";
        case Flaw::too_long:
            return "the statement is too long or has too many tokens";
    }
    return "";
}

// ---- the canonical text ------------------------------------------------------------------------

bool Scanner::fail(Flaw flaw, std::size_t offset) {
    flaw_ = flaw;
    flaw_offset_ = offset;
    return false;
}

// Whether a sign after the previous token belongs to the number after it. Only here is the previous word
// compared with the keywords, so that words without a sign after them cost no lookup.
bool Scanner::is_sign_of_number() const {
    if (previous_token_ == PreviousToken::word)
        return word_length_ <= 9 &&
               begins_expression(std::string_view(text_.data() + text_size_ - word_length_, word_length_));
    return previous_token_ != PreviousToken::operand;
}

void Scanner::append_literal(Placeholder placeholder, std::size_t from) {
    ++literals_;
    if (has_pending_sign_) {
        // The pending sign is part of the literal and was not appended as an operator.
        has_pending_sign_ = false;
        from = sign_offset_;
    }
    if (spans_.size() < options_.max_spans)
        spans_.push_back({std::uint32_t(from), std::uint32_t(pos_ - from)});
    append(is_list_element() ? char(kAny) : char(placeholder));
    previous_token_ = PreviousToken::operand;
}

// Removes the element that ends here if it equals the previous one.
void Scanner::end_element(List& list) {
    std::size_t length = text_size_ - list.begin;
    if (length == 2 && list.has_previous && list.previous_end - list.previous_begin == 2) {
        // Fast path for elements of one byte: most are literals, and a list may hold very many of them.
        if (text_[list.previous_begin + 1] == text_[list.begin + 1]) {
            text_size_ = list.previous_end;
            return;
        }
    } else if (list.has_previous && list.previous_end - list.previous_begin == length &&
               std::memcmp(text_.data() + list.previous_begin, text_.data() + list.begin, length) == 0) {
        text_size_ = list.previous_end;  // also removes the comma between them
        return;
    }
    list.previous_begin = list.begin;
    list.previous_end = text_size_;
    list.has_previous = true;
}

void Scanner::open_bracket(char bracket) {
    List::Type type = List::Type::plain;
    if (bracket == '(' && previous_token_ == PreviousToken::in) type = List::Type::elements;
    if (bracket == '[' && previous_token_ == PreviousToken::array) type = List::Type::elements;
    if (bracket == '(' && previous_token_ == PreviousToken::values && unlisted_depth_ == 0 &&
        lists_.size() + 1 < options_.max_list_depth) {
        List rows{List::Type::rows};
        rows.begin = text_size_;
        lists_.push_back(rows);
    }
    if (bracket == '(' && unlisted_depth_ == 0 && !lists_.empty() && lists_.back().type == List::Type::rows)
        type = List::Type::row;
    append(bracket);
    previous_token_ = PreviousToken::opener;
    if (unlisted_depth_ > 0 || lists_.size() >= options_.max_list_depth) {
        ++unlisted_depth_;
        return;
    }
    List list{type};
    list.begin = text_size_;
    lists_.push_back(list);
}

void Scanner::close_bracket(char bracket) {
    if (unlisted_depth_ > 0) {
        --unlisted_depth_;
    } else {
        if (!lists_.empty() && lists_.back().type == List::Type::rows) {  // a VALUES in brackets ends
            end_element(lists_.back());
            lists_.pop_back();
        }
        if (!lists_.empty()) {
            if (lists_.back().type == List::Type::elements) end_element(lists_.back());
            lists_.pop_back();
        }
    }
    append(bracket);
    previous_token_ = PreviousToken::operand;
}

void Scanner::append_comma() {
    if (unlisted_depth_ == 0 && !lists_.empty()) {
        List& list = lists_.back();
        if (list.type == List::Type::elements || list.type == List::Type::rows) {
            end_element(list);
            bool is_literal = list.type == List::Type::elements &&
                              list.previous_end - list.previous_begin == 2 &&
                              text_[list.previous_begin + 1] == char(kAny);
            append(',');
            list.begin = text_size_;
            previous_token_ = PreviousToken::comma;
            if (is_literal) skip_plain_literals();
            return;
        }
    }
    append(',');
    previous_token_ = PreviousToken::comma;
}

// Called after a literal and a comma in a list. Skips further whole numbers and simple strings that are
// followed by a comma: end_element() would remove them again, and lists may be very long.
void Scanner::skip_plain_literals() {
    const char* in = sql_.data();
    std::size_t size = sql_.size();
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
        if (at >= size || in[at] != ',')
            return;  // the last element, or more than a simple literal: scan_token() handles it
        ++literals_;
        if (spans_.size() < options_.max_spans)
            spans_.push_back({std::uint32_t(from), std::uint32_t(end - from)});
        pos_ = at + 1;
    }
}

// ---- the statement -----------------------------------------------------------------------------

void Scanner::reset(std::string_view sql) {
    sql_ = sql;
    pos_ = 0;
    text_size_ = 0;
    literals_ = 0;
    unlisted_depth_ = 0;
    spans_.clear();
    lists_.clear();
    flaw_ = Flaw::none;
    flaw_offset_ = 0;
    previous_token_ = PreviousToken::start;
    has_pending_sign_ = false;
    has_several_statements_ = false;
    is_statement_ended_ = false;
}

bool Scanner::scan(std::string_view sql) {
    reset(sql);
    if (sql_.size() >= kMaxStatementBytes) return fail(Flaw::too_long, 0);
    const char* in = sql_.data();
    std::size_t size = sql_.size();
    for (;;) {
        if (pos_ < size && in[pos_] == ' ') ++pos_;  // fast path: most tokens follow one blank
        if (pos_ < size && is(in[pos_], kBlank | kOperator) && !skip_blanks()) return false;
        if (pos_ >= size) break;
        if (text_size_ > options_.max_text_bytes) return fail(Flaw::too_long, pos_);
        if (!scan_token(in, size)) return false;
    }
    while (!lists_.empty() && lists_.back().type == List::Type::rows) close_row_list();
    if (text_size_ == 0) return fail(Flaw::empty, sql_.size());
    if (text_size_ > options_.max_text_bytes) return fail(Flaw::too_long, sql_.size());
    return true;
}

void Scanner::close_row_list() {
    end_element(lists_.back());
    lists_.pop_back();
}

inline bool Scanner::scan_token(const char* in, std::size_t size) {
    std::size_t from = pos_;
    char c = in[from];
    char next = from + 1 < size ? in[from + 1] : '\0';
    // Any token other than a parenthesis or a comma ends the rows of VALUES.
    if (!lists_.empty() && unlisted_depth_ == 0 && lists_.back().type == List::Type::rows && c != ',' &&
        c != '(' && c != ')')
        close_row_list();
    if (c == ';') {
        ++pos_;
        if (text_size_ > 0) is_statement_ended_ = true;
        return true;
    }
    if (is_statement_ended_) begin_next_statement();
    if (is(c, kWordStart)) return scan_word_or_prefixed_literal(from, c, next);
    if (c == '\'') return scan_quoted_string(from, from, false, kText);
    if (is(c, kDigit) || (c == '.' && is(next, kDigit))) return scan_number(from);
    if (is(c, kOperator)) {
        scan_operator(from);
        return true;
    }
    return scan_punctuation(from, c, next);
}

void Scanner::begin_next_statement() {
    is_statement_ended_ = false;
    has_several_statements_ = true;
    append(';');
    previous_token_ = PreviousToken::start;
}

inline bool Scanner::scan_word_or_prefixed_literal(std::size_t from, char c, char next) {
    if (next == '\'') {
        char prefix = lower(c);
        bool is_bit_string = prefix == 'b' || prefix == 'x';
        if (prefix == 'e' || prefix == 'n' || is_bit_string)
            return scan_quoted_string(from + 1, from, prefix == 'e', is_bit_string ? kBits : kText);
    }
    bool has_unicode_prefix = lower(c) == 'u' && next == '&' && from + 2 < sql_.size() &&
                              (sql_[from + 2] == '\'' || sql_[from + 2] == '"');
    if (has_unicode_prefix) return scan_unicode(from);
    scan_word(from);
    return true;
}

inline bool Scanner::scan_punctuation(std::size_t from, char c, char next) {
    switch (c) {
        case '"':
            return scan_quoted_identifier(from);
        case '$':
            return is(next, kDigit) ? scan_parameter(from) : scan_dollar_quote(from);
        case '(':
        case '[':
            ++pos_;
            open_bracket(c);
            return true;
        case ')':
        case ']':
            ++pos_;
            close_bracket(c);
            return true;
        case ',':
            ++pos_;
            append_comma();
            return true;
        case '.':
        case ':':
            scan_dots_or_colons(from);
            return true;
        default:
            return fail(Flaw::bad_character, from);
    }
}

bool Scanner::scan_quoted_identifier(std::size_t from) {
    if (!skip_quoted_identifier(from, from)) return false;
    append(sql_.substr(from, pos_ - from));
    previous_token_ = PreviousToken::operand;
    return true;
}

// Appends ::, := or .. as one token, else the single character.
void Scanner::scan_dots_or_colons(std::size_t from) {
    std::string_view pair = sql_.substr(from, 2);
    std::size_t length = pair == "::" || pair == ":=" || pair == ".." ? 2 : 1;
    pos_ += length;
    append(sql_.substr(from, length));
    previous_token_ = PreviousToken::symbol;
}

}  // namespace indigovane::statement
