// Records of a store as lines of JSON.
#include <doctest/doctest.h>

#include "program/store_record_json.hpp"
#include "store/positions.hpp"

namespace indigovane::testing {
namespace {

using program::read_record_line;
using program::write_record_line;
using store::Record;
using store::Space;

TEST_CASE("record lines: what is written is read back, text, bytes and sessions alike") {
    std::string session("\0\0\0\0\0\0\0\xff", 8);
    std::string open_commit = store::encode_u64(store::Positions::encode(5, true));
    for (const Record& record : {Record{Record::Type::put, Space::hosts, "s-9", "out", 0},
                                 Record{Record::Type::put, Space::shapes, "\n", "\xff", 4'000'000'000'000},
                                 Record{Record::Type::put, Space::positions, session, open_commit, 0}}) {
        Record read = read_record_line(write_record_line(record, 7));
        CHECK(read.space == record.space);
        CHECK(read.key == record.key);
        CHECK(read.value == record.value);
        CHECK(read.expires_ms == record.expires_ms);
    }
}

TEST_CASE("record lines: their form is fixed") {
    CHECK(write_record_line({Record::Type::put, Space::hosts, "s-9", "out", 0}, 7) ==
          R"({"space":"hosts","key":"s-9","value":"out","sequence":7})");
    CHECK(write_record_line({Record::Type::put, Space::shapes, "\n", "a", 9}, 1) ==
          R"({"space":"shapes","key":{"hex":"0a"},"value":"a","sequence":1,"expires_ms":9})");
}

TEST_CASE("record lines: each mistake says what is wanted") {
    auto error = [](const std::string& line) -> std::string {
        try {
            read_record_line(line);
        } catch (const program::RecordFormatError& error) {
            return error.what();
        }
        return "";
    };
    CHECK(error("{") == "it is no JSON");
    CHECK(error("5") == "an object is wanted");
    CHECK(error(R"({"colour":1})") == "a key that is not known");
    CHECK(error(R"({"space":"nowhere"})") == "space: there is none of this name");
    CHECK(error(R"({"space":"hosts","key":"a"})") == "key and value are wanted");
    CHECK(error(R"({"space":"positions","key":"ff","value":{}})") == "key: a session is 16 hex digits");
    CHECK(error(R"({"space":"hosts","key":"a","value":{"hex":"f"}})") ==
          R"(key and value: text or {"hex": "..."})");
}

}  // namespace
}  // namespace indigovane::testing
