#include "adapters/pg_query_text.hpp"

#include "protocol/pg.hpp"

namespace indigovane::adapters {

namespace pg = protocol::pg;
using routing::ClientRequest;

namespace {

std::string write_statement(const ClientRequest& request) {
    switch (request.verb) {
        case ClientRequest::Verb::lookup:
            return "SELECT content FROM kv WHERE name = " + pg::quote(request.name);
        case ClientRequest::Verb::write:
            return "INSERT INTO kv (name, content) VALUES (" + pg::quote(request.name) + ", " +
                   pg::quote(request.content.value_or("")) + ") RETURNING content";
        case ClientRequest::Verb::page:
            return "SELECT name, content FROM kv WHERE name > " + pg::quote(request.name) +
                   (request.prefix ? " AND starts_with(name, " + pg::quote(*request.prefix) + ")" : "") +
                   " ORDER BY name LIMIT " + std::to_string(request.limit);
        case ClientRequest::Verb::other:
            break;
    }
    return {};
}

// The comment with the fields that a PostgreSQL client would have written in front of its statement.
std::string write_comment(const ClientRequest& request, std::int64_t remaining_ms) {
    std::string out = "/* id=" + request.id + ",c=" + request.class_name;
    if (!request.tenant.empty()) out += ",t=" + request.tenant;
    out += ",d=" + std::to_string(remaining_ms);
    if (!request.key.empty()) out += ",k=" + request.key;
    out += ",cluster=" + std::to_string(std::uint32_t(request.group));
    if (request.after_unix_ms) out += ",after=" + std::to_string(*request.after_unix_ms);
    if (request.is_retry) out += ",r=1";
    return out + " */ ";
}

}  // namespace

std::string query_text(const ClientRequest& request, std::int64_t remaining_ms) {
    return write_comment(request, remaining_ms) + write_statement(request);
}

}  // namespace indigovane::adapters
