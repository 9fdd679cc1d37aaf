#include "statement/statement_analyzer.hpp"

#include <algorithm>

namespace indigovane::statement {

StatementAnalyzer::StatementAnalyzer(Rules rules, Options options)
    : options_(options),
      rules_(std::make_unique<Rules>(std::move(rules))),
      classifier_(std::make_unique<Classifier>(*rules_, rules_->policy, options.longest_parsed)),
      scanner_({.max_text_bytes = options.max_canonical_bytes}),
      cache_(options.cache, options.seed),
      parse_budget_(options.parses_per_second) {}

void StatementAnalyzer::set_rules(Rules rules) {
    rules_ = std::make_unique<Rules>(std::move(rules));
    classifier_ = std::make_unique<Classifier>(*rules_, rules_->policy, options_.longest_parsed);
    cache_.clear();
}

const StatementProfile& StatementAnalyzer::analyze(std::string_view sql, Time now) {
    ++counts_.analyzed;
    if (!scanner_.scan(sql)) {
        uncached_profile_ = classifier_->invalid_profile(scanner_.flaw(), scanner_.flaw_offset());
        uncached_profile_.shape = shape_of(scanner_.text());
        return uncached_profile_;
    }
    std::string_view text = scanner_.text();
    if (const StatementProfile* known = cache_.find(text)) return *known;
    if (now > budget_refilled_at_) {
        std::chrono::duration<double> elapsed = now - budget_refilled_at_;
        parse_budget_ = std::min(options_.parses_per_second,
                                 parse_budget_ + elapsed.count() * options_.parses_per_second);
        budget_refilled_at_ = now;
    }
    if (parse_budget_ < 1) {
        ++counts_.parses_denied;
        uncached_profile_ = StatementProfile{};
        uncached_profile_.shape = shape_of(text);
        uncached_profile_.kind = Kind::invalid;
        uncached_profile_.route = rules_->policy.unparsed;
        uncached_profile_.reason = "too many new statement shapes per second";
        return uncached_profile_;
    }
    parse_budget_ -= 1;
    ++counts_.parsed;
    StatementProfile profile = classifier_->classify(text);
    profile.shape = shape_of(text);
    profile.request_class = rules_->find_class(profile);
    if (profile.request_class >= 0)
        profile.cost_us = rules_->classes()[std::size_t(profile.request_class)].cost_us;
    profile.tables.shrink_to_fit();
    return *cache_.put(text, std::move(profile));
}

std::uint32_t estimate_cost(const StatementProfile& profile) {
    if (profile.cost_us > 0) return profile.cost_us;
    const Features& features = profile.features;
    double cost_us = 2000;
    cost_us += 4000.0 * features.joins + 6000.0 * features.aggregates + 3000.0 * features.sorts +
               3000.0 * features.subqueries;
    cost_us += 200.0 * features.functions;
    if (features.no_filter) cost_us *= 4;
    if (features.no_filter && features.no_limit) cost_us *= 4;
    if (features.recursive) cost_us *= 3;
    if (profile.kind == Kind::write || profile.kind == Kind::utility) cost_us *= 2;
    return std::uint32_t(std::min(cost_us, 5e6));
}

}  // namespace indigovane::statement
