#include "program/shapes_command.hpp"

#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>

#include "program/command_line.hpp"
#include "program/statement_rules.hpp"

namespace indigovane::program {

namespace options = boost::program_options;
using nlohmann::ordered_json;
using namespace statement;

namespace {

constexpr int kSuccess = 0;
constexpr std::size_t kMaxPrintedText = 2000;  // bytes of a statement
// No client waits for the result, so every statement is parsed, whatever their number.
constexpr double kUnlimitedParses = 1e18;  // a second

std::string class_name(const StatementProfile& profile, const Rules& rules) {
    return rules.classes()[std::size_t(profile.request_class)].name;
}

std::string describe(const StatementProfile& profile, const Rules& rules) {
    ordered_json json;
    json["shape"] = profile.shape.hex();
    json["kind"] = name(profile.kind);
    json["route"] = name(profile.route);
    json["reason"] = profile.reason;
    json["cost"] = estimate_cost(profile);
    json["class"] = nullptr;
    if (profile.request_class >= 0) json["class"] = class_name(profile, rules);
    json["tables"] = profile.tables;
    return json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

int classify(StatementAnalyzer& analyzer, bool null_separated, std::istream& in, std::ostream& out) {
    std::string sql;
    while (std::getline(in, sql, null_separated ? '\0' : '\n')) {
        if (!null_separated && !sql.empty() && sql.back() == '\r') sql.pop_back();
        out << describe(analyzer.analyze(sql, {}), analyzer.rules()) << "\n";
    }
    out.flush();
    return kSuccess;
}

void print_features(const Features& features, std::ostream& out) {
    out << "features  relations " << int(features.relations) << ", joins " << int(features.joins)
        << ", aggregates " << int(features.aggregates) << ", sorts " << int(features.sorts) << ", subqueries "
        << int(features.subqueries) << ", functions " << int(features.functions)
        << (features.no_filter ? ", no filter" : "") << (features.no_limit ? ", no limit" : "")
        << (features.recursive ? ", recursive" : "") << "\n";
}

int explain(StatementAnalyzer& analyzer, const std::string& sql, std::ostream& out) {
    const StatementProfile& profile = analyzer.analyze(sql, {});
    const Scanner& scanner = analyzer.scanner();
    out << "shape     " << profile.shape.hex() << "\n"
        << "text      " << printable(scanner.text(), kMaxPrintedText) << "\n"
        << "literals  " << scanner.literals() << "\n"
        << "kind      " << name(profile.kind) << "\n"
        << "route     " << name(profile.route) << "\n"
        << "reason    " << profile.reason << "\n"
        << "class     "
        << (profile.request_class >= 0 ? class_name(profile, analyzer.rules()) : "none: no rule names one")
        << "\n"
        << "cost      " << estimate_cost(profile) << " us, estimated before its first run\n"
        << "tables   ";
    for (const std::string& table : profile.tables) out << " " << table;
    out << "\n";
    print_features(profile.features, out);
    return kSuccess;
}

options::variables_map parse_shapes_arguments(const std::vector<std::string>& arguments) {
    options::options_description description("options");
    description.add_options()("rules", options::value<std::string>(),
                              "the operator's file of statement rules")(
        "null", "statements are separated by zero bytes")("words", options::value<std::vector<std::string>>(),
                                                          "");
    return parse_arguments(arguments, description, "words");
}

}  // namespace

int run_shapes_command(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out) {
    options::variables_map values = parse_shapes_arguments(arguments);
    std::vector<std::string> operands;
    if (values.count("words")) operands = values["words"].as<std::vector<std::string>>();
    bool classifies = operands.size() == 1 && operands[0] == "classify";
    bool explains = operands.size() == 2 && operands[0] == "explain";
    if (!classifies && !explains)
        throw options::error(
            "usage: shapes classify [--rules FILE] [--null], or shapes explain [--rules FILE] STATEMENT");
    StatementConfig config;
    if (values.count("rules")) config = read_statement_config(values["rules"].as<std::string>());
    config.analyzer_options.parses_per_second = kUnlimitedParses;
    StatementAnalyzer analyzer(std::move(config.rules), config.analyzer_options);
    return explains ? explain(analyzer, operands[1], out)
                    : classify(analyzer, values.count("null") > 0, in, out);
}

}  // namespace indigovane::program
