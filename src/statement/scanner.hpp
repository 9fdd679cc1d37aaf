// The module analyzes statements without running or rewriting them: it names their shape and determines their
// kind and route. It does no I/O and reads no clock.
// This header: the scanner, which reads a statement in one pass by PostgreSQL's lexical rules (documentation
// of version 15, chapter 4.1 "Lexical Structure", with standard_conforming_strings on).
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
    empty,           // only blanks, comments and semicolons
    unterminated,    // a string, comment, quoted identifier or dollar quote has no end
    bad_character,   // a character can't begin a token
    bad_number,      // letters follow the digits of a number, or a parameter's number is out of range
    bad_escape,      // an escape in a U& string or identifier, or its UESCAPE, is not valid
    bad_identifier,  // a quoted identifier is empty
    too_long,        // the canonical text exceeds its limit, or the statement has 2^32 - 1 bytes or more
};
const char* describe(Flaw flaw);

// A range of bytes of the statement that holds a literal, with its delimiters and sign.
struct Span {
    std::uint32_t begin = 0, length = 0;
    bool operator==(const Span&) const = default;
};

// Scans one statement after the other. It keeps its buffers, so that a scan allocates nothing once they have
// grown. Must not be shared between threads.
class Scanner {
  public:
    struct Options {
        std::size_t max_text_bytes = 1 << 20;  // of the canonical text
        std::size_t max_spans = 0;             // number of literals whose spans are recorded
        std::size_t max_list_depth = 256;      // equal list elements are merged up to this depth of brackets
    };
    Scanner() = default;
    explicit Scanner(Options options) : options_(options) {}

    // Returns false if the statement has a flaw: see flaw() and flaw_offset(). The canonical text then ends
    // before the flaw.
    bool scan(std::string_view sql);

    Flaw flaw() const { return flaw_; }
    std::size_t flaw_offset() const { return flaw_offset_; }  // in bytes of the statement
    // The canonical text: each token after a blank, and placeholders for literals. Valid until the next scan.
    std::string_view text() const { return {text_.data(), text_size_}; }
    const std::vector<Span>& spans() const { return spans_; }  // the first max_spans literals
    std::uint64_t literals() const { return literals_; }       // the number of all literals
    // Whether a token follows a semicolon.
    bool has_several_statements() const { return has_several_statements_; }

  private:
    // An open bracket, or an open list: IN (...), ARRAY[...] or VALUES (...), (...). Offsets are in text_.
    struct List {
        enum class Type : char {
            plain,     // a bracket whose elements are not merged
            elements,  // IN (...) or ARRAY[...]
            row,       // one row of VALUES
            rows       // all rows of VALUES
        } type;
        std::size_t previous_begin = 0, previous_end = 0;  // of the previous element
        std::size_t begin = 0;                             // of the current element
        bool has_previous = false;
    };
    void reset(std::string_view sql);
    bool scan_token(const char* in, std::size_t size);
    bool scan_word_or_prefixed_literal(std::size_t from, char c, char next);
    bool scan_punctuation(std::size_t from, char c, char next);
    bool scan_quoted_identifier(std::size_t from);
    bool skip_quoted_identifier(std::size_t open, std::size_t from);
    void scan_dots_or_colons(std::size_t from);
    void begin_next_statement();
    void close_row_list();
    void append(std::string_view token);
    void append(char c);
    // Makes room for `bytes` and returns the place of the next token.
    char* reserve(std::size_t bytes);
    void append_literal(Placeholder placeholder, std::size_t from);
    void scan_word(std::size_t from);
    bool scan_number(std::size_t from);
    bool scan_quoted_string(std::size_t open, std::size_t from, bool has_escapes, Placeholder placeholder);
    bool scan_unicode(std::size_t from);
    bool is_valid_unicode(std::string_view body, char escape) const;
    bool scan_dollar_quote(std::size_t from);
    bool scan_parameter(std::size_t from);
    void scan_operator(std::size_t from);
    void open_bracket(char bracket);
    void close_bracket(char bracket);
    void append_comma();
    void skip_plain_literals();
    void end_element(List& list);
    bool skip_blanks();
    bool fail(Flaw flaw, std::size_t offset);
    bool is_list_element() const;
    bool is_sign_of_number() const;

    Options options_;
    std::string_view sql_;
    std::size_t pos_ = 0;  // offset in sql_ of the next byte to scan
    std::vector<char> text_;
    std::size_t text_size_ = 0;  // bytes of text_ that are in use
    std::vector<Span> spans_;
    std::vector<List> lists_;
    // unlisted_depth_: the number of open brackets beyond max_list_depth, which have no entry in lists_.
    std::uint64_t literals_ = 0, unlisted_depth_ = 0;
    Flaw flaw_ = Flaw::none;
    std::size_t flaw_offset_ = 0;
    // Where the pending sign is in sql_; the length of the last word.
    std::size_t sign_offset_ = 0, word_length_ = 0;
    // The previous token, as far as the scan of the next one depends on it.
    enum class PreviousToken : char {
        start,
        word,
        operand,
        opener,
        comma,
        symbol,
        in,
        array,
        values
    } previous_token_ = PreviousToken::start;
    // A sign waits for its number; a token follows a semicolon; a semicolon follows a token.
    bool has_pending_sign_ = false, has_several_statements_ = false, is_statement_ended_ = false;
};

// The following functions are inline because they are short and called for each token.
inline char* Scanner::reserve(std::size_t bytes) {
    if (text_size_ + bytes > text_.size())
        text_.resize(std::max<std::size_t>({1024, text_.size() * 2, text_size_ + bytes}));
    return text_.data() + text_size_;
}

inline void Scanner::append(char c) {
    char* to = reserve(2);
    to[0] = ' ';
    to[1] = c;
    text_size_ += 2;
}

inline void Scanner::append(std::string_view token) {
    char* to = reserve(token.size() + 1);
    *to++ = ' ';
    std::memcpy(to, token.data(), token.size());
    text_size_ += token.size() + 1;
}

// Whether the next token begins an element directly in a list, where a literal of any kind may stand.
inline bool Scanner::is_list_element() const {
    if (unlisted_depth_ > 0 || lists_.empty() ||
        (previous_token_ != PreviousToken::opener && previous_token_ != PreviousToken::comma))
        return false;
    return lists_.back().type == List::Type::elements || lists_.back().type == List::Type::row;
}

}  // namespace indigovane::statement
