#include "statement/scanner.hpp"

#include <algorithm>
#include <cstring>

#include "statement/character_classes.hpp"

namespace indigovane::statement {

namespace {

constexpr std::size_t kMaxStatementBytes = 0xffffffff;  // spans count in 32 bits

// Keywords behind which an expression begins, so that a sign there belongs to the number after it.
bool is_clause(std::string_view word) {
    static constexpr std::string_view kClauses[] = {
        "select", "where", "and",    "or",     "not",  "limit",     "offset", "when",  "then",    "else",
        "by",     "on",    "having", "set",    "case", "returning", "like",   "ilike", "between", "distinct",
        "all",    "as",    "fetch",  "values", "from", "default",   "using",  "any",   "escape",  "is"};
    return std::find(std::begin(kClauses), std::end(kClauses), word) != std::end(kClauses);
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

// ---- the canonical text ------------------------------------------------------------------------

bool Scanner::fail(Flaw flaw, std::size_t at) {
    flaw_ = flaw;
    at_ = at;
    return false;
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

// ---- the statement -----------------------------------------------------------------------------

void Scanner::reset(std::string_view sql) {
    in_ = sql;
    pos_ = 0;
    size_ = 0;
    literals_ = 0;
    deep_ = 0;
    spans_.clear();
    lists_.clear();
    flaw_ = Flaw::none;
    at_ = 0;
    before_ = Before::start;
    signed_ = false;
    several_ = false;
    ended_ = false;
}

bool Scanner::scan(std::string_view sql) {
    reset(sql);
    if (in_.size() >= kMaxStatementBytes) return fail(Flaw::too_long, 0);
    const char* in = in_.data();
    std::size_t size = in_.size();
    for (;;) {
        if (pos_ < size && in[pos_] == ' ') ++pos_;  // mostly one blank, and no comment
        if (pos_ < size && is(in[pos_], kBlank | kOperator) && !skip_blank()) return false;
        if (pos_ >= size) break;
        if (size_ > options_.longest) return fail(Flaw::too_long, pos_);
        if (!scan_token(in, size)) return false;
    }
    while (!lists_.empty() && lists_.back().kind == List::Kind::rows) close_row_list();
    if (size_ == 0) return fail(Flaw::empty, in_.size());
    if (size_ > options_.longest) return fail(Flaw::too_long, in_.size());
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
    // The rows of VALUES go on as long as brackets and commas do.
    if (!lists_.empty() && deep_ == 0 && lists_.back().kind == List::Kind::rows && c != ',' && c != '(' &&
        c != ')')
        close_row_list();
    if (c == ';') {
        ++pos_;
        if (size_ > 0) ended_ = true;
        return true;
    }
    if (ended_) begin_next_statement();
    if (is(c, kWordStart)) return word_or_prefixed_literal(from, c, next);
    if (c == '\'') return quoted(from, from, false, kText);
    if (is(c, kDigit) || (c == '.' && is(next, kDigit))) return number(from);
    if (is(c, kOperator)) {
        symbol(from);
        return true;
    }
    return punctuation(from, c, next);
}

void Scanner::begin_next_statement() {
    ended_ = false;
    several_ = true;
    put(';');
    before_ = Before::start;
}

inline bool Scanner::word_or_prefixed_literal(std::size_t from, char c, char next) {
    if (next == '\'') {
        char prefix = lower(c);
        bool bits = prefix == 'b' || prefix == 'x';
        if (prefix == 'e' || prefix == 'n' || bits)
            return quoted(from + 1, from, prefix == 'e', bits ? kBits : kText);
    }
    bool unicode_prefix = lower(c) == 'u' && next == '&' && from + 2 < in_.size() &&
                          (in_[from + 2] == '\'' || in_[from + 2] == '"');
    if (unicode_prefix) return unicode(from);
    word(from);
    return true;
}

inline bool Scanner::punctuation(std::size_t from, char c, char next) {
    switch (c) {
        case '"':
            return quoted_identifier(from);
        case '$':
            return is(next, kDigit) ? parameter(from) : dollar(from);
        case '(':
        case '[':
            ++pos_;
            open(c);
            return true;
        case ')':
        case ']':
            ++pos_;
            close(c);
            return true;
        case ',':
            ++pos_;
            comma();
            return true;
        case '.':
        case ':':
            dots_or_colons(from);
            return true;
        default:
            return fail(Flaw::bad_character, from);
    }
}

bool Scanner::quoted_identifier(std::size_t from) {
    if (!skip_quoted_identifier(from, from)) return false;
    put(in_.substr(from, pos_ - from));
    before_ = Before::operand;
    return true;
}

// Two that belong together, as their characters stand side by side.
void Scanner::dots_or_colons(std::size_t from) {
    std::string_view pair = in_.substr(from, 2);
    std::size_t length = pair == "::" || pair == ":=" || pair == ".." ? 2 : 1;
    pos_ += length;
    put(in_.substr(from, length));
    before_ = Before::symbol;
}

}  // namespace indigovane::statement
