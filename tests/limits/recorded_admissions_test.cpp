// Guards against unintended changes of admission control: random but seeded runs of the limiter must take the
// same decisions, event by event, as recorded in tests/corpus/recorded_admissions.txt. The file has a hash
// for each kEventsPerHash events.
//
// To find a difference, run the test with ADMISSIONS_DUMP=DIR before and after the change and compare the
// files: it writes the full text of each run to DIR. ADMISSIONS_RECORD=FILE appends the hashes of each run to
// FILE.
#include <doctest/doctest.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <vector>

#include "limits/limiter.hpp"

namespace indigovane::limits {
namespace {

using namespace std::chrono_literals;
constexpr Time kStart{std::chrono::seconds(1000)};
constexpr std::size_t kEvents = 6000;
constexpr std::size_t kEventsPerHash = 250;

struct RunOptions {
    std::string name;
    unsigned seed = 1;
    Settings settings;
    std::uint64_t groups = 2;
    std::uint64_t shapes = 12;
    bool has_invented_tenants = false;  // clients use new tenant names
    unsigned fault_percent = 5;         // of finished requests; they get a random outcome
    std::uint64_t tenants = 5;
    std::uint64_t arrival_percent = 50;  // of all events
};

std::vector<RunOptions> recorded_runs() {
    Settings shared;
    shared.enabled = true;
    shared.work = 1000ms;
    shared.queue = 60;
    shared.wait = 300ms;
    shared.shares = {{"vilaine", 0.59}, {"rance", 0.21}, {"odet", 0.20}};
    shared.other_share = 0.05;
    Settings open = shared;
    open.shares.clear();
    Settings small = shared;
    small.work = 200ms;
    small.queue = 8;
    small.wait = 50ms;
    small.shapes = 10;
    Settings faulty = shared;
    faulty.timeouts = 2;
    faulty.quarantine = 200ms;
    faulty.max_retry_after = 500ms;
    Settings no_retry_after = shared;
    no_retry_after.retry_after = false;
    no_retry_after.reserve = 0;
    return {{"shares", 1, shared, 2, 12, false, 5},  {"no_shares", 2, open, 2, 12, true, 5},
            {"invented", 3, shared, 2, 12, true, 5}, {"small", 4, small, 2, 40, false, 5},
            {"faulty", 5, faulty, 1, 8, false, 35},  {"silent", 6, no_retry_after, 3, 20, false, 10},
            {"groups", 7, small, 400, 40, false, 5}, {"crowded", 8, small, 1, 4, false, 5, 1, 75}};
}

class AdmissionRecording {
  public:
    explicit AdmissionRecording(const RunOptions& options)
        : options_(options), settings_(options.settings), limiter_(options.settings), random_(options.seed) {}

    void run() {
        for (std::size_t event = 1; event <= kEvents; ++event) {
            step();
            release();
            if (event % 50 == 0) append_state();
            if (event % kEventsPerHash == 0) append_hash();
        }
    }

    std::vector<std::string> hashes;
    std::string text;

  private:
    struct Request {
        std::uint64_t id;
        bool in_flight;
    };

    std::uint64_t below(std::uint64_t limit) { return random_() % limit; }

    void step() {
        now_ += Duration(below(4000));
        std::uint64_t event_draw = below(100);
        if (event_draw < options_.arrival_percent) {
            arrive();
        } else if (event_draw < 92) {
            finish_in_flight();
        } else if (event_draw < 95) {
            withdraw();
        } else if (event_draw < 98) {
            now_ += Duration(below(400'000));
        } else if (event_draw == 98) {
            change_settings();
        } else {
            learn();
        }
    }

    std::string tenant() {
        static const char* const kTenants[] = {"vilaine", "rance", "odet", "unnamed", ""};
        if (options_.has_invented_tenants && below(2) == 0) return "x" + std::to_string(below(300));
        return kTenants[below(options_.tenants)];
    }

    void arrive() {
        std::string name = tenant();
        Arrival arrival;
        arrival.id = ++last_id_;
        arrival.group = std::uint32_t(below(options_.groups));
        arrival.tenant = name;
        arrival.shape = {below(options_.shapes), 7};
        arrival.estimate = Duration(1000 + below(60'000));
        arrival.privileged = below(3) == 0;
        arrival.deadline = now_ + Duration(5000 + below(2'000'000));
        text += "arrive ";
        append_decision(limiter_.arrive(arrival, now_));
    }

    void finish_in_flight() {
        std::vector<std::size_t> running;
        for (std::size_t i = 0; i < open_.size(); ++i)
            if (open_[i].in_flight) running.push_back(i);
        if (running.empty()) return;
        std::size_t index = running[below(running.size())];
        std::uint64_t id = open_[index].id;
        open_.erase(open_.begin() + std::ptrdiff_t(index));
        Outcome outcome = Outcome::served;
        if (below(100) < options_.fault_percent) outcome = Outcome(below(5));
        if (outcome == Outcome::timed_out) now_ += 200ms;
        limiter_.finish(id, outcome, below(10'000), now_);
        text += "finish " + std::to_string(id) + " " + std::to_string(int(outcome)) + "\n";
    }

    void withdraw() {
        if (open_.empty()) return;
        std::size_t index = below(open_.size());
        std::uint64_t id = open_[index].id;
        open_.erase(open_.begin() + std::ptrdiff_t(index));
        limiter_.finish(id, Outcome::cancelled, 0, now_);
        limiter_.finish(id, Outcome::served, 0, now_);  // the id is unknown, so that the call is ignored
        text += "withdraw " + std::to_string(id) + "\n";
    }

    void change_settings() {
        settings_.work = Duration(options_.settings.work.count() / 2 +
                                  std::int64_t(below(std::uint64_t(options_.settings.work.count()))));
        if (!settings_.shares.empty()) settings_.shares["odet"] = 0.05 + 0.1 * double(below(5));
        limiter_.set(settings_);
        text += "set " + std::to_string(settings_.work.count()) + "\n";
    }

    void learn() {
        limiter_.load_prior({{100 + below(20), 7}, 1000 + below(900'000), 1000 + below(50'000), 10}, now_);
        text += "learn\n";
    }

    void release() {
        std::vector<AdmissionDecision> due;
        limiter_.release(now_, due);
        for (const AdmissionDecision& decision : due) {
            text += "release ";
            append_decision(decision);
        }
    }

    void append_decision(const AdmissionDecision& decision) {
        text += std::to_string(decision.id) + " " + std::to_string(int(decision.admission)) + " " +
                std::to_string(int(decision.cause)) + " \"" + name(decision.cause) + "\" " +
                (decision.retry_after ? std::to_string(decision.retry_after->count()) : "-") + "\n";
        std::erase_if(open_, [&](const Request& request) { return request.id == decision.id; });
        if (decision.admission == Admission::reject) return;
        open_.push_back({decision.id, decision.admission == Admission::admit});
    }

    void append_state() {
        auto next = limiter_.next();
        text += "state " + std::to_string(limiter_.queued()) + " " + std::to_string(limiter_.in_flight()) +
                " " + std::to_string(limiter_.work_in_flight(0).count()) + " " +
                std::to_string(limiter_.work_in_flight(1).count()) + " " +
                (next ? std::to_string(next->time_since_epoch().count()) : "-") + "\n";
        const auto& counts = limiter_.counts();
        for (std::uint64_t count :
             {counts.admitted, counts.queued, counts.rejected, counts.capped, counts.probes})
            text += std::to_string(count) + " ";
        text += "\n";
        for (const auto& line : limiter_.top(8, now_))
            text += std::to_string(line.shape.high) + " " + line.tenant + " " +
                    std::to_string(line.work.count()) + " " + name(line.cost.state) + " " +
                    std::to_string(line.cost.mean.count()) + " " + std::to_string(line.cost.p95.count()) +
                    " " + std::to_string(line.cap) + " " + std::to_string(line.in_flight) + "\n";
        for (const auto& prior : limiter_.priors(6))
            text += std::to_string(prior.shape.high) + " " + std::to_string(prior.mean_us) + " " +
                    std::to_string(prior.baseline_us) + " " + std::to_string(prior.outcomes) + "\n";
    }

    void append_hash() {
        std::uint64_t hash = 0xcbf29ce484222325u;  // FNV-1a
        for (char character : std::string_view(text).substr(hashed_length_))
            hash = (hash ^ std::uint8_t(character)) * 0x100000001b3u;
        hashed_length_ = text.size();
        char digits[17];
        std::snprintf(digits, sizeof digits, "%016" PRIx64, hash);
        hashes.emplace_back(digits);
    }

    const RunOptions& options_;
    Settings settings_;
    Limiter limiter_;
    std::mt19937_64 random_;
    Time now_ = kStart;
    std::uint64_t last_id_ = 0;
    std::vector<Request> open_;
    std::size_t hashed_length_ = 0;
};

std::map<std::string, std::vector<std::string>> read_hashes() {
    std::map<std::string, std::vector<std::string>> hashes;
    std::ifstream file(RECORDED_ADMISSIONS);
    for (std::string line; std::getline(file, line);) {
        std::istringstream fields(line);
        std::string name;
        fields >> name;
        for (std::string hash; fields >> hash;) hashes[name].push_back(hash);
    }
    return hashes;
}

TEST_CASE("recorded admissions: eight runs give the recorded decisions, event by event") {
    const char* dump = std::getenv("ADMISSIONS_DUMP");
    const char* record = std::getenv("ADMISSIONS_RECORD");
    auto expected = read_hashes();
    std::vector<RunOptions> runs = recorded_runs();
    CHECK(runs.size() == 8);
    for (const RunOptions& options : runs) {
        CAPTURE(options.name);
        AdmissionRecording recording(options);
        recording.run();
        if (dump) std::ofstream(std::string(dump) + "/" + options.name + ".txt") << recording.text;
        if (record) {
            std::ofstream file(record, std::ios::app);
            file << options.name;
            for (const std::string& hash : recording.hashes) file << ' ' << hash;
            file << '\n';
        }
        CHECK(recording.hashes.size() == kEvents / kEventsPerHash);
        const std::vector<std::string>& recorded = expected[options.name];
        auto [first, unused] =
            std::mismatch(recording.hashes.begin(), recording.hashes.end(), recorded.begin(), recorded.end());
        std::size_t equal_hashes = std::size_t(first - recording.hashes.begin());
        CHECK_MESSAGE(recording.hashes == recorded, "the first difference lies within events "
                                                        << equal_hashes * kEventsPerHash << " to "
                                                        << (equal_hashes + 1) * kEventsPerHash);
    }
}

}  // namespace
}  // namespace indigovane::limits
