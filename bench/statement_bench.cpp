// Benchmarks of the statement module and of admission limits. `make bench` prints the tables of
// docs/statement-shapes-measured.md.
#include <benchmark/benchmark.h>

#include <cmath>
#include <list>
#include <random>
#include <unordered_map>

#include "limits/limiter.hpp"
#include "statement/statement_analyzer.hpp"

namespace indigovane::statement {
namespace {

const std::string kTypicalStatement =
    "/* id=9b1f03aa5c7e2d41,c=stock-view,t=acme,d=480,cluster=2 */ SELECT b.id, b.pieces, h.name FROM bags b "
    "JOIN "
    "hotels h ON h.id = b.hotel WHERE b.round = 'r-2026-12-01' AND b.pieces > 12 ORDER BY b.at LIMIT 50";

std::string select_in_list(std::size_t count) {
    std::string sql = "SELECT content FROM kv WHERE name IN (";
    for (std::size_t i = 0; i < count; ++i) sql += (i ? ", '" : "'") + std::to_string(1000000 + i) + "'";
    return sql + ")";
}

void scan(benchmark::State& state, const std::string& sql) {
    Scanner scanner({.max_text_bytes = 64 << 20});
    for (auto _ : state) benchmark::DoNotOptimize(scanner.scan(sql));
    state.SetBytesProcessed(std::int64_t(state.iterations()) * std::int64_t(sql.size()));
}
void scan_usual(benchmark::State& state) {
    scan(state, kTypicalStatement);
}
void scan_long_literal(benchmark::State& state) {
    scan(state, "INSERT INTO kv (name, content) VALUES ('a', '\\x" + std::string(4 << 20, 'a') + "')");
}
void scan_escaped_literal(benchmark::State& state) {
    scan(state, "INSERT INTO kv (name, content) VALUES ('a', E'" + std::string(4 << 20, 'a') + "')");
}
void scan_long_comment(benchmark::State& state) {
    scan(state, "SELECT /*" + std::string(4 << 20, 'c') + "*/ 1");
}
void scan_long_list(benchmark::State& state) {
    scan(state, select_in_list(100000));
}
void scan_long_code(benchmark::State& state) {
    std::string sql = "SELECT 1";
    while (sql.size() < 200000) sql += ", coalesce(pieces_in_the_bag, other_column_of_it) AS longer_name";
    scan(state, sql);
}

void judge_hit(benchmark::State& state) {
    StatementAnalyzer analyzer({}, {});
    for (auto _ : state) benchmark::DoNotOptimize(&analyzer.analyze(kTypicalStatement, {}));
    state.counters["bytes"] = double(kTypicalStatement.size());
}
void judge_hit_of_many(benchmark::State& state) {
    StatementAnalyzer analyzer({}, {.parses_per_second = 1e18});
    std::vector<std::string> statements;
    for (int i = 0; i < 8000; ++i)
        statements.push_back(kTypicalStatement + " OFFSET b.c" + std::to_string(i));
    for (int round = 0; round < 2; ++round)
        for (auto& sql : statements) analyzer.analyze(sql, {});
    std::mt19937 random(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(&analyzer.analyze(statements[random() % statements.size()], {}));
    state.counters["shapes"] = double(analyzer.cache().size());
    state.counters["MiB"] = double(analyzer.cache().bytes()) / 1048576;
}
void judge_miss(benchmark::State& state) {
    StatementAnalyzer analyzer({}, {.parses_per_second = 1e18});
    std::size_t i = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(
            &analyzer.analyze(kTypicalStatement + " OFFSET b.c" + std::to_string(++i), {}));
}

// ---- the shape cache compared with a plain LRU of the same size ------------------------------------

class PlainLru {
  public:
    explicit PlainLru(std::size_t bytes) : max_bytes_(bytes) {}
    const StatementProfile* find(std::string_view text) {
        auto it = map_.find(std::string(text));
        if (it == map_.end()) return nullptr;
        order_.splice(order_.begin(), order_, it->second);
        return &it->second->second;
    }
    const StatementProfile* put(std::string_view text, StatementProfile profile) {
        // Counts memory as the shape cache does: the entry, its text and its strings. This cache keeps the
        // text twice, but counts it once.
        bytes_ += sizeof(StatementProfile) + text.size() + 88;
        order_.emplace_front(std::string(text), std::move(profile));
        map_[order_.front().first] = order_.begin();
        while (bytes_ > max_bytes_) {
            bytes_ -= sizeof(StatementProfile) + order_.back().first.size() + 88;
            map_.erase(order_.back().first);
            order_.pop_back();
        }
        return &order_.front().second;
    }

  private:
    std::list<std::pair<std::string, StatementProfile>> order_;
    std::unordered_map<std::string, std::list<std::pair<std::string, StatementProfile>>::iterator> map_;
    std::size_t max_bytes_, bytes_ = 0;
};

// The order in which keys are looked up. skewed: by a Zipf distribution; looping: 3000 keys in turn; flooded:
// three of four keys are used only once.
enum class Trace { skewed, looping, flooded };
std::vector<std::uint32_t> make_keys(Trace trace) {
    std::vector<std::uint32_t> keys;
    std::mt19937_64 random(7);
    std::vector<double> sums;
    double sum = 0;
    for (int i = 1; i <= 20000; ++i) sums.push_back(sum += 1 / std::pow(i, 0.9));
    auto zipf = [&] {
        double at = double(random() >> 11) / double(1ull << 53) * sum;
        return std::uint32_t(std::lower_bound(sums.begin(), sums.end(), at) - sums.begin());
    };
    for (std::uint32_t i = 0; i < 300000; ++i) {
        if (trace == Trace::skewed) keys.push_back(zipf());
        if (trace == Trace::looping) keys.push_back(i % 3000);
        if (trace == Trace::flooded) keys.push_back(i % 4 ? 1000000 + i : zipf() % 1500);
    }
    return keys;
}

template <typename Cache>
void run_trace(benchmark::State& state, Trace trace, Cache&& make) {
    auto keys = make_keys(trace);
    std::vector<std::string> texts;
    for (std::uint32_t key : keys)
        texts.push_back(" select a from t where column_" + std::to_string(key) + std::string(120, 'x'));
    double hits = 0, lookups = 0;
    for (auto _ : state) {
        auto cache = make();
        for (const std::string& text : texts) {
            ++lookups;
            if (cache->find(text)) {
                ++hits;
                continue;
            }
            StatementProfile profile;
            profile.reason = "it only reads";
            cache->put(text, std::move(profile));
        }
    }
    state.counters["hit_ratio"] = hits / lookups;
    state.SetItemsProcessed(std::int64_t(lookups));
}
constexpr std::size_t kCacheBytes = 512 * 1024;
void shape_cache(benchmark::State& state, Trace trace) {
    run_trace(state, trace, [] { return std::make_unique<ShapeCache>(kCacheBytes, 1); });
}
void plain_lru(benchmark::State& state, Trace trace) {
    run_trace(state, trace, [] { return std::make_unique<PlainLru>(kCacheBytes); });
}

// ---- limits --------------------------------------------------------------------------------------

void limiter_through(benchmark::State& state) {
    limits::Settings settings;
    settings.shares = {{"a", 0.6}, {"b", 0.4}};
    limits::Limiter limiter(settings);
    limits::Time now{std::chrono::seconds(1)};
    std::uint64_t id = 0;
    std::vector<limits::AdmissionDecision> due;
    for (auto _ : state) {
        now += std::chrono::microseconds(100);
        ++id;
        limiter.arrive(
            {id, 1, "a", {id % 16, 1}, std::chrono::milliseconds(10), false, now + std::chrono::seconds(1)},
            now);
        limiter.finish(id, limits::Outcome::served, 100, now + std::chrono::microseconds(50));
        limiter.release(now + std::chrono::microseconds(50), due);
        due.clear();
    }
}
void limiter_queued(benchmark::State& state) {
    limits::Settings settings;
    settings.shares = {{"a", 0.6}, {"b", 0.4}};
    settings.wait = std::chrono::seconds(10);
    limits::Limiter limiter(settings);
    limits::Time now{std::chrono::seconds(1)};
    std::uint64_t id = 0;
    std::vector<limits::AdmissionDecision> due;
    std::list<std::uint64_t> running;
    auto arrive = [&] {
        ++id;
        auto decision = limiter.arrive({id,
                                        1,
                                        id % 2 ? "a" : "b",
                                        {id % 16, 1},
                                        std::chrono::milliseconds(50),
                                        false,
                                        now + std::chrono::seconds(100)},
                                       now);
        if (decision.admission == limits::Admission::admit) running.push_back(id);
    };
    for (int i = 0; i < 100; ++i) arrive();
    for (auto _ : state) {
        now += std::chrono::milliseconds(5);
        arrive();
        if (!running.empty()) {
            limiter.finish(running.front(), limits::Outcome::served, 100, now);
            running.pop_front();
        }
        due.clear();
        limiter.release(now, due);
        for (auto& decision : due)
            if (decision.admission == limits::Admission::admit) running.push_back(decision.id);
    }
}

BENCHMARK(scan_usual);
BENCHMARK(scan_long_literal);
BENCHMARK(scan_escaped_literal);
BENCHMARK(scan_long_comment);
BENCHMARK(scan_long_list);
BENCHMARK(scan_long_code);
BENCHMARK(judge_hit);
BENCHMARK(judge_hit_of_many);
BENCHMARK(judge_miss);
BENCHMARK_CAPTURE(shape_cache, skewed, Trace::skewed)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(plain_lru, skewed, Trace::skewed)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(shape_cache, looping, Trace::looping)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(plain_lru, looping, Trace::looping)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(shape_cache, flooded, Trace::flooded)->Unit(benchmark::kMillisecond);
BENCHMARK_CAPTURE(plain_lru, flooded, Trace::flooded)->Unit(benchmark::kMillisecond);
BENCHMARK(limiter_through);
BENCHMARK(limiter_queued);

}  // namespace
}  // namespace indigovane::statement

BENCHMARK_MAIN();
