// Fuzz target of the scanner (libFuzzer), for any bytes. `make fuzz` builds it and runs it for a minute. Its
// seeds are in fuzz/seeds.
#include <cstdlib>
#include <set>

#include "statement/scanner.hpp"

using namespace indigovane::statement;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static Scanner scanner({.max_text_bytes = 65536, .max_spans = 4096, .max_list_depth = 16});
    std::string_view sql(reinterpret_cast<const char*>(data), size);
    bool is_valid = scanner.scan(sql);
    if (!is_valid && scanner.flaw_offset() > size) std::abort();
    std::size_t end = 0;
    // The spans must be in order, within the statement, and not overlap.
    for (Span span : scanner.spans()) {
        if (span.begin < end || span.length == 0 || span.begin + std::size_t(span.length) > size)
            std::abort();
        end = span.begin + span.length;
    }
    if (is_valid && scanner.text().empty()) std::abort();
    if (scanner.text().size() > 65536 + 2 * size + 64) std::abort();
    // A second scan must give the same result: the scanner keeps no state from the first one.
    std::string first(scanner.text());
    if (scanner.scan(sql) != is_valid || scanner.text() != first) std::abort();
    return 0;
}
