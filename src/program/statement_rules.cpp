#include "program/statement_rules.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <set>

#include "program/toml_reader.hpp"

namespace indigovane::program {

using limits::Duration;
using statement::Effect;
using statement::Kind;
using statement::Route;

namespace {

Effect effect(TomlReader::Table& t, Effect fallback) {
    std::string text;
    t.value<std::string>("effect", text, "\"reads\", \"writes\" or \"session\"",
                         [](std::string s) { return s == "reads" || s == "writes" || s == "session"; });
    return text == "reads"     ? Effect::reads
           : text == "writes"  ? Effect::writes
           : text == "session" ? Effect::session
                               : fallback;
}

void read_classes(TomlReader& reader, TomlReader::Table& root, StatementConfig& c) {
    std::set<std::string> seen;
    reader.each(root, "class", [&](TomlReader::Table& t) {
        statement::ClassRule rule;
        rule.name = t.name();
        for (const std::string& hex : t.names("shapes")) {
            statement::Shape shape;
            if (!statement::Shape::parse(hex, shape))
                reader.wrong(t.raw().get("shapes")->source(),
                             "shapes: '" + hex + "' is no shape of 32 hex digits");
            else if (!seen.insert("shape " + hex).second)
                reader.wrong(t.raw().get("shapes")->source(), "shapes: '" + hex + "' has a class already");
            else
                rule.shapes.push_back(shape);
        }
        rule.tables = t.names("tables");
        for (const std::string& table : rule.tables)
            if (!seen.insert("table " + table).second)
                reader.wrong(t.raw().get("tables")->source(), "tables: '" + table + "' has a class already");
        for (const std::string& text : t.names("kinds")) {
            Kind kind{};
            if (!statement::parse_kind(text, kind) || kind == Kind::many || kind == Kind::invalid)
                reader.wrong(
                    t.raw().get("kinds")->source(),
                    "kinds: '" + text + "' is none of read, locking, write, session, transaction, utility");
            else if (!seen.insert("kind " + text).second)
                reader.wrong(t.raw().get("kinds")->source(), "kinds: '" + text + "' has a class already");
            else
                rule.kinds.push_back(kind);
        }
        Duration cost{}, bound{};
        t.duration("cost", cost);
        t.duration("bound", bound);
        rule.cost_us = std::uint32_t(std::min<std::int64_t>(cost.count(), 60'000'000));
        rule.bound_us = std::uint64_t(bound.count());
        if (rule.shapes.empty() && rule.tables.empty() && rule.kinds.empty() && bound.count() == 0)
            reader.wrong(t.raw().source(),
                         "[[class]] names no shapes, tables, kinds or bound: it says nothing");
        c.rules.add_class(std::move(rule));
    });
}

void read_limits(TomlReader& reader, TomlReader::Table& root, StatementConfig& c) {
    limits::Settings& l = c.limits;
    reader.one(root, "limits", [&](TomlReader::Table& t) {
        t.value<bool>("enabled", l.enabled, "true or false");
        t.duration("work", l.work);
        t.unit<double>("reserve", l.reserve, "a percentage like \"25%\", up to 90%", [](std::string_view s) {
            auto p = read_percentage(s);
            return p && *p <= 0.9 ? p : std::nullopt;
        });
        t.size<std::size_t>("queue", l.queue, 0, 100000);
        t.duration("wait", l.wait, false);
        t.size<std::size_t>("shapes", l.shapes, 16, 1000000);
        t.unit<double>("shape_share", l.shape_share, "a percentage like \"25%\"", [](std::string_view s) {
            auto p = read_percentage(s);
            return p && *p > 0 && *p <= 1 ? p : std::nullopt;
        });
        t.duration("costly", l.costly);
        t.size<unsigned>("trial", l.trial, 1, 1000);
        t.size<unsigned>("trial_outcomes", l.trial_outcomes, 1, 1000);
        t.size<unsigned>("timeouts", l.timeouts, 1, 1000);
        t.duration("quarantine", l.quarantine);
        t.duration("quarantine_most", l.quarantine_most);
        t.duration("longest_retry_after", l.max_retry_after);
        if (l.quarantine_most < l.quarantine)
            reader.wrong(t.raw().source(), "quarantine_most: shorter than quarantine");
    });
    double total = 0;
    reader.each(root, "share", [&](TomlReader::Table& t) {
        std::string tenant = t.name("tenant");
        double share = 0;
        t.unit<double>("share", share, "a percentage like \"59%\"", [](std::string_view s) {
            auto p = read_percentage(s);
            return p && *p > 0 && *p <= 1 ? p : std::nullopt;
        });
        if (!t.raw().get("share")) reader.wrong(t.raw().source(), "[[share]] needs a 'share'");
        total += share;
        if (total > 1 + 1e-9) reader.wrong(t.raw().source(), "the shares come to more than 100%");
        if (tenant == "*")
            l.other_share = share;
        else if (!l.shares.emplace(tenant, share).second)
            reader.wrong(t.raw().source(), "'" + tenant + "' has a share already");
    });
    if (!l.shares.empty() && l.other_share >= 1) l.other_share = std::max(0.01, 1 - total);
}

}  // namespace

StatementConfig parse_statement_config(const std::string& text, const std::string& file) {
    toml::table parsed = parse_toml(text, file);
    StatementConfig c;
    TomlReader reader(file);
    {
        TomlReader::Table root(reader, parsed, "the file");
        reader.one(root, "statements", [&](TomlReader::Table& t) {
            t.value<bool>("open", c.open, "true or false");
            t.route("unparsed", c.rules.policy.unparsed);
            t.route("session", c.rules.policy.session);
            t.route("transaction", c.rules.policy.transaction);
            auto bytes = [](std::size_t least, std::size_t most) {
                return [=](std::string_view s) {
                    auto v = read_size(s);
                    return v && *v >= least && *v <= most ? v : std::nullopt;
                };
            };
            t.unit<std::size_t>("cache", c.judge.cache, "a size like \"8MiB\", from 64KiB to 1GiB",
                                bytes(64 << 10, 1 << 30));
            t.unit<std::size_t>("longest_parsed", c.judge.longest_parsed,
                                "a size like \"16KiB\", from 256B to 1MiB", bytes(256, 1 << 20));
            t.size<double>("parses_per_second", c.judge.parses_per_second, 1, 1e6);
            if (t.get("group")) {
                std::uint32_t group = 0;
                t.size<std::uint32_t>("group", group, 0, 0xffffffffu);
                c.group = group;
            }
            t.value<std::string>("read_class", c.read_class, "a class's name");
            t.value<std::string>("primary_class", c.primary_class, "a class's name");
            t.value<std::string>("write_class", c.write_class, "a class's name");
        });
        reader.each(root, "function", [&](TomlReader::Table& t) {
            std::string name = t.name();
            c.rules.declare_function(name, effect(t, Effect::writes));
        });
        reader.each(root, "operator", [&](TomlReader::Table& t) {
            std::string name = t.name();
            c.rules.declare_operator(name, effect(t, Effect::reads));
        });
        reader.each(root, "relation", [&](TomlReader::Table& t) {
            std::string name = t.name();
            c.rules.declare_relation(name, effect(t, Effect::writes));
        });
        reader.each(root, "type", [&](TomlReader::Table& t) { c.rules.declare_type(t.name()); });
        read_classes(reader, root, c);
        read_limits(reader, root, c);
    }
    reader.finish();
    return c;
}

StatementConfig read_statement_config(const std::string& path) {
    return parse_statement_config(read_operators_file(path), path);
}

}  // namespace indigovane::program
