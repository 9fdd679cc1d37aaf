// What the store costs: `make bench` prints the tables of docs/capacity.md#the-store-measured. Files are made
// in $STORE_BENCH_FOLDER, or here.
#include <benchmark/benchmark.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <unordered_map>

#include "store/thread.hpp"

namespace indigovane::store {
namespace {

void require(const IoStatus& status) {
    if (!status.ok()) std::abort();
}

std::string folder() {
    const char* from = std::getenv("STORE_BENCH_FOLDER");
    std::string path = (from ? std::string(from) : std::string(".")) + "/store-bench";
    std::filesystem::remove_all(path);
    return path;
}
std::unique_ptr<StoreThread> open_store(const std::string& path, RecoveryResult& found) {
    std::unique_ptr<Environment> environment;
    OpenError error;
    require(open_folder(path, environment));
    auto store = StoreThread::open(std::move(environment), {}, 0, {}, found, error);
    if (!store) std::abort();
    return store;
}

// What a request pays: the loop's side of one position.
void put_on_request_path(benchmark::State& state) {
    RecoveryResult found;
    auto store = open_store(folder(), found);
    std::uint64_t i = 0;
    for (auto _ : state) {
        store->store().put_position(i % 100000, i, 1'000'000'000'000);
        ++i;
        if (i % 4 == 0) store->flush();  // a batch of the loop
        if (i % 4096 == 0) store->poll();
    }
    store->close();
}
// Durable ones a second, each waited for by somebody, with so many at a time.
void durable_puts(benchmark::State& state) {
    RecoveryResult found;
    auto store = open_store(folder(), found);
    auto window = std::uint64_t(state.range(0));
    std::uint64_t i = 0;
    for (auto _ : state) {
        store->store().put(Space::hosts, "h" + std::to_string(++i % 1000), "out", Durability::strict);
        store->flush();
        while (store->store().ticket() - store->store().durable() >= window) {
            store->poll();
            std::this_thread::yield();
        }
    }
    state.SetItemsProcessed(std::int64_t(i));
    store->close();
}
// The project's baseline: the whole file anew at each change, as hosts taken out are kept without a store.
void baseline_whole_file(benchmark::State& state) {
    std::string path = folder();
    std::filesystem::create_directory(path);
    std::unique_ptr<Environment> environment;
    require(open_folder(path, environment));
    std::string content(1000 * 8, 'x');
    for (auto _ : state) {
        std::unique_ptr<File> file;
        require(environment->create("tmp", file));
        require(file->append(content));
        require(file->sync());
        require(environment->rename("tmp", "all"));
        require(environment->sync_folder());
    }
    state.SetItemsProcessed(std::int64_t(state.iterations()));
}
void baseline_append(benchmark::State& state) {
    std::string path = folder();
    std::filesystem::create_directory(path);
    std::unique_ptr<Environment> environment;
    require(open_folder(path, environment));
    std::unique_ptr<File> file;
    require(environment->create("log", file));
    for (auto _ : state) {
        require(file->append("h123 out\n"));
        require(file->sync());
    }
    state.SetItemsProcessed(std::int64_t(state.iterations()));
}

void time_recovery(benchmark::State& state, const std::string& path) {
    std::unique_ptr<Environment> environment;
    require(open_folder(path, environment));
    for (auto _ : state) {
        Store store;
        RecoveryResult r =
            recover_frames(*environment, false,
                           [&](const std::vector<RecordView>& x, std::uint64_t s) { store.load(x, s); });
        state.counters["MiB"] = double(r.bytes) / 1048576;
        state.counters["records"] = double(r.records);
    }
}

void recover_64_mib(benchmark::State& state) {
    std::string path = folder();
    {
        RecoveryResult found;
        auto store = open_store(path, found);
        // Records of 32 bytes in batches of 64, as a busy pooler's groups are.
        for (std::uint64_t i = 0; store->store().ticket() < 64ull * 1024 * 1024 / (64 * 32 + 48); ++i) {
            std::vector<Record> batch;
            for (std::uint64_t k = 0; k < 64; ++k)
                batch.push_back(
                    {Record::Type::put, Space::positions, position_key(i * 64 + k), encode_u64(i), 0});
            store->store().write(std::move(batch), Durability::relaxed);
            if (i % 64 == 0) store->flush();
        }
        store->close();
    }
    time_recovery(state, path);
}

// As most logs are: the same sessions again and again.
void recover_64_mib_of_50000_sessions(benchmark::State& state) {
    std::string path = folder();
    {
        RecoveryResult found;
        OpenOptions options;
        options.log_worker.max_amplification = 1e9;
        std::unique_ptr<Environment> environment;
        OpenError error;
        require(open_folder(path, environment));
        auto store = StoreThread::open(std::move(environment), options, 0, {}, found, error);
        for (std::uint64_t i = 0; store->store().ticket() < 64ull * 1024 * 1024 / (16 * 32 + 48); ++i) {
            std::vector<Record> batch;
            for (std::uint64_t k = 0; k < 16; ++k)
                batch.push_back({Record::Type::put, Space::positions,
                                 position_key((i * 16 + k) * 7919 % 50000), encode_u64(i), 0});
            store->store().write(std::move(batch), Durability::relaxed);
            if (i % 64 == 0) store->flush();
        }
        store->close();
    }
    time_recovery(state, path);
}

void amplification(benchmark::State& state) {
    for (auto _ : state) {
        RecoveryResult found;
        auto store = open_store(folder(), found);
        std::mt19937_64 random(1);
        std::uint64_t user = 0;
        for (int i = 0; i < 1'000'000; ++i) {
            store->store().put_position(random() % 50000, std::uint64_t(i), 0);
            user += record_bytes(8, 8);
            if (i % 50 == 0) store->flush();
            if (i % 500 == 0) store->poll();
            while (store->store().ticket() - store->store().durable() > 20000) {
                store->poll();
                std::this_thread::yield();
            }
        }
        store->close();
        state.counters["write"] = double(store->writer().counts().bytes) / double(user);
        state.counters["space"] = double(store->store().log_bytes()) / double(store->store().live_bytes());
        state.counters["log_MiB"] = double(store->store().log_bytes()) / 1048576;
    }
}

// ---- the index, against plain ones ---------------------------------------------------------------

void sessions_table(benchmark::State& state) {
    auto count = std::uint64_t(state.range(0));
    for (auto _ : state) {
        SessionTable table;
        for (std::uint64_t i = 0; i < count; ++i) table.put(i * 0x9e3779b97f4a7c15u).value = i;
        state.counters["bytes_an_entry"] = double(table.bytes()) / double(count);
        benchmark::DoNotOptimize(table.find(5));
    }
    state.SetItemsProcessed(std::int64_t(state.iterations()) * state.range(0));
}
std::size_t resident() {
    std::ifstream in("/proc/self/statm");
    std::size_t all = 0, resident = 0;
    in >> all >> resident;
    return resident * 4096;
}
void sessions_unordered_map(benchmark::State& state) {
    auto count = std::uint64_t(state.range(0));
    struct Value {
        std::uint64_t value;
        std::uint32_t sequence, expires;
    };
    for (auto _ : state) {
        std::size_t before = resident();
        std::unordered_map<std::uint64_t, Value> table;
        for (std::uint64_t i = 0; i < count; ++i) table[i * 0x9e3779b97f4a7c15u].value = i;
        state.counters["bytes_an_entry"] = double(resident() - before) / double(count);
    }
    state.SetItemsProcessed(std::int64_t(state.iterations()) * state.range(0));
}
void find_sessions_table(benchmark::State& state) {
    SessionTable table;
    std::uint64_t count = 1'000'000, i = 0;
    for (i = 0; i < count; ++i) table.put(i * 0x9e3779b97f4a7c15u).value = i;
    for (auto _ : state) benchmark::DoNotOptimize(table.find(i++ * 7919 % count * 0x9e3779b97f4a7c15u));
}
void find_sessions_unordered_map(benchmark::State& state) {
    std::unordered_map<std::uint64_t, SessionTable::Entry> table;
    std::uint64_t count = 1'000'000, i = 0;
    for (i = 0; i < count; ++i) table[i * 0x9e3779b97f4a7c15u].value = i;
    for (auto _ : state) benchmark::DoNotOptimize(table.find(i++ * 7919 % count * 0x9e3779b97f4a7c15u));
}
void snapshot_of_a_million(benchmark::State& state) {
    SessionTable table;
    for (std::uint64_t i = 0; i < 1'000'000; ++i) table.put(i).value = i;
    for (auto _ : state) benchmark::DoNotOptimize(table.snapshot());
}
void ordered_map(benchmark::State& state) {
    for (auto _ : state) {
        OrderedMap map;
        for (int i = 0; i < 20000; ++i) map.put("key" + std::to_string(i * 7919 % 20000), {"value", 1, 0});
    }
    state.SetItemsProcessed(std::int64_t(state.iterations()) * 20000);
}
void ordered_std_map(benchmark::State& state) {
    for (auto _ : state) {
        std::map<std::string, OrderedMap::Value> map;
        for (int i = 0; i < 20000; ++i) map["key" + std::to_string(i * 7919 % 20000)] = {"value", 1, 0};
    }
    state.SetItemsProcessed(std::int64_t(state.iterations()) * 20000);
}

BENCHMARK(put_on_request_path);
BENCHMARK(durable_puts)->Arg(1)->Arg(64)->Arg(4096)->UseRealTime();
BENCHMARK(baseline_whole_file)->UseRealTime();
BENCHMARK(baseline_append)->UseRealTime();
BENCHMARK(recover_64_mib)->Unit(benchmark::kMillisecond);
BENCHMARK(recover_64_mib_of_50000_sessions)->Unit(benchmark::kMillisecond);
BENCHMARK(amplification)->Unit(benchmark::kMillisecond)->Iterations(1);
BENCHMARK(sessions_table)->Arg(1'000'000)->Arg(10'000'000)->Unit(benchmark::kMillisecond)->Iterations(1);
BENCHMARK(sessions_unordered_map)
    ->Arg(1'000'000)
    ->Arg(10'000'000)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);
BENCHMARK(find_sessions_table);
BENCHMARK(find_sessions_unordered_map);
BENCHMARK(snapshot_of_a_million);
BENCHMARK(ordered_map)->Unit(benchmark::kMillisecond);
BENCHMARK(ordered_std_map)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace indigovane::store

BENCHMARK_MAIN();
