// Statements: what they are called (shape), what they do (kind, route), without running or rewriting them.
// No I/O, no clock. This header: one pass over a statement by PostgreSQL's lexical rules (documentation,
// chapter 4.1 "Lexical Structure", of version 15; standard_conforming_strings is on).
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

#include "statement/canonical_text.hpp"

namespace indigovane::statement {

enum class Flaw : std::uint8_t {
    none,
    empty,           // blanks, comments and semicolons only
    unterminated,    // a string, comment, quoted identifier or dollar quote that does not end
    bad_character,   // one that begins no token
    bad_number,      // digits with letters behind them, a parameter out of range
    bad_escape,      // U& with an escape that names no character
    bad_identifier,  // a quoted one without a character
    too_long,        // the canonical text is longer than allowed
};
const char* describe(Flaw flaw);

struct Span {  // bytes of the statement, delimiters and sign included
    std::uint32_t begin = 0, length = 0;
    bool operator==(const Span&) const = default;
};

// Scans one statement after the other; its buffers are kept between them, so that a scan allocates nothing
// once they have grown. Not to be shared between threads.
class Scanner {
  public:
    struct Options {
        std::size_t longest = 1 << 20;    // of the canonical text, in bytes
        std::size_t most_spans = 0;       // literals whose places are kept; 0: none
        std::size_t most_elements = 256;  // nesting up to which lists are collapsed
    };
    Scanner() = default;
    explicit Scanner(Options options) : options_(options) {}

    // False: there is a flaw(), at(); the canonical text then ends before it.
    bool scan(std::string_view sql);

    Flaw flaw() const { return flaw_; }
    std::size_t at() const { return at_; }  // byte of the statement where the flaw is
    // Valid until the next scan. Tokens, each after a blank; literals as placeholders.
    std::string_view text() const { return {text_.data(), size_}; }
    const std::vector<Span>& spans() const { return spans_; }
    std::uint64_t literals() const { return literals_; }  // all of them, kept or not
    bool several() const { return several_; }             // a semicolon with a token behind it

  private:
    struct List {  // an IN (...), ARRAY[...] or VALUES (...), (...) that is open
        enum class Kind : char { plain, elements, row, rows } kind;
        std::size_t previous = 0, previous_end = 0;  // the element before, in text_
        std::size_t begin = 0;                       // the element now
        bool has_previous = false;
    };
    void reset(std::string_view sql);
    bool scan_token(const char* in, std::size_t size);
    bool word_or_prefixed_literal(std::size_t from, char c, char next);
    bool punctuation(std::size_t from, char c, char next);
    bool quoted_identifier(std::size_t from);
    bool skip_quoted_identifier(std::size_t open, std::size_t from);
    void dots_or_colons(std::size_t from);
    void begin_next_statement();
    void close_row_list();
    void put(std::string_view token);
    void put(char c);
    char* reserve(std::size_t bytes);  // where the next token goes
    void literal(Placeholder kind, std::size_t from);
    void word(std::size_t from);
    bool number(std::size_t from);
    bool quoted(std::size_t open, std::size_t from, bool escapes, Placeholder kind);
    bool unicode(std::size_t from);
    bool valid_unicode(std::string_view body, char escape) const;
    bool dollar(std::size_t from);
    bool parameter(std::size_t from);
    void symbol(std::size_t from);
    void open(char bracket);
    void close(char bracket);
    void comma();
    void skip_alike();
    void end_element(List& list);
    bool skip_blank();
    bool fail(Flaw flaw, std::size_t at);
    bool direct_element() const;
    bool sign_belongs() const;

    Options options_;
    std::string_view in_;
    std::size_t pos_ = 0;
    std::vector<char> text_;
    std::size_t size_ = 0;
    std::vector<Span> spans_;
    std::vector<List> lists_;
    std::uint64_t literals_ = 0, deep_ = 0;
    Flaw flaw_ = Flaw::none;
    std::size_t at_ = 0;
    std::size_t sign_at_ = 0, word_length_ = 0;
    // What the token before was, as far as the next one depends on it.
    enum class Before : char {
        start,
        word,
        operand,
        opener,
        comma,
        symbol,
        in,
        array,
        values
    } before_ = Before::start;
    bool signed_ = false, several_ = false, ended_ = false;
};

// Short and called for each token: inline.
inline char* Scanner::reserve(std::size_t bytes) {
    if (size_ + bytes > text_.size())
        text_.resize(std::max<std::size_t>({1024, text_.size() * 2, size_ + bytes}));
    return text_.data() + size_;
}

inline void Scanner::put(char c) {
    char* to = reserve(2);
    to[0] = ' ';
    to[1] = c;
    size_ += 2;
}

inline void Scanner::put(std::string_view token) {
    char* to = reserve(token.size() + 1);
    *to++ = ' ';
    std::memcpy(to, token.data(), token.size());
    size_ += token.size() + 1;
}

// Directly in a list, where every kind of literal may stand.
inline bool Scanner::direct_element() const {
    if (deep_ > 0 || lists_.empty() || (before_ != Before::opener && before_ != Before::comma)) return false;
    return lists_.back().kind == List::Kind::elements || lists_.back().kind == List::Kind::row;
}

}  // namespace indigovane::statement
