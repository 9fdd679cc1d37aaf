#include "statement/classifier.hpp"

#include <pg_query.h>

#include <algorithm>
#include <array>
#include <memory>
#include <nlohmann/json.hpp>

namespace indigovane::statement {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxTables = 8, kMaxReasonBytes = 200;

struct ParseResultDeleter {
    void operator()(PgQueryParseResult* result) const {
        pg_query_free_parse_result(*result);
        delete result;
    }
};

template <std::size_t N>
bool is_one_of(std::string_view text, const std::array<std::string_view, N>& names) {
    return std::find(names.begin(), names.end(), text) != names.end();
}

constexpr std::array<std::string_view, 6> kWriteNodes = {"InsertStmt", "UpdateStmt", "DeleteStmt",
                                                         "MergeStmt",  "DoStmt",     "CallStmt"};
constexpr std::array<std::string_view, 6> kWriteStatements = {
    "ExecuteStmt",  "CreateTableAsStmt",  "NotifyStmt",
    "TruncateStmt", "RefreshMatViewStmt", "ImportForeignSchemaStmt"};
constexpr std::array<std::string_view, 10> kSessionStatements = {
    "PrepareStmt",  "DeallocateStmt",    "DiscardStmt", "VariableSetStmt", "ListenStmt",
    "UnlistenStmt", "DeclareCursorStmt", "FetchStmt",   "LoadStmt",        "ClosePortalStmt"};
constexpr std::array<std::string_view, 3> kTransactionStatements = {"TransactionStmt", "ConstraintsSetStmt",
                                                                    "LockStmt"};

struct Name {
    std::string_view schema, name;
    bool may_be_builtin() const { return schema.empty() || schema == "pg_catalog"; }
    std::string text() const { return (schema.empty() ? "" : std::string(schema) + ".") + std::string(name); }
};

// Takes the last two String nodes of a list as schema and name. A list of one node has no schema.
Name read_qualified_name(const json& list) {
    Name last_two;
    if (!list.is_array()) return last_two;
    for (const json& item : list) {
        auto node = item.find("String");
        if (node == item.end() || !node->is_object()) continue;
        auto value = node->find("sval");
        if (value == node->end() || !value->is_string()) continue;
        last_two.schema = last_two.name;
        last_two.name = value->get_ref<const std::string&>();
    }
    return last_two;
}

// Empty if the field is missing or not a string.
std::string_view string_field(const json& object, const char* key) {
    auto it = object.find(key);
    if (it == object.end() || !it->is_string()) return {};
    return it->get_ref<const std::string&>();
}

// Stops at 255.
void add(std::uint8_t& count, std::size_t increment = 1) {
    count = std::uint8_t(std::min<std::size_t>(255, count + increment));
}

// Collects effects, tables and features from a whole parse tree. It keeps the pending nodes in a vector
// instead of recursing, so that deep nesting can't overflow the call stack.
class TreeInspector {
  public:
    explicit TreeInspector(const Declarations& declarations) : declarations_(declarations) {}

    void inspect(const json& root) {
        stack_.push_back(&root);
        while (!stack_.empty()) {
            const json& node = *stack_.back();
            stack_.pop_back();
            if (node.is_object()) {
                inspect_object(node);
                for (auto it = node.begin(); it != node.end(); ++it) {
                    inspect_field(it.key(), it.value());
                    if (it.value().is_structured()) stack_.push_back(&it.value());
                }
            } else if (node.is_array()) {
                for (const json& item : node)
                    if (item.is_structured()) stack_.push_back(&item);
            }
        }
    }

    bool has_writes = false, has_row_locks = false, has_session_effects = false, has_unknown_names = false;
    // The reason for the most severe effect found so far; of equal ones, the first.
    std::string reason;
    Features features;
    std::vector<std::string> tables;

  private:
    void record(bool& flag, std::string flag_reason) {
        if (!flag &&
            (&flag == &has_writes || reason.empty() || (!has_writes && &flag == &has_session_effects)))
            reason = std::move(flag_reason);
        flag = true;
    }
    // `object_type`: "function", "operator" etc., for the reason. No effect means that it is unknown.
    void record_effect(std::optional<Effect> effect, const char* object_type, const Name& name) {
        if (!effect)
            record(has_unknown_names, std::string(object_type) + " " + name.text() + " is unknown");
        else if (*effect == Effect::writes)
            record(has_writes, std::string(object_type) + " " + name.text() + " has effects");
        else if (*effect == Effect::session)
            record(has_session_effects,
                   std::string(object_type) + " " + name.text() + " changes the state of its connection");
    }
    std::optional<Effect> function_effect(const Name& name) const {
        auto declared = declarations_.function_effect(name.schema, name.name);
        std::optional<Effect> builtin;
        if (name.may_be_builtin()) builtin = builtin_function(name.name);
        // Either the declared function or the built-in one may hide the other: the more severe effect counts.
        if (declared && builtin) return std::max(*declared, *builtin);
        if (declared) return declared;
        if (name.schema.empty() && declarations_.may_have_effects(name.name)) return Effect::writes;
        return builtin;
    }
    void inspect_operator(const json& list) {
        Name name = read_qualified_name(list);
        if (name.name.empty()) return;
        auto declared = declarations_.operator_effect(name.schema, name.name);
        bool builtin = name.may_be_builtin() && builtin_operator(name.name);
        record_effect(declared  ? declared
                      : builtin ? std::optional(Effect::reads)
                                : std::nullopt,
                      "operator", name);
    }
    // t.f and (t).f call the function f(t) if t has no column f.
    void inspect_attribute(const json& list) {
        Name name = read_qualified_name(list);
        if (name.name.empty()) return;
        auto builtin = builtin_function(name.name);
        if (declarations_.may_have_effects(name.name) || (builtin && *builtin == Effect::writes))
            record(has_writes, "column " + name.text() + " may call a function that has effects");
    }

    void inspect_field(const std::string& key, const json& value) {
        if (is_one_of(key, kWriteNodes)) return record(has_writes, key.substr(0, key.size() - 4) + " writes");
        if (key == "intoClause") return record(has_writes, "SELECT INTO creates a table");
        if (key == "lockingClause") return record(has_row_locks, "the statement locks rows");
        if (key == "FuncCall") {
            auto names = value.find("funcname");
            if (names == value.end()) return;
            Name name = read_qualified_name(*names);
            add(features.functions);
            if (name.may_be_builtin() && builtin_aggregate(name.name)) add(features.aggregates);
            return record_effect(function_effect(name), "function", name);
        }
        if (key == "A_Expr") {
            auto names = value.find("name");
            // The name of a BETWEEN expression is not an operator.
            if (names != value.end() && string_field(value, "kind").find("BETWEEN") == std::string_view::npos)
                inspect_operator(*names);
            return;
        }
        if (key == "operName" || key == "useOp") return inspect_operator(value);
        if (key == "typeName" || key == "TypeName") {
            auto names = value.find("names");
            if (names == value.end()) return;
            Name name = read_qualified_name(*names);
            if (!(name.may_be_builtin() && builtin_type(name.name)) &&
                !declarations_.has_type(name.schema, name.name))
                record(has_unknown_names, "type " + name.text() + " is unknown");
            return;
        }
        if (key == "RangeTableSample") {
            auto names = value.find("method");
            if (names == value.end()) return;
            Name name = read_qualified_name(*names);
            if (name.may_be_builtin() && (name.name == "system" || name.name == "bernoulli")) return;
            return record_effect(declarations_.function_effect(name.schema, name.name), "sampling method",
                                 name);
        }
        if (key == "ColumnRef") {
            auto fields = value.find("fields");
            if (fields != value.end() && fields->size() > 1) inspect_attribute(*fields);
            return;
        }
        if (key == "A_Indirection") {
            auto steps = value.find("indirection");
            if (steps != value.end()) inspect_attribute(*steps);
            return;
        }
        if (key == "JoinExpr") return add(features.joins);
        if (key == "SubLink" || key == "RangeSubselect") return add(features.subqueries);
        if (key == "recursive") features.recursive = features.recursive || value == true;
    }

    void inspect_object(const json& node) {
        auto relname = node.find("relname");
        if (relname != node.end() && relname->is_string() && node.contains("relpersistence")) {
            Name name{string_field(node, "schemaname"), string_field(node, "relname")};
            add(features.relations);
            std::string text = name.text();
            if (tables.size() < kMaxTables && std::find(tables.begin(), tables.end(), text) == tables.end())
                tables.push_back(text);
            if (auto effect = declarations_.relation_effect(name.schema, name.name);
                effect && *effect != Effect::reads)
                record_effect(effect, "relation", name);
        }
        // Every SelectStmt has a limitOption, also where the field that holds it has another key.
        if (node.contains("limitOption")) {
            auto from = node.find("fromClause");
            if (from != node.end() && from->is_array() && !from->empty()) {
                add(features.joins, from->size() - 1);
                features.no_filter = features.no_filter || !node.contains("whereClause");
                features.no_limit = features.no_limit || !node.contains("limitCount");
            }
            if (node.contains("groupClause") || node.contains("distinctClause")) add(features.aggregates);
            if (node.contains("sortClause")) add(features.sorts);
        }
    }

    const Declarations& declarations_;
    std::vector<const json*> stack_;
};

bool is_temporary(const json& statement) {
    auto relation = statement.find("relation");
    return relation != statement.end() && string_field(*relation, "relpersistence") == "t";
}

// Whether an EXPLAIN runs its statement. The canonical text hides the value of a literal, so that a literal
// counts as true.
bool runs_statement(const json& explain) {
    auto options = explain.find("options");
    if (options == explain.end()) return false;
    bool runs = false;
    for (const json& option : *options) {
        auto element = option.find("DefElem");
        if (element == option.end() || string_field(*element, "defname") != "analyze") continue;
        auto arg = element->find("arg");
        runs = true;
        if (arg != element->end() && arg->contains("String")) {
            std::string_view value = string_field((*arg)["String"], "sval");
            runs = value != "off" && value != "false";
        }
    }
    return runs;
}

// Cuts a reason to kMaxReasonBytes, at the boundary of a UTF-8 character, and replaces control characters by
// blanks.
std::string shorten(std::string text) {
    if (text.size() > kMaxReasonBytes) {
        text.resize(kMaxReasonBytes - 3);
        while (!text.empty() && (std::uint8_t(text.back()) & 0xc0) == 0x80) text.pop_back();
        if (!text.empty() && (std::uint8_t(text.back()) & 0xc0) == 0xc0) text.pop_back();
        text += "...";
    }
    for (char& c : text)
        if (std::uint8_t(c) < 0x20 || c == 0x7f) c = ' ';
    return text;
}

}  // namespace

const char* name(Kind kind) {
    static constexpr const char* kNames[] = {"read",        "locking", "write", "session",
                                             "transaction", "utility", "many",  "invalid"};
    return kNames[std::size_t(kind)];
}

bool parse_kind(std::string_view text, Kind& out) {
    for (std::size_t index = 0; index <= std::size_t(Kind::invalid); ++index)
        if (text == name(Kind(index))) {
            out = Kind(index);
            return true;
        }
    return false;
}

const char* name(Route route) {
    static constexpr const char* kNames[] = {"replica", "primary", "refuse"};
    return kNames[std::size_t(route)];
}

Route Classifier::default_route(Kind kind) const {
    switch (kind) {
        case Kind::read:
            return Route::replica;
        case Kind::locking:
        case Kind::write:
        case Kind::utility:
            return Route::primary;
        case Kind::session:
            return policy_.session;
        case Kind::transaction:
            return policy_.transaction;
        case Kind::many:
            return Route::refuse;
        case Kind::invalid:
            break;
    }
    return policy_.unparsed;
}

StatementProfile Classifier::invalid_profile(Flaw flaw, std::size_t offset) const {
    StatementProfile profile;
    profile.kind = Kind::invalid;
    // An empty statement gives the primary nothing to do.
    profile.route = flaw == Flaw::empty ? Route::refuse : policy_.unparsed;
    profile.reason =
        std::string(describe(flaw)) + (flaw == Flaw::empty ? "" : ", at byte " + std::to_string(offset));
    return profile;
}

StatementProfile Classifier::classify(std::string_view canonical) const {
    StatementProfile profile;
    auto finish = [&](Kind kind, std::string reason) {
        profile.kind = kind;
        profile.route = default_route(kind);
        profile.reason = shorten(std::move(reason));
        return profile;
    };
    if (canonical.size() > max_canonical_bytes_)
        return finish(Kind::invalid, "the statement without its literals is too long to be parsed");
    std::string text = parsable(canonical);
    if (text.find('\0') != std::string::npos)
        return finish(Kind::invalid, "the statement contains a zero byte");
    std::unique_ptr<PgQueryParseResult, ParseResultDeleter> result(
        new PgQueryParseResult(pg_query_parse(text.c_str())));
    if (result->error)
        return finish(Kind::invalid,
                      result->error->message ? result->error->message : "the statement can't be parsed");
    json tree = json::parse(result->parse_tree, nullptr, false);
    result.reset();
    auto statements = tree.is_object() ? tree.find("stmts") : tree.end();
    if (tree.is_discarded() || !tree.is_object() || statements == tree.end() || !statements->is_array())
        return finish(Kind::invalid, "the parse tree can't be read");
    if (statements->empty()) return finish(Kind::invalid, describe(Flaw::empty));
    if (statements->size() > 1)
        return finish(Kind::many,
                      std::to_string(statements->size()) + " statements, but only one at a time is accepted");
    auto statement = statements->front().find("stmt");
    if (statement == statements->front().end() || statement->size() != 1)
        return finish(Kind::invalid, "the parse tree can't be read");
    const std::string statement_type = statement->begin().key();
    const json& body = statement->begin().value();

    TreeInspector inspector(declarations_);
    inspector.inspect(*statement);
    profile.tables = inspector.tables;
    profile.features = inspector.features;
    std::string command = statement_type.size() > 4 && statement_type.ends_with("Stmt")
                              ? statement_type.substr(0, statement_type.size() - 4)
                              : statement_type;

    if (is_one_of(statement_type, kTransactionStatements))
        return finish(Kind::transaction, command + " needs a transaction that spans statements");
    if (is_one_of(statement_type, kSessionStatements)) {
        // This includes SET LOCAL and SET TRANSACTION. They apply to a transaction and have no effect outside
        // one.
        return finish(Kind::session, command + " changes the state of its connection");
    }
    if (statement_type == "CreateStmt" && is_temporary(body))
        return finish(Kind::session, "a temporary table belongs to its connection");
    if (is_one_of(statement_type, kWriteStatements)) return finish(Kind::write, command + " writes");
    if (statement_type == "CopyStmt") {
        if (inspector.has_writes) return finish(Kind::write, inspector.reason);
        if (body.contains("is_from")) return finish(Kind::write, "COPY FROM writes");
        if (body.contains("filename") || body.contains("is_program"))
            return finish(Kind::write, "COPY to a file or program writes");
        return finish(Kind::utility, "COPY uses its own protocol");
    }
    if (statement_type == "ExplainStmt") {
        auto inner = body.find("query");
        std::string inner_type = inner != body.end() && inner->size() == 1 ? inner->begin().key() : "";
        bool is_select = inner_type == "SelectStmt";
        if (!runs_statement(body)) {
            // Planning runs no writes, but it does evaluate functions that are declared stable.
            if (!is_select || inspector.has_writes || inspector.has_session_effects)
                return finish(Kind::utility, "EXPLAIN of a statement that is not a plain read");
        } else if (is_one_of(inner_type, kWriteNodes) || is_one_of(inner_type, kWriteStatements) ||
                   inspector.has_writes) {
            return finish(Kind::write, "EXPLAIN ANALYZE runs the statement: " +
                                           (inspector.has_writes ? inspector.reason : inner_type));
        } else if (!is_select) {
            return finish(Kind::utility, "EXPLAIN ANALYZE of a statement that is not a plain read");
        }
    } else if (statement_type != "SelectStmt" && !is_one_of(statement_type, kWriteNodes)) {
        return finish(Kind::utility, command + " is not a query");
    }
    if (inspector.has_writes) return finish(Kind::write, inspector.reason);
    if (inspector.has_session_effects) return finish(Kind::session, inspector.reason);
    if (inspector.has_row_locks) return finish(Kind::locking, inspector.reason);
    finish(Kind::read, inspector.has_unknown_names ? inspector.reason : "the statement only reads");
    if (inspector.has_unknown_names) profile.route = Route::primary;
    return profile;
}

}  // namespace indigovane::statement
