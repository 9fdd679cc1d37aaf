// Generates random statements for property tests. The same seed gives the same statement.
#pragma once

#include <cctype>
#include <cstddef>
#include <initializer_list>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace indigovane::statement {

// A token of a statement. write() chooses the literals; `text` is empty for them.
struct Token {
    enum class Type { word, name, symbol, number, text } type;
    std::string text;
};

// Generates a SELECT with nested expressions.
class StatementGenerator {
  public:
    explicit StatementGenerator(std::mt19937_64& random) : random_(random) {}

    std::vector<Token> statement() {
        word("select");
        expression(0);
        word("from");
        name(pick({"t", "app.stock", "\"T\"", "bags"}));
        if (random_() % 2) {
            word("where");
            expression(0);
        }
        if (random_() % 2) {
            word("limit");
            add(Token::Type::number);
        }
        return std::move(tokens_);
    }

  private:
    void expression(int depth) {
        switch (depth > 3 ? random_() % 3 : random_() % 8) {
            case 0:
                return name(pick({"a", "b", "hotel", "pieces", "\"Odd\"", "x1"}));
            case 1:
                return add(Token::Type::number);
            case 2:
                return add(Token::Type::text);
            case 3:
                return operation(depth);
            case 4:
                return call(depth);
            case 5:
                return case_when(depth);
            case 6:
                return in_list(depth);
            case 7:
                word("not");
                return expression(depth + 1);
        }
    }
    void operation(int depth) {
        symbol("(");
        expression(depth + 1);
        symbol(pick({"+", "*", "||", "=", "<", "@>"}));
        expression(depth + 1);
        symbol(")");
    }
    void call(int depth) {
        name(pick({"lower", "abs", "coalesce", "app.f"}));
        symbol("(");
        expression(depth + 1);
        symbol(",");
        expression(depth + 1);
        symbol(")");
    }
    void case_when(int depth) {
        word("case");
        word("when");
        expression(depth + 1);
        word("then");
        expression(depth + 1);
        word("end");
    }
    void in_list(int depth) {
        name("a");
        word("in");
        symbol("(");
        const std::size_t size = 1 + random_() % 3;
        for (std::size_t i = 0; i < size; ++i) {
            if (i) symbol(",");
            expression(depth + 2);
        }
        symbol(")");
    }
    void add(Token::Type type, std::string text = "") { tokens_.push_back({type, std::move(text)}); }
    void word(std::string text) { add(Token::Type::word, std::move(text)); }
    void name(std::string text) { add(Token::Type::name, std::move(text)); }
    void symbol(std::string text) { add(Token::Type::symbol, std::move(text)); }
    std::string pick(std::initializer_list<const char*> choices) {
        return std::string(*(choices.begin() + std::ptrdiff_t(random_() % choices.size())));
    }

    std::mt19937_64& random_;
    std::vector<Token> tokens_;
};

// Renders the tokens with random literals, blanks, comments and upper or lower case of keywords.
inline std::string write(const std::vector<Token>& tokens, std::mt19937_64& random) {
    std::string out;
    auto blank = [&] {
        static const char* const blanks[] = {" ",       "\n",         "\t ", " /* it's ; */ ",
                                             " -- '\n", "/*a/*b*/*/", "  "};
        out += blanks[random() % std::size(blanks)];
    };
    for (const Token& token : tokens) {
        blank();
        switch (token.type) {
            case Token::Type::word:
                for (char letter : token.text) out += random() % 2 ? char(std::toupper(letter)) : letter;
                break;
            case Token::Type::name:
            case Token::Type::symbol:
                out += token.text;
                break;
            case Token::Type::number: {
                static const char* const numbers[] = {"1", "42", "2147483648", "1.5", ".5", "1e9", "007"};
                out += numbers[random() % std::size(numbers)];
                break;
            }
            case Token::Type::text: {
                static const char* const texts[] = {"'a'",       "''",         "'it''s'",
                                                    "E'\\''",    "$$;'--$$",   "$q$ $$ $q$",
                                                    "'/* x */'", "U&'\\0061'", "'a'\n'b'"};
                out += texts[random() % std::size(texts)];
                break;
            }
        }
    }
    blank();
    return out;
}

}  // namespace indigovane::statement
