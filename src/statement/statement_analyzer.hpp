// Entry point of the module. The analyzer scans a statement, looks up its canonical text in the shape cache,
// and parses it only if the cache has no entry.
#pragma once

#include <chrono>
#include <memory>
#include <string_view>

#include "statement/rules.hpp"
#include "statement/shape_cache.hpp"

namespace indigovane::statement {

class StatementAnalyzer {
  public:
    using Time = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
    struct Options {
        std::size_t cache = 8 << 20;                   // size limit of the shape cache, in bytes
        std::size_t longest_parsed = 16 * 1024;        // longest canonical text that is parsed, in bytes
        std::size_t max_canonical_bytes = 256 * 1024;  // the scan fails with Flaw::too_long beyond it
        // Maximum rate of parses. It protects the event loop from a client that sends a new shape each time:
        // beyond it, a new shape is handled like a statement that can't be parsed.
        double parses_per_second = 2000;
        std::uint64_t seed = 1;  // of the shape cache's hash
    };
    struct Counts {
        // Statements analyzed, new shapes parsed, and new shapes not parsed because of parses_per_second.
        std::uint64_t analyzed = 0, parsed = 0, parses_denied = 0;
    };

    StatementAnalyzer(Rules rules, Options options);

    // The result is valid until the next call. Throws only if memory runs out.
    const StatementProfile& analyze(std::string_view sql, Time now);
    // Applies to later statements. Clears the shape cache, whose profiles follow from the old rules.
    void set_rules(Rules rules);

    const Rules& rules() const { return *rules_; }
    const Scanner& scanner() const { return scanner_; }  // holds the scan of the last statement
    const ShapeCache& cache() const { return cache_; }
    const Counts& counts() const { return counts_; }

  private:
    Options options_;
    std::unique_ptr<Rules> rules_;
    std::unique_ptr<Classifier> classifier_;
    Scanner scanner_;
    ShapeCache cache_;
    StatementProfile uncached_profile_;  // of the last statement that was not parsed
    double parse_budget_;                // number of parses that the rate limit allows now
    Time budget_refilled_at_{};
    Counts counts_;
};

// The expected cost of a statement in microseconds: the declared cost, else an estimate from the features
// alone. Only the order of the estimates matters much, not their exact values, because the cost is learned
// from the first outcomes on.
std::uint32_t estimate_cost(const StatementProfile& profile);

}  // namespace indigovane::statement
