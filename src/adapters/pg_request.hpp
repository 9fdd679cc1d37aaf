// Reads a client's statement and its leading comment into a request. Does no I/O: a statement that can't be
// read gives a typed rejection, which the front sends.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "adapters/classes.hpp"
#include "adapters/statements.hpp"
#include "protocol/pg.hpp"
#include "routing/types.hpp"

namespace indigovane::adapters {

/// Why a statement is rejected.
struct PgRejection {
    std::string_view sqlstate;
    std::string text;  ///< The message shown to the client.
};

class PgRequestReader {
  public:
    /// Largest value of a write, in decoded bytes.
    static constexpr std::size_t kMaxValueBytes = 4 << 20;

    explicit PgRequestReader(const Classes& classes) : classes_(classes) {}

    /// Whether the statement is not of a known form, not empty and not a command that drivers send by
    /// themselves (SET, RESET, DISCARD).
    static bool is_open_form(const protocol::pg::Statement& statement);
    /// Clears the fields of a comment that has none of the protocol's fields id, c and cluster: such a
    /// comment belongs to the client.
    static void drop_foreign_comment(protocol::pg::Statement& statement);
    /// Whether the text begins with the word, ignoring case. `word` is in lower case.
    static bool begins_with_word(std::string_view text, std::string_view word);

    /// Reads a statement of one of the known forms into `request`. Returns std::nullopt on success.
    std::optional<PgRejection> read_known(std::string_view sql, const protocol::pg::Statement& statement,
                                          routing::ClientRequest& request) const;

    /// Values for fields that an open statement's comment leaves out.
    struct OpenDefaults {
        Statements& statements;
        const std::string& user;          ///< The default tenant.
        const std::string& peer_address;  ///< The default session: a connection reads its own writes.
    };
    /// Reads any single statement into `request`. Returns std::nullopt on success. `request.id` must be set
    /// before if the comment names none.
    std::optional<PgRejection> read_open(std::string_view sql, const protocol::pg::Statement& statement,
                                         const statement::StatementProfile& profile,
                                         const OpenDefaults& defaults, routing::ClientRequest& request) const;

  private:
    const Classes& classes_;
};

}  // namespace indigovane::adapters
