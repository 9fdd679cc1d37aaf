#include "program/statement_rules.hpp"

#include <algorithm>
#include <set>

#include "program/toml_reader.hpp"

namespace indigovane::program {

using limits::Duration;
using statement::Effect;
using statement::Kind;
using statement::Route;

namespace {

constexpr std::size_t kKiB = 1 << 10;
constexpr std::size_t kMiB = 1 << 20;
constexpr std::size_t kGiB = 1 << 30;
constexpr std::int64_t kMaxCostUs = 60'000'000;
constexpr double kMaxReserve = 0.9;
constexpr double kMinOtherShare = 0.01;  // of all tenants without a share of their own together
constexpr double kRoundingError = 1e-9;  // of a sum of shares

Effect read_effect(TomlReader::Table& table, Effect fallback) {
    std::string text;
    table.read_value<std::string>("effect", text, R"("reads", "writes" or "session")",
                                  [](const std::string& effect) {
                                      return effect == "reads" || effect == "writes" || effect == "session";
                                  });
    if (text == "reads") return Effect::reads;
    if (text == "writes") return Effect::writes;
    if (text == "session") return Effect::session;
    return fallback;
}

void read_route(TomlReader::Table& table, const char* key, Route& out) {
    std::string text;
    table.read_value<std::string>(key, text, R"("primary" or "refuse")", [](const std::string& route) {
        return route == "primary" || route == "refuse";
    });
    if (!text.empty()) out = text == "primary" ? Route::primary : Route::refuse;
}

// Reads a percentage above 0% and up to 100%.
void read_share(TomlReader::Table& table, const char* key, double& out, const char* expected) {
    table.read_with_unit<double>(key, out, expected, [](std::string_view text) {
        auto share = read_percentage(text);
        return share && *share > 0 && *share <= 1 ? share : std::nullopt;
    });
}

// Reads [[class]] tables. Each shape, table or kind may belong to at most one class.
class ClassReader {
  public:
    ClassReader(TomlReader& reader, statement::Rules& rules) : reader_(reader), rules_(rules) {}

    void read(TomlReader::Table& table) {
        statement::ClassRule rule;
        rule.name = table.read_required_name();
        read_shapes(table, rule);
        read_relations(table, rule);
        read_kinds(table, rule);
        Duration cost{};
        Duration bound{};
        table.read_duration("cost", cost);
        table.read_duration("bound", bound);
        rule.cost_us = std::uint32_t(std::min(std::int64_t(cost.count()), kMaxCostUs));
        rule.bound_us = std::uint64_t(bound.count());
        if (rule.shapes.empty() && rule.tables.empty() && rule.kinds.empty() && bound.count() == 0)
            reader_.report_error(table.raw().source(),
                                 "[[class]] has no effect: it needs 'shapes', 'tables', 'kinds' or 'bound'");
        rules_.add_class(std::move(rule));
    }

  private:
    // Assigns the item to the class that is read. Returns false and reports an error at the key if it belongs
    // to a class already.
    bool assign(TomlReader::Table& table, const char* key, const char* what, const std::string& item) {
        if (assigned_.insert(std::string(what) + " " + item).second) return true;
        report(table, key, "'" + item + "' belongs to a class already");
        return false;
    }
    void report(TomlReader::Table& table, const char* key, const std::string& what) {
        reader_.report_error(table.raw().get(key)->source(), std::string(key) + ": " + what);
    }
    void read_shapes(TomlReader::Table& table, statement::ClassRule& rule) {
        for (const std::string& hex : table.read_names("shapes")) {
            statement::Shape shape;
            if (!statement::Shape::parse(hex, shape))
                report(table, "shapes", "'" + hex + "' is not a shape, which has 32 hex digits");
            else if (assign(table, "shapes", "shape", hex))
                rule.shapes.push_back(shape);
        }
    }
    void read_relations(TomlReader::Table& table, statement::ClassRule& rule) {
        rule.tables = table.read_names("tables");
        for (const std::string& relation : rule.tables) assign(table, "tables", "table", relation);
    }
    void read_kinds(TomlReader::Table& table, statement::ClassRule& rule) {
        for (const std::string& text : table.read_names("kinds")) {
            Kind kind{};
            if (!statement::parse_kind(text, kind) || kind == Kind::many || kind == Kind::invalid)
                report(table, "kinds",
                       "'" + text + "' is not one of read, locking, write, session, transaction, utility");
            else if (assign(table, "kinds", "kind", text))
                rule.kinds.push_back(kind);
        }
    }

    TomlReader& reader_;
    statement::Rules& rules_;
    std::set<std::string> assigned_;  // "shape ...", "table ...", "kind ..."
};

void read_statements(TomlReader::Table& table, StatementConfig& config) {
    table.read_bool("open", config.open);
    read_route(table, "unparsed", config.rules.policy.unparsed);
    read_route(table, "session", config.rules.policy.session);
    read_route(table, "transaction", config.rules.policy.transaction);
    table.read_size("cache", config.analyzer_options.cache, R"(a size like "8MiB", from 64KiB to 1GiB)",
                    64 * kKiB, kGiB);
    table.read_size("longest_parsed", config.analyzer_options.longest_parsed,
                    R"(a size like "16KiB", from 256B to 1MiB)", 256, kMiB);
    table.read_whole_number<double>("parses_per_second", config.analyzer_options.parses_per_second, 1, 1e6);
    if (table.find("group")) {
        std::uint32_t group = 0;
        table.read_whole_number<std::uint32_t>("group", group, 0, 0xffffffffu);
        config.group = group;
    }
    table.read_value<std::string>("read_class", config.read_class, "a class's name");
    table.read_value<std::string>("primary_class", config.primary_class, "a class's name");
    table.read_value<std::string>("write_class", config.write_class, "a class's name");
}

void read_declarations(TomlReader& reader, TomlReader::Table& root, statement::Rules& rules) {
    reader.read_tables(root, "function", [&](TomlReader::Table& table) {
        std::string name = table.read_required_name();
        rules.declare_function(name, read_effect(table, Effect::writes));
    });
    reader.read_tables(root, "operator", [&](TomlReader::Table& table) {
        std::string name = table.read_required_name();
        rules.declare_operator(name, read_effect(table, Effect::reads));
    });
    reader.read_tables(root, "relation", [&](TomlReader::Table& table) {
        std::string name = table.read_required_name();
        rules.declare_relation(name, read_effect(table, Effect::writes));
    });
    reader.read_tables(root, "type",
                       [&](TomlReader::Table& table) { rules.declare_type(table.read_required_name()); });
}

void read_limits(TomlReader& reader, TomlReader::Table& table, limits::Settings& limits) {
    table.read_bool("enabled", limits.enabled);
    table.read_duration("work", limits.work);
    table.read_with_unit<double>("reserve", limits.reserve, R"(a percentage like "25%", up to 90%)",
                                 [](std::string_view text) {
                                     auto reserve = read_percentage(text);
                                     return reserve && *reserve <= kMaxReserve ? reserve : std::nullopt;
                                 });
    table.read_whole_number<std::size_t>("queue", limits.queue, 0, 100000);
    table.read_duration_or_zero("wait", limits.wait);
    table.read_whole_number<std::size_t>("shapes", limits.shapes, 16, 1000000);
    read_share(table, "shape_share", limits.shape_share, R"(a percentage like "25%")");
    table.read_duration("costly", limits.costly);
    table.read_whole_number<unsigned>("trial", limits.trial, 1, 1000);
    table.read_whole_number<unsigned>("trial_outcomes", limits.trial_outcomes, 1, 1000);
    table.read_whole_number<unsigned>("timeouts", limits.timeouts, 1, 1000);
    table.read_duration("quarantine", limits.quarantine);
    table.read_duration("quarantine_most", limits.quarantine_most);
    table.read_duration("longest_retry_after", limits.max_retry_after);
    if (limits.quarantine_most < limits.quarantine)
        reader.report_error(table.raw().source(), "quarantine_most: must not be shorter than 'quarantine'");
}

// Reads [[share]] tables of tenants. "*" is the share of all other tenants together; without it they get what
// is left.
void read_tenant_shares(TomlReader& reader, TomlReader::Table& root, limits::Settings& limits) {
    double total = 0;
    reader.read_tables(root, "share", [&](TomlReader::Table& table) {
        std::string tenant = table.read_required_name("tenant");
        double share = 0;
        read_share(table, "share", share, R"(a percentage like "59%")");
        if (!table.raw().get("share")) reader.report_error(table.raw().source(), "[[share]] needs a 'share'");
        total += share;
        if (total > 1 + kRoundingError)
            reader.report_error(table.raw().source(), "[[share]]: the shares add up to more than 100%");
        if (tenant == "*")
            limits.other_share = share;
        else if (!limits.shares.emplace(tenant, share).second)
            reader.report_error(table.raw().source(), "'" + tenant + "' has a share already");
    });
    if (!limits.shares.empty() && limits.other_share >= 1)
        limits.other_share = std::max(kMinOtherShare, 1 - total);
}

}  // namespace

StatementConfig parse_statement_config(const std::string& text, const std::string& file) {
    toml::table parsed = parse_toml(text, file);
    StatementConfig config;
    TomlReader reader(file);
    {
        TomlReader::Table root(reader, parsed, "the file");
        reader.read_table(root, "statements",
                          [&](TomlReader::Table& table) { read_statements(table, config); });
        read_declarations(reader, root, config.rules);
        ClassReader classes(reader, config.rules);
        reader.read_tables(root, "class", [&](TomlReader::Table& table) { classes.read(table); });
        reader.read_table(root, "limits",
                          [&](TomlReader::Table& table) { read_limits(reader, table, config.limits); });
        read_tenant_shares(reader, root, config.limits);
    }
    reader.finish();
    return config;
}

StatementConfig read_statement_config(const std::string& path) {
    return parse_statement_config(read_operators_file(path), path);
}

}  // namespace indigovane::program
