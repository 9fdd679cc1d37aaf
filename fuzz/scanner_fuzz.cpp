// libFuzzer: any bytes through the scanner. `make fuzz` builds and runs it for a minute; seeds in fuzz/seeds.
#include <cstdlib>
#include <set>

#include "statement/scanner.hpp"

using namespace indigovane::statement;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static Scanner scanner({.longest = 65536, .most_spans = 4096, .most_elements = 16});
    std::string_view sql(reinterpret_cast<const char*>(data), size);
    bool good = scanner.scan(sql);
    if (!good && scanner.at() > size) std::abort();
    std::size_t end = 0;
    for (Span s : scanner.spans()) {  // in order, within the statement, apart
        if (s.begin < end || s.length == 0 || s.begin + std::size_t(s.length) > size) std::abort();
        end = s.begin + s.length;
    }
    if (good && scanner.text().empty()) std::abort();
    if (scanner.text().size() > 65536 + 2 * size + 64) std::abort();
    // The same again: nothing is left over from the scan before.
    std::string first(scanner.text());
    if (scanner.scan(sql) != good || scanner.text() != first) std::abort();
    return 0;
}
