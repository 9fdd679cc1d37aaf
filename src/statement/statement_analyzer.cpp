#include "statement/statement_analyzer.hpp"

#include <algorithm>

namespace indigovane::statement {

StatementAnalyzer::StatementAnalyzer(Rules rules, Options options)
    : options_(options),
      rules_(std::make_unique<Rules>(std::move(rules))),
      classifier_(std::make_unique<Classifier>(*rules_, rules_->policy, options.longest_parsed)),
      scanner_({.longest = options.longest}),
      cache_(options.cache, options.seed),
      parse_budget_(options.parses_per_second) {}

void StatementAnalyzer::set_rules(Rules rules) {
    rules_ = std::make_unique<Rules>(std::move(rules));
    classifier_ = std::make_unique<Classifier>(*rules_, rules_->policy, options_.longest_parsed);
    cache_.clear();
}

const StatementProfile& StatementAnalyzer::analyze(std::string_view sql, Time now) {
    ++counts_.judged;
    if (!scanner_.scan(sql)) {
        last_ = classifier_->flawed(scanner_.flaw(), scanner_.at());
        last_.shape = shape_of(scanner_.text());
        return last_;
    }
    std::string_view text = scanner_.text();
    if (const StatementProfile* known = cache_.find(text)) return *known;
    if (now > refilled_) {
        std::chrono::duration<double> passed = now - refilled_;
        parse_budget_ =
            std::min(options_.parses_per_second, parse_budget_ + passed.count() * options_.parses_per_second);
        refilled_ = now;
    }
    if (parse_budget_ < 1) {
        ++counts_.unparsed;
        last_ = StatementProfile{};
        last_.shape = shape_of(text);
        last_.kind = Kind::invalid;
        last_.route = rules_->policy.unparsed;
        last_.reason = "too many new shapes a second";
        return last_;
    }
    parse_budget_ -= 1;
    ++counts_.parsed;
    StatementProfile profile = classifier_->classify(text);
    profile.shape = shape_of(text);
    profile.request_class = rules_->class_of(profile);
    if (profile.request_class >= 0)
        profile.cost_us = rules_->classes()[std::size_t(profile.request_class)].cost_us;
    profile.tables.shrink_to_fit();
    return *cache_.put(text, std::move(profile));
}

std::uint32_t estimate_cost(const StatementProfile& j) {
    if (j.cost_us > 0) return j.cost_us;
    const Features& f = j.features;
    double us = 2000;
    us += 4000.0 * f.joins + 6000.0 * f.aggregates + 3000.0 * f.sorts + 3000.0 * f.subqueries;
    us += 200.0 * f.functions;
    if (f.no_filter) us *= 4;
    if (f.no_filter && f.no_limit) us *= 4;
    if (f.recursive) us *= 3;
    if (j.kind == Kind::write || j.kind == Kind::utility) us *= 2;
    return std::uint32_t(std::min(us, 5e6));
}

}  // namespace indigovane::statement
