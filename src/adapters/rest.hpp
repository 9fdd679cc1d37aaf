// What the REST front and the REST backend share: the form of pages, and the cursor.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "routing/types.hpp"

namespace indigovane::adapters::rest {

// The query that a cursor goes on with. The page size is not part of it: a client may change that.
struct Query {
    std::string class_name, session, tenant, prefix;
    std::uint32_t group = 0;
};

// A cursor says after which row the next page begins. It is bound to its query by a check over both, and to
// no member: any that is current enough may serve the next page. The check guards against mix-ups and
// damage. It is no secret, and need not be: a cursor grants nothing that the query does not.
std::string write_cursor(const Query& query, std::string_view after);
std::optional<std::string> read_cursor(const Query& query, std::string_view cursor);  // after which row

std::string base64(std::string_view bytes);
std::optional<std::string> unbase64(std::string_view text);

nlohmann::json write_rows(const std::vector<routing::Row>& rows);
std::optional<std::vector<routing::Row>> read_rows(const std::string& body);

// bytea's text form where `binary` is false, bytes as they are otherwise.
std::string raw_content(const std::string& content, bool binary);

}  // namespace indigovane::adapters::rest
