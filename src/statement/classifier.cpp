#include "statement/classifier.hpp"

#include <pg_query.h>

#include <algorithm>
#include <array>
#include <memory>
#include <nlohmann/json.hpp>

namespace indigovane::statement {

using nlohmann::json;

namespace {

constexpr std::size_t kTablesMost = 8, kReasonMost = 200;

struct FreeResult {
    void operator()(PgQueryParseResult* r) const {
        pg_query_free_parse_result(*r);
        delete r;
    }
};

template <std::size_t N>
bool one_of(std::string_view text, const std::array<std::string_view, N>& all) {
    return std::find(all.begin(), all.end(), text) != all.end();
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
    bool catalog() const { return schema.empty() || schema == "pg_catalog"; }
    std::string text() const { return (schema.empty() ? "" : std::string(schema) + ".") + std::string(name); }
};

// The last two of a list of String nodes.
Name read_name(const json& list) {
    Name out;
    if (!list.is_array()) return out;
    for (const json& item : list) {
        auto s = item.find("String");
        if (s == item.end() || !s->is_object()) continue;
        auto v = s->find("sval");
        if (v == s->end() || !v->is_string()) continue;
        out.schema = out.name;
        out.name = v->get_ref<const std::string&>();
    }
    return out;
}

std::string_view text_of(const json& object, const char* key) {
    auto it = object.find(key);
    if (it == object.end() || !it->is_string()) return {};
    return it->get_ref<const std::string&>();
}

void add(std::uint8_t& count, std::size_t more = 1) {
    count = std::uint8_t(std::min<std::size_t>(255, count + more));
}

// Walks a whole tree with a stack of its own: no nesting, however deep, takes more than memory.
class Walk {
  public:
    explicit Walk(const Declarations& declared) : declared_(declared) {}

    void run(const json& root) {
        stack_.push_back(&root);
        while (!stack_.empty()) {
            const json& node = *stack_.back();
            stack_.pop_back();
            if (node.is_object()) {
                object(node);
                for (auto it = node.begin(); it != node.end(); ++it) {
                    look(it.key(), it.value());
                    if (it.value().is_structured()) stack_.push_back(&it.value());
                }
            } else if (node.is_array()) {
                for (const json& item : node)
                    if (item.is_structured()) stack_.push_back(&item);
            }
        }
    }

    bool writes = false, locks = false, session = false, unknown = false;
    std::string why;  // of the first that was found, the gravest
    Features features;
    std::vector<std::string> tables;

  private:
    void found(bool& what, std::string reason) {
        if (!what && (&what == &writes || why.empty() || (!writes && &what == &session)))
            why = std::move(reason);
        what = true;
    }
    void effect(std::optional<Effect> e, const char* sort, const Name& name) {
        if (!e)
            found(unknown, std::string(sort) + " " + name.text() + " is unknown");
        else if (*e == Effect::writes)
            found(writes, std::string(sort) + " " + name.text() + " has effects");
        else if (*e == Effect::session)
            found(session, std::string(sort) + " " + name.text() + " leaves something on its connection");
    }
    std::optional<Effect> function_effect(const Name& name) const {
        auto declared = declared_.function(name.schema, name.name);
        std::optional<Effect> builtin;
        if (name.catalog()) builtin = builtin_function(name.name);
        // What is declared may hide a built-in, and the other way round: the graver counts.
        if (declared && builtin) return std::max(*declared, *builtin);
        if (declared) return declared;
        if (name.schema.empty() && declared_.any_effect(name.name)) return Effect::writes;
        return builtin;
    }
    void op(const json& list) {
        Name name = read_name(list);
        if (name.name.empty()) return;
        auto declared = declared_.op(name.schema, name.name);
        bool builtin = name.catalog() && builtin_operator(name.name);
        effect(declared ? declared : builtin ? std::optional(Effect::reads) : std::nullopt, "operator", name);
    }
    // t.f and (t).f call f(t) where f is a function and no column.
    void attribute(const json& list) {
        Name name = read_name(list);
        if (name.name.empty()) return;
        auto builtin = builtin_function(name.name);
        if (declared_.any_effect(name.name) || (builtin && *builtin == Effect::writes))
            found(writes, "column " + name.text() + " may be a call of the function with effects");
    }

    void look(const std::string& key, const json& value) {
        if (one_of(key, kWriteNodes)) return found(writes, key.substr(0, key.size() - 4) + " writes");
        if (key == "intoClause") return found(writes, "SELECT INTO makes a table");
        if (key == "lockingClause") return found(locks, "it locks rows");
        if (key == "FuncCall") {
            auto names = value.find("funcname");
            if (names == value.end()) return;
            Name name = read_name(*names);
            add(features.functions);
            if (name.catalog() && builtin_aggregate(name.name)) add(features.aggregates);
            return effect(function_effect(name), "function", name);
        }
        if (key == "A_Expr") {
            auto names = value.find("name");
            // BETWEEN's name is no operator's.
            if (names != value.end() && text_of(value, "kind").find("BETWEEN") == std::string_view::npos)
                op(*names);
            return;
        }
        if (key == "operName" || key == "useOp") return op(value);
        if (key == "typeName" || key == "TypeName") {
            auto names = value.find("names");
            if (names == value.end()) return;
            Name name = read_name(*names);
            if (!(name.catalog() && builtin_type(name.name)) && !declared_.type(name.schema, name.name))
                found(unknown, "type " + name.text() + " is unknown");
            return;
        }
        if (key == "RangeTableSample") {
            auto names = value.find("method");
            if (names == value.end()) return;
            Name name = read_name(*names);
            if (name.catalog() && (name.name == "system" || name.name == "bernoulli")) return;
            return effect(declared_.function(name.schema, name.name), "sampling method", name);
        }
        if (key == "ColumnRef") {
            auto fields = value.find("fields");
            if (fields != value.end() && fields->size() > 1) attribute(*fields);
            return;
        }
        if (key == "A_Indirection") {
            auto steps = value.find("indirection");
            if (steps != value.end()) attribute(*steps);
            return;
        }
        if (key == "JoinExpr") return add(features.joins);
        if (key == "SubLink" || key == "RangeSubselect") return add(features.subqueries);
        if (key == "recursive") features.recursive = features.recursive || value == true;
    }

    void object(const json& node) {
        auto relname = node.find("relname");
        if (relname != node.end() && relname->is_string() && node.contains("relpersistence")) {
            Name name{text_of(node, "schemaname"), text_of(node, "relname")};
            add(features.relations);
            std::string text = name.text();
            if (tables.size() < kTablesMost && std::find(tables.begin(), tables.end(), text) == tables.end())
                tables.push_back(text);
            if (auto e = declared_.relation(name.schema, name.name); e && *e != Effect::reads)
                effect(e, "relation", name);
        }
        if (node.contains("limitOption")) {  // a SelectStmt, also where its field does not say so
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

    const Declarations& declared_;
    std::vector<const json*> stack_;
};

bool is_temporary(const json& statement) {
    auto relation = statement.find("relation");
    return relation != statement.end() && text_of(*relation, "relpersistence") == "t";
}

// Whether an EXPLAIN runs its statement. A literal's value is not known here: it counts as yes.
bool analyzes(const json& explain) {
    auto options = explain.find("options");
    if (options == explain.end()) return false;
    bool runs = false;
    for (const json& option : *options) {
        auto e = option.find("DefElem");
        if (e == option.end() || text_of(*e, "defname") != "analyze") continue;
        auto arg = e->find("arg");
        runs = true;
        if (arg != e->end() && arg->contains("String")) {
            std::string_view value = text_of((*arg)["String"], "sval");
            runs = value != "off" && value != "false";
        }
    }
    return runs;
}

std::string shortened(std::string text) {
    if (text.size() > kReasonMost) {
        text.resize(kReasonMost - 3);
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
    for (std::size_t k = 0; k <= std::size_t(Kind::invalid); ++k)
        if (text == name(Kind(k))) {
            out = Kind(k);
            return true;
        }
    return false;
}

const char* name(Route route) {
    static constexpr const char* kNames[] = {"replica", "primary", "refuse"};
    return kNames[std::size_t(route)];
}

Route Classifier::route(Kind kind) const {
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

StatementProfile Classifier::flawed(Flaw flaw, std::size_t at) const {
    StatementProfile j;
    j.kind = Kind::invalid;
    // Where there is no statement there is nothing that a primary could do with it.
    j.route = flaw == Flaw::empty ? Route::refuse : policy_.unparsed;
    j.reason = std::string(describe(flaw)) + (flaw == Flaw::empty ? "" : ", at byte " + std::to_string(at));
    return j;
}

StatementProfile Classifier::classify(std::string_view canonical) const {
    StatementProfile j;
    auto end = [&](Kind kind, std::string reason) {
        j.kind = kind;
        j.route = route(kind);
        j.reason = shortened(std::move(reason));
        return j;
    };
    if (canonical.size() > longest_) return end(Kind::invalid, "too long to be parsed");
    std::string text = parsable(canonical);
    if (text.find('\0') != std::string::npos) return end(Kind::invalid, "a zero byte");
    std::unique_ptr<PgQueryParseResult, FreeResult> result(
        new PgQueryParseResult(pg_query_parse(text.c_str())));
    if (result->error)
        return end(Kind::invalid, result->error->message ? result->error->message : "it can't be parsed");
    json tree = json::parse(result->parse_tree, nullptr, false);
    result.reset();
    auto stmts = tree.is_object() ? tree.find("stmts") : tree.end();
    if (tree.is_discarded() || !tree.is_object() || stmts == tree.end() || !stmts->is_array())
        return end(Kind::invalid, "its tree can't be read");
    if (stmts->empty()) return end(Kind::invalid, describe(Flaw::empty));
    if (stmts->size() > 1)
        return end(Kind::many, std::to_string(stmts->size()) + " statements, one at a time is taken");
    auto stmt = stmts->front().find("stmt");
    if (stmt == stmts->front().end() || stmt->size() != 1)
        return end(Kind::invalid, "its tree can't be read");
    const std::string top = stmt->begin().key();
    const json& body = stmt->begin().value();

    Walk walk(declared_);
    walk.run(*stmt);
    j.tables = walk.tables;
    j.features = walk.features;
    std::string what = top.size() > 4 && top.ends_with("Stmt") ? top.substr(0, top.size() - 4) : top;

    if (one_of(top, kTransactionStatements))
        return end(Kind::transaction, what + " needs a transaction of its own");
    if (one_of(top, kSessionStatements)) {
        // SET LOCAL, and SET TRANSACTION, are of a transaction; both mean nothing here.
        return end(Kind::session, what + " leaves something on its connection");
    }
    if (top == "CreateStmt" && is_temporary(body))
        return end(Kind::session, "a temporary table stays on its connection");
    if (one_of(top, kWriteStatements)) return end(Kind::write, what + " writes");
    if (top == "CopyStmt") {
        if (walk.writes) return end(Kind::write, walk.why);
        if (body.contains("is_from")) return end(Kind::write, "COPY FROM writes");
        if (body.contains("filename") || body.contains("is_program"))
            return end(Kind::write, "COPY to a file or program writes");
        return end(Kind::utility, "COPY has a protocol of its own");
    }
    if (top == "ExplainStmt") {
        auto inner = body.find("query");
        std::string query = inner != body.end() && inner->size() == 1 ? inner->begin().key() : "";
        bool plain = query == "SelectStmt";
        if (!analyzes(body)) {
            // Planning runs no writes, but it does evaluate what is declared stable.
            if (!plain || walk.writes || walk.session)
                return end(Kind::utility, "EXPLAIN of what is no plain read");
        } else if (one_of(query, kWriteNodes) || one_of(query, kWriteStatements) || walk.writes) {
            return end(Kind::write, "EXPLAIN ANALYZE runs it: " + (walk.writes ? walk.why : query));
        } else if (!plain) {
            return end(Kind::utility, "EXPLAIN ANALYZE of what is no plain read");
        }
    } else if (top != "SelectStmt" && !one_of(top, kWriteNodes)) {
        return end(Kind::utility, what + " is no query");
    }
    if (walk.writes) return end(Kind::write, walk.why);
    if (walk.session) return end(Kind::session, walk.why);
    if (walk.locks) return end(Kind::locking, walk.why);
    end(Kind::read, walk.unknown ? walk.why : "it only reads");
    if (walk.unknown) j.route = Route::primary;
    return j;
}

}  // namespace indigovane::statement
