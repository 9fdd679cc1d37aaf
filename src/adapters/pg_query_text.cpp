#include "adapters/pg_query_text.hpp"

#include "protocol/pg.hpp"

namespace indigovane::adapters {

namespace pg = protocol::pg;
using routing::ClientRequest;

namespace {

std::string statement_of(const ClientRequest& request) {
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

// The fields of the comment for a request that came in by another wire.
std::string comment_of(const ClientRequest& request, std::int64_t remaining_ms) {
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
    return comment_of(request, remaining_ms) + statement_of(request);
}

}  // namespace indigovane::adapters
