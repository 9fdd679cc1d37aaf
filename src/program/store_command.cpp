#include "program/store_command.hpp"

#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <random>

#include "program/command_line.hpp"
#include "program/offline_store.hpp"
#include "program/store_record_json.hpp"

namespace indigovane::program {

namespace options = boost::program_options;
using nlohmann::ordered_json;
using store::Record;
using store::RecoveryResult;
using store::Space;

namespace {

// Exit statuses.
constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kTornTail = 3;
constexpr int kDamaged = 4;

// The arguments and streams of a subcommand.
struct Invocation {
    std::string folder;
    bool salvage = false;
    std::istream& in;
    std::ostream& out;
    std::ostream& errors;

    OfflineStore open(OfflineStore::Access access) const { return {folder, salvage, access}; }
    void print_findings(const RecoveryResult& recovered) const {
        for (const store::Finding& finding : recovered.findings)
            errors << "indigovane store: " << folder << "/" << finding.text() << "\n";
    }
    void print_status(const RecoveryResult& recovered) const {
        errors << "indigovane store: " << recovered.status.text() << "\n";
    }
    // Prints the findings. Returns false, and prints the reason, if the store can't be used.
    bool is_usable(const RecoveryResult& recovered) const {
        print_findings(recovered);
        if (!recovered.usable() && !recovered.status.ok()) print_status(recovered);
        return recovered.usable();
    }
    void print(const OfflineStore::Entry& entry) const {
        out << write_record_line(entry.record, entry.sequence) << "\n";
    }
};

int dump(const Invocation& invocation) {
    OfflineStore opened_store = invocation.open(OfflineStore::Access::read);
    if (!invocation.is_usable(opened_store.recovered())) return kFailure;
    for (const auto& [key, entry] : opened_store.entries()) invocation.print(entry);
    return kSuccess;
}

int get(const Invocation& invocation, const std::string& space_name, const std::string& key_text) {
    auto space = store::parse_space(space_name);
    if (!space) throw OfflineStoreError("no such space: '" + space_name + "'");
    std::optional<std::string> key = key_text;
    if (*space == Space::positions) key = read_session_key(key_text);
    if (!key) throw OfflineStoreError("the key of a session must have 16 hex digits");
    OfflineStore opened_store = invocation.open(OfflineStore::Access::read);
    if (!opened_store.recovered().usable()) {
        invocation.is_usable(opened_store.recovered());
        return kFailure;
    }
    auto found = opened_store.entries().find({*space, *key});
    if (found == opened_store.entries().end()) throw OfflineStoreError("no such key in this space");
    invocation.print(found->second);
    return kSuccess;
}

ordered_json statistics(const OfflineStore& opened_store) {
    std::uint64_t live_bytes = 0;
    std::map<std::string, std::uint64_t> by_space;
    for (const auto& [key, entry] : opened_store.entries()) {
        live_bytes += store::record_bytes(entry.record.key.size(), entry.record.value.size());
        ++by_space[store::name(key.first)];
    }
    const RecoveryResult& recovered = opened_store.recovered();
    ordered_json json;
    json["state"] = recovered.outcome == RecoveryResult::Outcome::torn_tail ? "torn" : "whole";
    json["segments"] = recovered.manifest.segments.size();
    json["epoch"] = recovered.manifest.epoch;
    json["bytes"] = recovered.bytes;
    json["records"] = recovered.records;
    json["live_records"] = opened_store.entries().size();
    json["live_bytes"] = live_bytes;
    json["next_sequence"] = recovered.next_sequence;
    json["spaces"] = by_space;
    return json;
}

int stat(const Invocation& invocation) {
    OfflineStore opened_store = invocation.open(OfflineStore::Access::read);
    if (!opened_store.recovered().usable()) {
        invocation.is_usable(opened_store.recovered());
        return kFailure;
    }
    invocation.out << statistics(opened_store).dump(2) << "\n";
    return kSuccess;
}

int verify(const Invocation& invocation) {
    OfflineStore opened_store = invocation.open(OfflineStore::Access::read);
    const RecoveryResult& recovered = opened_store.recovered();
    invocation.print_findings(recovered);
    switch (recovered.outcome) {
        case RecoveryResult::Outcome::complete:
            invocation.out << "whole: " << recovered.records << " records in "
                           << recovered.manifest.segments.size() << " segments\n";
            return kSuccess;
        case RecoveryResult::Outcome::torn_tail:
            invocation.out << "torn tail: " << recovered.findings.back().text() << "\n";
            return kTornTail;
        case RecoveryResult::Outcome::damaged:
            invocation.out << "damaged: " << recovered.findings.back().text() << "\n";
            return kDamaged;
        case RecoveryResult::Outcome::newer_version:
            invocation.out << "newer: " << recovered.findings.back().text() << "\n";
            return kFailure;
        default:
            invocation.print_status(recovered);
            return kFailure;
    }
}

std::vector<Record> live_records(const OfflineStore& opened_store) {
    std::vector<Record> records;
    for (const auto& [key, entry] : opened_store.entries()) records.push_back(entry.record);
    return records;
}

// Rewrites all live records in a new generation.
int compact(const Invocation& invocation) {
    OfflineStore opened_store = invocation.open(OfflineStore::Access::rewrite);
    if (!invocation.is_usable(opened_store.recovered())) return kFailure;
    std::uint64_t before = opened_store.recovered().bytes;
    std::uint64_t after = opened_store.rewrite(live_records(opened_store), 0);
    invocation.out << before << " bytes before, " << after << " after, " << opened_store.entries().size()
                   << " records\n";
    return kSuccess;
}

// Reads all lines. One malformed line rejects the whole input, because loading only half of it would be worse
// than loading nothing.
std::vector<Record> read_records(std::istream& in) {
    std::vector<Record> records;
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        if (line.empty()) continue;
        try {
            records.push_back(read_record_line(line));
        } catch (const RecordFormatError& error) {
            throw OfflineStoreError("line " + std::to_string(number) + ": " + error.what() +
                                    "; nothing was loaded");
        }
    }
    return records;
}

// Writes a new generation with the store's records and the loaded ones.
int load(const Invocation& invocation) {
    std::vector<Record> loaded = read_records(invocation.in);
    OfflineStore opened_store = invocation.open(OfflineStore::Access::create);
    if (!invocation.is_usable(opened_store.recovered())) return kFailure;
    std::size_t count = loaded.size();
    std::vector<Record> all_records = live_records(opened_store);
    for (Record& record : loaded) all_records.push_back(std::move(record));
    std::random_device random;
    std::uint64_t store_number = std::uint64_t(random()) << 32 | random();
    opened_store.rewrite(std::move(all_records), store_number);
    invocation.out << count << " records loaded\n";
    return kSuccess;
}

int run(const std::vector<std::string>& operands, const Invocation& invocation) {
    static const std::map<std::string, int (*)(const Invocation&)> subcommands{
        {"dump", dump}, {"stat", stat}, {"verify", verify}, {"compact", compact}, {"load", load}};
    if (operands.size() == 4 && operands[0] == "get") return get(invocation, operands[2], operands[3]);
    auto subcommand = operands.size() == 2 ? subcommands.find(operands[0]) : subcommands.end();
    if (subcommand != subcommands.end()) return subcommand->second(invocation);
    throw options::error(
        "usage: store dump|stat|verify|compact|load DIR, or store get DIR SPACE KEY [--salvage]");
}

}  // namespace

int run_store_command(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out,
                      std::ostream& errors) {
    options::options_description description("options");
    description.add_options()("salvage", "skip damaged parts and keep the records that are provably intact")(
        "words", options::value<std::vector<std::string>>(), "");
    options::variables_map values = parse_arguments(arguments, description, "words");
    std::vector<std::string> operands;
    if (values.count("words")) operands = values["words"].as<std::vector<std::string>>();
    Invocation invocation{operands.size() >= 2 ? operands[1] : "", values.count("salvage") > 0, in, out,
                          errors};
    try {
        return run(operands, invocation);
    } catch (const OfflineStoreError& error) {
        errors << "indigovane store: " << invocation.folder << ": " << error.what() << "\n";
        return kFailure;
    }
}

}  // namespace indigovane::program
