// Fuzz target of the analyzer (libFuzzer): for any bytes, only a plain read may go to a replica, and a second
// analysis gives the same kind, route and shape as the first.
#include <cstdlib>

#include "statement/statement_analyzer.hpp"

using namespace indigovane::statement;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static StatementAnalyzer analyzer({}, {.cache = 1 << 20, .parses_per_second = 1e18});
    std::string_view sql(reinterpret_cast<const char*>(data), size);
    StatementProfile first = analyzer.analyze(sql, {});
    if (first.route == Route::replica && first.kind != Kind::read) std::abort();
    const StatementProfile& second = analyzer.analyze(sql, {});
    if (second.kind != first.kind || second.route != first.route || second.shape != first.shape) std::abort();
    return 0;
}
