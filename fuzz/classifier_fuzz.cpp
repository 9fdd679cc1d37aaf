// libFuzzer: any bytes through the whole package; whatever they are, only a plain read may go to a replica.
#include <cstdlib>

#include "statement/statement_analyzer.hpp"

using namespace indigovane::statement;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static StatementAnalyzer judge({}, {.cache = 1 << 20, .parses_per_second = 1e18});
    std::string_view sql(reinterpret_cast<const char*>(data), size);
    StatementProfile first = judge.analyze(sql, {});
    if (first.route == Route::replica && first.kind != Kind::read) std::abort();
    const StatementProfile& again = judge.analyze(sql, {});
    if (again.kind != first.kind || again.route != first.route || again.shape != first.shape) std::abort();
    return 0;
}
