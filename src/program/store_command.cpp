#include "program/store_command.hpp"

#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "store/log_worker.hpp"
#include "store/positions.hpp"

namespace indigovane::program {

namespace options = boost::program_options;
using nlohmann::ordered_json;
using namespace indigovane::store;

namespace {

constexpr int kTorn = 3, kDamaged = 4;

std::uint64_t now_ms() {
    return std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count());
}

std::string hex(std::string_view bytes) {
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (char c : bytes) {
        out += digits[std::uint8_t(c) >> 4];
        out += digits[std::uint8_t(c) & 15];
    }
    return out;
}
std::optional<std::string> unhex(std::string_view text) {
    auto digit = [](char c) {
        return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    };
    std::string out;
    if (text.size() % 2) return std::nullopt;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        int high = digit(text[i]), low = digit(text[i + 1]);
        if (high < 0 || low < 0) return std::nullopt;
        out += char(high << 4 | low);
    }
    return out;
}

// A value that is text stands as text, any other as {"hex": ...}; keys and values of positions as numbers
// would lose digits in JSON, so a session is 16 hex digits and its value an object.
bool is_text(std::string_view bytes) {
    for (char c : bytes)
        if (std::uint8_t(c) < 0x20 || std::uint8_t(c) >= 0x7f) return false;
    return true;
}
ordered_json shown(std::string_view bytes) {
    if (is_text(bytes)) return std::string(bytes);
    return {{"hex", hex(bytes)}};
}
std::optional<std::string> unshown(const ordered_json& value) {
    if (value.is_string()) return value.get<std::string>();
    if (value.is_object() && value.size() == 1 && value.contains("hex") && value["hex"].is_string())
        return unhex(value["hex"].get<std::string>());
    return std::nullopt;
}

struct Line {
    Record record;
    std::uint64_t sequence = 0;
};

ordered_json to_json(const Line& line) {
    const Record& r = line.record;
    ordered_json o;
    o["space"] = name(r.space);
    if (r.space == Space::positions) {
        std::uint64_t value = decode_u64(r.value).value_or(0);
        o["key"] = hex(r.key);
        o["value"] = {{"commit_us", Positions::commit_us(value)}, {"open", Positions::has_open_write(value)}};
    } else {
        o["key"] = shown(r.key);
        o["value"] = shown(r.value);
    }
    o["sequence"] = line.sequence;
    if (r.expires_ms > 0) o["expires_ms"] = r.expires_ms;
    return o;
}

std::optional<Record> from_json(const ordered_json& o, std::string& why) {
    auto wrong = [&](const char* what) {
        why = what;
        return std::nullopt;
    };
    if (!o.is_object()) return wrong("an object is wanted");
    for (auto& [key, value] : o.items())
        if (key != "space" && key != "key" && key != "value" && key != "sequence" && key != "expires_ms")
            return wrong("a key that is not known");
    if (!o.contains("space") || !o["space"].is_string()) return wrong("space: a name is wanted");
    auto space = parse_space(o["space"].get<std::string>());
    if (!space) return wrong("space: there is none of this name");
    if (!o.contains("key") || !o.contains("value")) return wrong("key and value are wanted");
    Record r;
    r.space = *space;
    if (o.contains("expires_ms")) {
        if (!o["expires_ms"].is_number_unsigned()) return wrong("expires_ms: a number is wanted");
        r.expires_ms = o["expires_ms"].get<std::uint64_t>();
    }
    if (r.space == Space::positions) {
        auto key = o["key"].is_string() ? unhex(o["key"].get<std::string>()) : std::nullopt;
        const auto& v = o["value"];
        if (!key || key->size() != 8) return wrong("key: a session is 16 hex digits");
        if (!v.is_object() || !v.contains("commit_us") || !v["commit_us"].is_number_unsigned() ||
            !v.contains("open") || !v["open"].is_boolean() || v["commit_us"].get<std::uint64_t>() >> 62)
            return wrong("value: {\"commit_us\": number, \"open\": true or false} is wanted");
        r.key = *key;
        r.value = encode_u64(Positions::encode(v["commit_us"].get<std::uint64_t>(), v["open"].get<bool>()));
        return r;
    }
    auto key = unshown(o["key"]), value = unshown(o["value"]);
    if (!key || !value) return wrong("key and value: text or {\"hex\": \"...\"}");
    if (key->size() > kMaxKeyBytes || value->size() > kMaxValueBytes) return wrong("key or value: too long");
    r.key = *key;
    r.value = *value;
    return r;
}

class Command {
  public:
    Command(std::string folder, bool salvage, std::ostream& out, std::ostream& errors)
        : folder_(std::move(folder)), salvage_(salvage), out_(out), errors_(errors) {}

    // `make`: the folder may be empty, or not there yet.
    bool open(bool make, bool writes = false) {
        if (!make) {
            if (FolderCheck check = check_folder(folder_); !check.status.ok())
                return fail(check.status.text());
        }
        if (IoStatus s = open_folder(folder_, environment_); !s.ok()) return fail(s.text());
        if (IoStatus s = environment_->lock(lock_, make || writes); !s.ok())
            return fail(s.is(std::errc::operation_would_block) ? "another process has it open" : s.text());
        found_ = recover(*environment_, salvage_, [&](Record&& r, std::uint64_t sequence) {
            auto at = std::pair(r.space, r.key);
            if (r.type == Record::Type::remove)
                live_.erase(at);
            else
                live_[at] = {std::move(r), sequence};
        });
        std::uint64_t now = now_ms();
        std::erase_if(live_, [&](auto& item) {
            return item.second.record.expires_ms != 0 && item.second.record.expires_ms <= now;
        });
        if (found_.outcome == RecoveryResult::Outcome::no_store && !make)
            return fail("there is no store in it");
        return true;
    }
    bool fail(const std::string& why) {
        errors_ << "indigovane store: " << folder_ << ": " << why << "\n";
        return false;
    }
    void tell() const {
        for (const Finding& f : found_.findings)
            errors_ << "indigovane store: " << folder_ << "/" << f.text() << "\n";
    }
    int unusable() const {
        tell();
        if (!found_.status.ok()) errors_ << "indigovane store: " << found_.status.text() << "\n";
        return 1;
    }

    int dump() {
        if (!open(false)) return 1;
        if (!found_.usable()) return unusable();
        tell();
        for (auto& [at, line] : live_)
            out_ << to_json(line).dump(-1, ' ', false, ordered_json::error_handler_t::replace) << "\n";
        return 0;
    }

    int get(const std::string& space_name, const std::string& key_text) {
        auto space = parse_space(space_name);
        if (!space) return fail("there is no space '" + space_name + "'"), 1;
        std::string key = key_text;
        if (*space == Space::positions) {
            auto bytes = unhex(key_text);
            if (!bytes || bytes->size() != 8) return fail("a session is 16 hex digits"), 1;
            key = *bytes;
        }
        if (!open(false)) return 1;
        if (!found_.usable()) return unusable();
        auto it = live_.find({*space, key});
        if (it == live_.end()) return fail("there is no such key"), 1;
        out_ << to_json(it->second).dump(-1, ' ', false, ordered_json::error_handler_t::replace) << "\n";
        return 0;
    }

    int stat() {
        if (!open(false)) return 1;
        if (!found_.usable()) return unusable();
        std::uint64_t live = 0;
        std::map<std::string, std::uint64_t> counts;
        for (auto& [at, line] : live_) {
            live += record_bytes(line.record.key.size(), line.record.value.size());
            ++counts[name(at.first)];
        }
        ordered_json o;
        o["state"] = found_.outcome == RecoveryResult::Outcome::torn_tail ? "torn" : "whole";
        o["segments"] = found_.manifest.segments.size();
        o["epoch"] = found_.manifest.epoch;
        o["bytes"] = found_.bytes;
        o["records"] = found_.records;
        o["live_records"] = live_.size();
        o["live_bytes"] = live;
        o["next_sequence"] = found_.next_sequence;
        o["spaces"] = counts;
        out_ << o.dump(2) << "\n";
        return 0;
    }

    int verify() {
        if (!open(false)) return 1;
        tell();
        switch (found_.outcome) {
            case RecoveryResult::Outcome::complete:
                out_ << "whole: " << found_.records << " records in " << found_.manifest.segments.size()
                     << " segments\n";
                return 0;
            case RecoveryResult::Outcome::torn_tail:
                out_ << "torn tail: " << found_.findings.back().text() << "\n";
                return kTorn;
            case RecoveryResult::Outcome::damaged:
                out_ << "damaged: " << found_.findings.back().text() << "\n";
                return kDamaged;
            case RecoveryResult::Outcome::newer_version:
                out_ << "newer: " << found_.findings.back().text() << "\n";
                return 1;
            default:
                errors_ << "indigovane store: " << found_.status.text() << "\n";
                return 1;
        }
    }

    // All that lives, in a new generation.
    int compact() {
        if (!open(false, true)) return 1;
        if (!found_.usable()) return unusable();
        tell();
        std::uint64_t before = found_.bytes;
        Writer writer(*environment_, {});
        if (IoStatus s = begin(writer, 0); !s.ok()) return fail(s.text()), 1;
        if (IoStatus s = writer.begin_generation(found_.next_sequence); !s.ok()) return fail(s.text()), 1;
        std::vector<Record> records;
        for (auto& [at, line] : live_) records.push_back(line.record);
        if (!write(writer, std::move(records), found_.next_sequence)) return 1;
        if (IoStatus s = writer.end_generation(); !s.ok()) return fail(s.text()), 1;
        out_ << before << " bytes before, " << writer.bytes() << " after, " << live_.size() << " records\n";
        return 0;
    }

    int load(std::istream& in) {
        std::vector<Record> records;
        std::string text, why;
        for (std::size_t number = 1; std::getline(in, text); ++number) {
            if (text.empty()) continue;
            auto o = ordered_json::parse(text, nullptr, false);
            auto record = o.is_discarded() ? (why = "it is no JSON", std::nullopt) : from_json(o, why);
            // All or nothing: half of what was meant is worse than none.
            if (!record)
                return fail("line " + std::to_string(number) + ": " + why + "; nothing was loaded"), 1;
            records.push_back(std::move(*record));
        }
        if (!open(true)) return 1;
        if (!found_.usable()) return unusable();
        tell();
        std::random_device random;
        Writer writer(*environment_, {});
        if (IoStatus s = begin(writer, std::uint64_t(random()) << 32 | random()); !s.ok())
            return fail(s.text()), 1;
        std::size_t count = records.size();
        // A new generation of what was there and what comes: one or the other after a crash, never half.
        std::vector<Record> all;
        for (auto& [at, line] : live_) all.push_back(line.record);
        for (Record& r : records) all.push_back(std::move(r));
        if (IoStatus s = writer.begin_generation(found_.next_sequence); !s.ok()) return fail(s.text()), 1;
        if (!write(writer, std::move(all), found_.next_sequence)) return 1;
        if (IoStatus s = writer.end_generation(); !s.ok()) return fail(s.text()), 1;
        out_ << count << " records loaded\n";
        return 0;
    }

  private:
    IoStatus begin(Writer& writer, std::uint64_t number) {
        return found_.salvaged ? writer.begin_salvaged(found_, number) : writer.begin(found_, number);
    }
    bool write(Writer& writer, std::vector<Record> records, std::uint64_t sequence) {
        std::vector<Batch> group;
        std::size_t bytes = 0;
        auto flush = [&] {
            if (group.empty()) return true;
            IoStatus s = writer.write(group);
            group.clear();
            bytes = 0;
            return s.ok() || fail(s.text());
        };
        Batch batch;
        auto add = [&] {
            if (batch.records.empty()) return;
            batch.sequence = sequence;
            sequence += batch.records.size();
            group.push_back(std::move(batch));
            batch = {};
        };
        std::size_t in_batch = 0;
        for (Record& r : records) {
            std::size_t size = record_bytes(r.key.size(), r.value.size());
            if (in_batch + size > (1u << 20)) {
                add();
                in_batch = 0;
            }
            in_batch += size;
            bytes += size;
            batch.records.push_back(std::move(r));
            if (bytes > (4u << 20)) {
                add();
                in_batch = 0;
                if (!flush()) return false;
            }
        }
        add();
        return flush();
    }

    std::string folder_;
    bool salvage_;
    std::ostream &out_, &errors_;
    std::unique_ptr<Environment> environment_;
    std::unique_ptr<FolderLock> lock_;
    RecoveryResult found_;
    std::map<std::pair<Space, std::string>, Line> live_;
};

}  // namespace

int store(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out,
          std::ostream& errors) {
    options::options_description described("options");
    described.add_options()("salvage", "go past damage and keep what is provable")(
        "words", options::value<std::vector<std::string>>(), "");
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(described).positional(positions).run(),
                   values);
    options::notify(values);
    std::vector<std::string> words;
    if (values.count("words")) words = values["words"].as<std::vector<std::string>>();
    if (words.size() >= 2) {
        Command command(words[1], values.count("salvage") > 0, out, errors);
        if (words.size() == 2 && words[0] == "dump") return command.dump();
        if (words.size() == 2 && words[0] == "stat") return command.stat();
        if (words.size() == 2 && words[0] == "verify") return command.verify();
        if (words.size() == 2 && words[0] == "compact") return command.compact();
        if (words.size() == 2 && words[0] == "load") return command.load(in);
        if (words.size() == 4 && words[0] == "get") return command.get(words[2], words[3]);
    }
    throw options::error("store dump|stat|verify|compact|load DIR, or store get DIR SPACE KEY [--salvage]");
}

}  // namespace indigovane::program
