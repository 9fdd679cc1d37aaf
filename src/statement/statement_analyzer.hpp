// Entry point of the module: a statement in, its profile out. Scans, looks it up, and parses it on a miss.
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
        std::size_t cache = 8 << 20;             // bytes
        std::size_t longest_parsed = 16 * 1024;  // bytes of canonical text
        std::size_t longest = 256 * 1024;        // likewise, to be scanned to the end
        // Guards the loop against a client that sends a new shape each time: beyond this a new shape is not
        // parsed but handled as one that can't be.
        double parses_per_second = 2000;
        std::uint64_t seed = 1;  // of the cache's hash
    };
    struct Counts {
        std::uint64_t judged = 0, parsed = 0, unparsed = 0;  // unparsed: for want of room
    };

    StatementAnalyzer(Rules rules, Options options);

    // Valid until the next call. Never throws but for want of memory.
    const StatementProfile& analyze(std::string_view sql, Time now);
    // Other rules from the next statement on; judgements made by the old ones are forgotten.
    void set_rules(Rules rules);

    const Rules& rules() const { return *rules_; }
    const Scanner& scanner() const { return scanner_; }  // of the last statement
    const ShapeCache& cache() const { return cache_; }
    const Counts& counts() const { return counts_; }

  private:
    Options options_;
    std::unique_ptr<Rules> rules_;
    std::unique_ptr<Classifier> classifier_;
    Scanner scanner_;
    ShapeCache cache_;
    StatementProfile last_;
    double parse_budget_;  // parses that may be made now
    Time refilled_{};
    Counts counts_;
};

// What a statement may cost before it has ever run: microseconds, from its features alone. Only the order
// matters much: it is learned from the first outcomes on.
std::uint32_t estimate_cost(const StatementProfile& profile);

}  // namespace indigovane::statement
