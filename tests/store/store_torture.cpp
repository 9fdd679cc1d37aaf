// Every byte of a store of some megabytes cut at, flipped and zeroed, on all cores; prints what became of it.
// Not part of CI: `make torture`. Exits with 1 if any of them gave wrong data.
#define DOCTEST_CONFIG_IMPLEMENT
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "support/store_rig.hpp"

int main(int argc, char** argv) {
    using namespace indigovane::store;
    int batches = argc > 1 ? std::atoi(argv[1]) : 500;
    std::size_t threads = std::max(1u, std::thread::hardware_concurrency());
    auto began = std::chrono::steady_clock::now();
    Specimen specimen(batches, 4000, 64 * 1024);
    std::uint64_t bytes = 0;
    for (auto& [name, content] : specimen.files) bytes += content.size();
    std::printf("%zu files, %llu bytes, %zu threads\n", specimen.files.size(),
                static_cast<unsigned long long>(bytes), threads);
    std::vector<Specimen::AttemptResult> results(threads);
    std::vector<std::thread> all;
    for (std::size_t i = 0; i < threads; ++i)
        all.emplace_back([&, i] { results[i] = specimen.torture(i, threads); });
    for (auto& t : all) t.join();
    Specimen::AttemptResult sum;
    for (auto& r : results) {
        sum.tried += r.tried, sum.refused += r.refused, sum.earlier += r.earlier;
        sum.whole += r.whole, sum.wrong += r.wrong;
    }
    std::printf(
        "%llu damaged stores in %.0f s: %llu refused, %llu at an earlier state, %llu unharmed, %llu wrong\n",
        static_cast<unsigned long long>(sum.tried),
        std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count(),
        static_cast<unsigned long long>(sum.refused), static_cast<unsigned long long>(sum.earlier),
        static_cast<unsigned long long>(sum.whole), static_cast<unsigned long long>(sum.wrong));
    return sum.wrong > 0 ? 1 : 0;
}
