// Truncates, flips and zeroes every byte of a store of some megabytes on all cores, and prints the results of
// recovery. Not part of CI; run it with `make torture`. Exits with 1 if any recovery gave wrong data.
#define DOCTEST_CONFIG_IMPLEMENT
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "support/store_harness.hpp"

int main(int argc, char** argv) {
    using namespace indigovane::store;
    int batches = argc > 1 ? std::atoi(argv[1]) : 500;
    std::size_t threads = std::max(1u, std::thread::hardware_concurrency());
    auto began = std::chrono::steady_clock::now();
    DamageTest damage_test(batches, 4000, 64 * 1024);
    std::uint64_t bytes = 0;
    for (auto& [name, content] : damage_test.files) bytes += content.size();
    std::printf("%zu files, %llu bytes, %zu threads\n", damage_test.files.size(),
                static_cast<unsigned long long>(bytes), threads);
    std::vector<DamageTest::Counts> results(threads);
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < threads; ++i)
        workers.emplace_back([&, i] { results[i] = damage_test.run(i, threads); });
    for (auto& worker : workers) worker.join();
    DamageTest::Counts sum;
    for (auto& result : results) {
        sum.tried += result.tried, sum.refused += result.refused, sum.earlier += result.earlier;
        sum.complete += result.complete, sum.wrong += result.wrong;
    }
    std::printf(
        "%llu damaged stores in %.0f s: %llu refused, %llu at an earlier state, %llu unharmed, %llu wrong\n",
        static_cast<unsigned long long>(sum.tried),
        std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count(),
        static_cast<unsigned long long>(sum.refused), static_cast<unsigned long long>(sum.earlier),
        static_cast<unsigned long long>(sum.complete), static_cast<unsigned long long>(sum.wrong));
    return sum.wrong > 0 ? 1 : 0;
}
