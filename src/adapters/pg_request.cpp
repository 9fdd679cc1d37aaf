#include "adapters/pg_request.hpp"

#include <algorithm>
#include <vector>

#include "adapters/text_values.hpp"

namespace indigovane::adapters {

namespace pg = protocol::pg;
using namespace routing;

namespace {

constexpr std::size_t kMaxNameBytes = 1024;
constexpr std::size_t kMaxIdBytes = 64;
constexpr std::uint32_t kMaxRows = 10000;                     // in a page
constexpr auto kMaxClientTimeout = std::chrono::seconds(60);  // no state of a request is kept for longer
constexpr std::int64_t kMaxWaitMs = 3'600'000;                // largest accepted field `d`
// Largest accepted field `after`, the position in a session token.
constexpr std::int64_t kMaxPositionUnixMs = 9'000'000'000'000;

PgRejection invalid(std::string text) {
    return {pg::sqlstate::kInvalidParameter, std::move(text)};
}

bool is_valid_id(std::string_view id) {
    return !id.empty() && id.size() <= kMaxIdBytes && is_plain_token(id);
}

std::optional<PgRejection> read_timeout_and_position(const pg::Statement& statement,
                                                     const ClassInfo& request_class, ClientRequest& request) {
    request.client_timeout = request_class.deadline;
    if (auto wait = statement.field("d")) {
        auto milliseconds = parse_number<std::int64_t>(*wait);
        // Zero is valid: a client without time left is rejected like any request that arrives too late.
        if (!milliseconds || *milliseconds < 0 || *milliseconds > kMaxWaitMs)
            return invalid("the client timeout (d) is not a number between 0 and 3600000");
        request.client_timeout =
            std::min<Duration>(std::chrono::milliseconds(*milliseconds), kMaxClientTimeout);
    }
    if (auto after = statement.field("after")) {
        auto position = parse_number<std::int64_t>(*after);
        if (!position || *position < 0 || *position > kMaxPositionUnixMs)
            return invalid("the position (after) is not a number between 0 and 9000000000000");
        if (*position > 0) request.after_unix_ms = *position;
    }
    return std::nullopt;
}

// All clients wait while a comment is checked, so the work for one is bounded: the number of fields is
// limited, and the names are sorted instead of compared pair by pair.
std::optional<PgRejection> find_duplicate_field(const pg::Statement& statement) {
    if (statement.fields.size() > pg::Statement::kMaxFields)
        return invalid("the comment holds more than " + std::to_string(pg::Statement::kMaxFields) +
                       " fields");
    std::vector<std::string_view> names;
    names.reserve(statement.fields.size());
    for (const auto& [name, value] : statement.fields) names.push_back(name);
    std::sort(names.begin(), names.end());
    auto duplicate = std::adjacent_find(names.begin(), names.end());
    if (duplicate == names.end()) return std::nullopt;
    return invalid("the comment names '" + std::string(duplicate->substr(0, 64)) + "' twice");
}

// Returns what is wrong with a literal's value, or nullptr. It is valid in bytea's hex form, and as bytes
// without escapes.
const char* value_error(std::string_view text) {
    constexpr const char* kNoBytea = "the value is not a valid bytea literal";
    std::size_t bytes = text.size();
    if (text.substr(0, 2) == "\\x") {
        if (!pg::is_hex(text)) return kNoBytea;
        bytes = text.size() / 2 - 1;
    } else if (text.find('\\') != std::string_view::npos) {
        return kNoBytea;
    }
    return bytes > PgRequestReader::kMaxValueBytes ? "the value is too long" : nullptr;
}

// Returns why the statement is rejected, or nullptr. A statement that an endpoint can't read or would reject
// is not sent to one: the endpoint may close the connection although other requests wait on it, and its
// errors would count as faults of the endpoint.
const char* verb_error(const pg::Verb& verb, const ClassInfo& request_class) {
    if (verb.kind == pg::Verb::Kind::other) return "statements of this form are not supported";
    if (request_class.is_write != (verb.kind == pg::Verb::Kind::write))
        return "the statement does not fit its class";
    if (verb.name.size() > kMaxNameBytes) return "the name is too long";
    bool is_page = verb.kind == pg::Verb::Kind::page;
    if (!is_page && verb.name.empty()) return "the name is empty";
    if (is_page && (verb.limit == 0 || verb.limit > kMaxRows))
        return "a page's LIMIT must lie between 1 and 10000";
    if (!verb.long_content.empty()) return value_error(verb.long_content);
    return verb.content ? value_error(*verb.content) : nullptr;
}

ClientRequest::Verb verb_of(pg::Verb::Kind kind) {
    switch (kind) {
        case pg::Verb::Kind::lookup:
            return ClientRequest::Verb::lookup;
        case pg::Verb::Kind::write:
            return ClientRequest::Verb::write;
        case pg::Verb::Kind::page:
            return ClientRequest::Verb::page;
        case pg::Verb::Kind::other:
            break;
    }
    return ClientRequest::Verb::other;
}

void set_class(const ClassInfo& request_class, std::uint32_t group, ClientRequest& request) {
    request.class_name = request_class.name;
    request.request_class = request_class.id;
    request.group = GroupId{group};
}

}  // namespace

bool PgRequestReader::begins_with_word(std::string_view text, std::string_view word) {
    return text.size() >= word.size() &&
           std::equal(word.begin(), word.end(), text.begin(),
                      [](char a, char b) { return std::tolower(std::uint8_t(b)) == a; }) &&
           (text.size() == word.size() || !std::isalnum(std::uint8_t(text[word.size()])));
}

bool PgRequestReader::is_open_form(const pg::Statement& statement) {
    if (statement.malformed || statement.has_several_statements) return true;
    if (statement.body.empty()) return false;
    if (!statement.fields.empty()) return pg::read_verb(statement.body).kind == pg::Verb::Kind::other;
    for (const char* driver_command : {"set", "reset", "discard"})
        if (begins_with_word(statement.body, driver_command)) return false;
    return true;
}

void PgRequestReader::drop_foreign_comment(pg::Statement& statement) {
    if (!statement.field("id") && !statement.field("c") && !statement.field("cluster"))
        statement.fields.clear();
}

std::optional<PgRejection> PgRequestReader::read_known(std::string_view sql, const pg::Statement& statement,
                                                       ClientRequest& request) const {
    if (auto rejection = find_duplicate_field(statement)) return rejection;
    auto id = statement.field("id");
    auto class_name = statement.field("c");
    auto cluster = statement.field("cluster");
    if (!id || !is_valid_id(*id)) return invalid("the comment names no valid request id (id)");
    if (!class_name) return invalid("the comment names no class (c)");
    const ClassInfo* request_class = classes_.find(*class_name);
    if (!request_class)
        return invalid("class '" + std::string(class_name->substr(0, 64)) + "' does not exist");
    if (!cluster) return invalid("the comment names no group (cluster)");
    auto group = parse_number<std::uint32_t>(*cluster);
    if (!group) return invalid("the group (cluster) is not a number");
    if (auto rejection = read_timeout_and_position(statement, *request_class, request)) return rejection;
    pg::Verb verb = pg::read_verb(statement.body);
    if (const char* error = verb_error(verb, *request_class))
        return PgRejection{pg::sqlstate::kSyntaxError, error};
    if (request_class->needs_idempotency_key && statement.field("k").value_or("").empty())
        return invalid("the comment names no idempotency key (k), which this class needs");
    request.verb = verb_of(verb.kind);
    request.name = std::move(verb.name);
    request.content = std::move(verb.content);
    request.prefix = std::move(verb.prefix);
    request.limit = verb.limit;
    request.id = *id;
    request.tenant = statement.field("t").value_or("");
    request.key = statement.field("k").value_or("");
    set_class(*request_class, *group, request);
    request.is_retry = statement.field("r") == "1";
    if (request_class->is_write || request_class->has_session_consistency)
        request.session = session_number(request.name);
    request.statement = sql;
    request.may_stream_answer = true;
    return std::nullopt;
}

std::optional<PgRejection> PgRequestReader::read_open(std::string_view sql, const pg::Statement& statement,
                                                      const statement::StatementProfile& profile,
                                                      const OpenDefaults& defaults,
                                                      ClientRequest& request) const {
    if (auto id = statement.field("id")) {
        if (!is_valid_id(*id)) return invalid("the comment names no valid request id (id)");
        request.id = *id;
    }
    std::string reason;
    const ClassInfo* request_class =
        defaults.statements.choose(classes_, statement.field("c"), profile, reason);
    if (!request_class) return invalid(reason);
    request.key = statement.field("k").value_or("");
    bool is_read = profile.kind == statement::Kind::read;
    if (request_class->needs_idempotency_key && request.key.empty() && !is_read)
        return invalid("class '" + request_class->name +
                       "' needs an idempotency key (k): its statements may be retried");
    auto cluster = statement.field("cluster");
    auto group = cluster ? parse_number<std::uint32_t>(*cluster) : defaults.statements.options().group;
    if (!group)
        return invalid(cluster
                           ? "the group (cluster) is not a number"
                           : "the comment names no group (cluster), and no default (group) is configured");
    if (auto rejection = read_timeout_and_position(statement, *request_class, request)) return rejection;
    request.verb = ClientRequest::Verb::other;
    set_class(*request_class, *group, request);
    request.tenant = statement.field("t").value_or(defaults.user);
    request.is_retry = statement.field("r") == "1";
    // Without a session field the connection is the session: its reads see its own writes.
    if (request_class->is_write || request_class->has_session_consistency)
        request.session = session_number(statement.field("s").value_or(defaults.peer_address));
    request.uses_remembered_token = request.session && !request.after_unix_ms;
    request.may_write = request_class->is_write;
    request.is_barred_from_reserve = is_read && !request_class->has_session_consistency;
    request.has_no_comment_fields = statement.fields.empty();
    request.shape_high = profile.shape.high;
    request.shape_low = profile.shape.low;
    request.cost_us = statement::estimate_cost(profile);
    request.statement = sql;
    return std::nullopt;
}

}  // namespace indigovane::adapters
