// The JSON form of pages, which the REST front and the REST backend share, and the front's cursors.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "routing/types.hpp"

namespace indigovane::adapters::rest {

/// The query that a cursor continues. The page size is not part of it: a client may change it between pages.
struct Query {
    std::string class_name, session, tenant, prefix;
    std::uint32_t group = 0;
};

/// Returns the cursor of the page that begins after the row named `after`. A checksum binds the cursor to its
/// query; it is not bound to an endpoint: any one that is current enough may serve the next page. The
/// checksum detects cursors that are damaged or belong to another query. It needs no secret: a cursor grants
/// no access that the query itself does not.
std::string write_cursor(const Query& query, std::string_view after);
/// Returns the row name after which the page begins, or std::nullopt if the cursor is not one of this query.
std::optional<std::string> read_cursor(const Query& query, std::string_view cursor);

/// RFC 4648, section 4, with padding.
std::string base64(std::string_view bytes);
std::optional<std::string> unbase64(std::string_view text);

/// Rows as the array `items` of a page.
nlohmann::json write_rows(const std::vector<routing::Row>& rows);
/// Rows of a page's JSON body, or std::nullopt if it is malformed.
std::optional<std::vector<routing::Row>> read_rows(const std::string& body);

/// Returns the content's bytes: unchanged if `binary`, otherwise decoded from bytea's text form. Content that
/// is not in that form is returned unchanged.
std::string raw_content(const std::string& content, bool binary);

}  // namespace indigovane::adapters::rest
