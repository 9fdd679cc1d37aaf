#include "program/shapes_command.hpp"

#include <boost/program_options.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "program/statement_rules.hpp"

namespace indigovane::program {

namespace options = boost::program_options;
using nlohmann::ordered_json;
using namespace statement;

namespace {

ordered_json describe(const StatementProfile& j, const Rules& rules) {
    ordered_json o;
    o["shape"] = j.shape.hex();
    o["kind"] = name(j.kind);
    o["route"] = name(j.route);
    o["reason"] = j.reason;
    o["cost"] = estimate_cost(j);
    o["class"] = nullptr;
    if (j.request_class >= 0) o["class"] = rules.classes()[std::size_t(j.request_class)].name;
    o["tables"] = j.tables;
    return o;
}

std::string line(const ordered_json& o) {
    return o.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

int classify(StatementAnalyzer& judge, bool null, std::istream& in, std::ostream& out) {
    std::string sql;
    while (std::getline(in, sql, null ? '\0' : '\n')) {
        if (!null && !sql.empty() && sql.back() == '\r') sql.pop_back();
        out << line(describe(judge.judge(sql, {}), judge.rules())) << "\n";
    }
    out.flush();
    return 0;
}

int explain(StatementAnalyzer& judge, const std::string& sql, std::ostream& out) {
    const StatementProfile& j = judge.judge(sql, {});
    const Scanner& scanner = judge.scanner();
    out << "shape     " << j.shape.hex() << "\n"
        << "text      " << printable(scanner.text(), 2000) << "\n"
        << "literals  " << scanner.literals() << "\n"
        << "kind      " << name(j.kind) << "\n"
        << "route     " << name(j.route) << "\n"
        << "reason    " << j.reason << "\n"
        << "class     "
        << (j.request_class >= 0 ? judge.rules().classes()[std::size_t(j.request_class)].name
                                 : "none by the rules")
        << "\n"
        << "cost      " << estimate_cost(j) << " us before it has ever run\n"
        << "tables   ";
    for (const std::string& t : j.tables) out << " " << t;
    const Features& f = j.features;
    out << "\nfeatures  relations " << int(f.relations) << ", joins " << int(f.joins) << ", aggregates "
        << int(f.aggregates) << ", sorts " << int(f.sorts) << ", subqueries " << int(f.subqueries)
        << ", functions " << int(f.functions) << (f.no_filter ? ", no filter" : "")
        << (f.no_limit ? ", no limit" : "") << (f.recursive ? ", recursive" : "") << "\n";
    return 0;
}

}  // namespace

int shapes(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out) {
    options::options_description described("options");
    described.add_options()("rules", options::value<std::string>(), "the operator's file of statements")(
        "null", "statements are set apart by zero bytes")("words", options::value<std::vector<std::string>>(),
                                                          "");
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(described).positional(positions).run(),
                   values);
    options::notify(values);
    std::vector<std::string> words;
    if (values.count("words")) words = values["words"].as<std::vector<std::string>>();
    bool classifies = words.size() == 1 && words[0] == "classify";
    bool explains = words.size() == 2 && words[0] == "explain";
    if (!classifies && !explains)
        throw options::error(
            "shapes classify [--rules FILE] [--null], or shapes explain [--rules FILE] STATEMENT");
    StatementConfig config;
    if (values.count("rules")) config = read_statement_config(values["rules"].as<std::string>());
    // Here nobody waits: each statement is parsed, whatever their number.
    config.judge.parses_per_second = 1e18;
    StatementAnalyzer judge(std::move(config.rules), config.judge);
    return explains ? explain(judge, words[1], out) : classify(judge, values.count("null") > 0, in, out);
}

}  // namespace indigovane::program
