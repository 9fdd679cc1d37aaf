// Reads a client's statement, with the comment before it, into a request. No I/O: what can't be read is a
// typed rejection, which the front words.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "adapters/classes.hpp"
#include "adapters/statements.hpp"
#include "protocol/pg.hpp"
#include "routing/types.hpp"

namespace indigovane::adapters {

// Why a statement is not taken in.
struct PgRejection {
    std::string_view sqlstate;
    std::string text;  // for people
};

class PgRequestReader {
  public:
    static constexpr std::size_t kMaxValueBytes = 4 << 20;

    explicit PgRequestReader(const Classes& classes) : classes_(classes) {}

    // Whether it is none of the forms that are known, nor empty, nor what drivers send of themselves.
    static bool is_open_form(const protocol::pg::Statement& statement);
    // Forgets a comment that is not of the protocol's form: it is the client's own.
    static void drop_foreign_comment(protocol::pg::Statement& statement);
    // Whether the text begins with that word (in lower case), in any case of letters.
    static bool begins_with_word(std::string_view text, std::string_view word);

    // A statement of one of the known forms. Nothing: `request` holds all that was read.
    std::optional<PgRejection> read_known(std::string_view sql, const protocol::pg::Statement& statement,
                                          routing::ClientRequest& request) const;

    // What an open statement's comment may leave out.
    struct OpenDefaults {
        Statements& statements;
        const std::string& user;          // its tenant
        const std::string& peer_address;  // its session: a connection reads its own writes
    };
    // Any single statement. `request.id` is set already where the comment names none.
    std::optional<PgRejection> read_open(std::string_view sql, const protocol::pg::Statement& statement,
                                         const statement::StatementProfile& profile,
                                         const OpenDefaults& defaults, routing::ClientRequest& request) const;

  private:
    const Classes& classes_;
};

}  // namespace indigovane::adapters
