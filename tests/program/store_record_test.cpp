// Records of a store as lines of JSON: the form that `store dump` prints and `store load` reads.
#include <doctest/doctest.h>

#include "program/store_record_json.hpp"
#include "store/positions.hpp"

namespace indigovane::testing {
namespace {

using program::read_record_line;
using program::write_record_line;
using store::Record;
using store::Space;

TEST_CASE("record lines: a written line is read back as the same record, whether text, bytes or a session") {
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

TEST_CASE("record lines: the JSON form does not change") {
    CHECK(write_record_line({Record::Type::put, Space::hosts, "s-9", "out", 0}, 7) ==
          R"({"space":"hosts","key":"s-9","value":"out","sequence":7})");
    CHECK(write_record_line({Record::Type::put, Space::shapes, "\n", "a", 9}, 1) ==
          R"({"space":"shapes","key":{"hex":"0a"},"value":"a","sequence":1,"expires_ms":9})");
}

TEST_CASE("record lines: the error of a malformed line names the mistake") {
    auto error = [](const std::string& line) -> std::string {
        try {
            read_record_line(line);
        } catch (const program::RecordFormatError& error) {
            return error.what();
        }
        return "";
    };
    CHECK(error("{") == "the line is not valid JSON");
    CHECK(error("5") == "expected a JSON object");
    CHECK(error(R"({"colour":1})") == "unknown key: expected space, key, value, sequence or expires_ms");
    CHECK(error(R"({"space":"nowhere"})") == "space: no space has this name");
    CHECK(error(R"({"space":"hosts","key":"a"})") == "'key' and 'value' are required");
    CHECK(error(R"({"space":"positions","key":"ff","value":{}})") ==
          "key: expected the 16 hex digits of a session");
    CHECK(error(R"({"space":"hosts","key":"a","value":{"hex":"f"}})") ==
          R"(key and value: expected a string or {"hex": "..."})");
}

}  // namespace
}  // namespace indigovane::testing
