// What the core deals in: items, answers and how an attempt ended. No wire is known here.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/routing_policy.hpp"

namespace indigovane::routing {

using policy::ClassId;
using policy::Duration;
using policy::EndpointId;
using policy::GroupId;
using policy::RequestId;
using policy::Time;

// The number of a class once the settings have changed: `continues` says of each class which one it was.
constexpr ClassId kNoClass{std::uint32_t(-1)};  // it is gone
inline ClassId renumbered(ClassId before, const std::vector<std::optional<ClassId>>& continues) {
    for (std::size_t i = 0; i < continues.size(); ++i)
        if (continues[i] == before) return ClassId(std::uint32_t(i));
    return kNoClass;
}

// The module's time is the steady clock's. Positions come as Unix times; one offset, taken when the program
// starts, converts them, so that a step of the wall clock moves no position against another.
class Clock {
  public:
    Clock();  // the machine's
    virtual ~Clock() = default;
    virtual Time now() const;
    Time from_unix(std::int64_t micros) const { return Time(Duration(micros - offset_)); }
    std::int64_t to_unix(Time t) const { return t.time_since_epoch().count() + offset_; }

  protected:
    explicit Clock(std::int64_t offset_us) : offset_(offset_us) {}  // of a time that is made up

  private:
    std::int64_t offset_;  // Unix less steady, in microseconds
};

// One thing that a client asks for. A front fills in what its wire tells.
struct ClientRequest {
    enum class Verb { lookup, write, page, other };
    Verb verb = Verb::other;
    std::string name;                    // the row looked up or written; a page begins after it
    std::optional<std::string> content;  // written
    std::optional<std::string> prefix;   // a page's rows begin with it
    std::uint32_t limit = 0;             // rows of a page at most

    std::string id, tenant, key;  // the client's id, its tenant, its idempotency key
    std::string class_name;
    ClassId request_class{};
    GroupId group{};
    std::optional<std::uint64_t> session;
    std::optional<std::int64_t> after_unix_ms;  // a carried token: the session's last commit
    Duration client_timeout{};
    bool repeat = false;
    bool in_pieces = false;  // its responder takes a long value as it comes
    std::string statement;   // as the client wrote it, where its wire has statements

    // Of a statement that is none of the known forms (verb other): it goes to the host, and its answer to the
    // client, as they are.
    bool commits = false;     // it may write
    bool bare = false;        // its comment holds nothing of ours: no wait is written into it
    bool unreserved = false;  // not to use what limits keep for writes and session reads
    std::uint64_t shape_high = 0, shape_low = 0;  // of its statement; 0: the verb's
    std::uint32_t cost_us = 0;                    // expected before anything is known; 0: nothing is
    bool writes() const { return verb == Verb::write || (verb == Verb::other && commits); }
};

struct Row {
    std::string name;  // empty where the answer does not tell it
    std::string content;
    bool operator==(const Row&) const = default;
};

// What a member made for an item.
struct Answer {
    std::vector<Row> rows;
    bool binary = true;   // a single value: bytes as they are, or bytea's text form
    std::string column;   // its column's name
    std::string tag;      // of a statement's completion
    std::string passage;  // of verb other: the host's messages up to its ReadyForQuery, in place of all above
    std::optional<std::int64_t> position_unix_ms;  // how current it is
};

// The final word on an item that was not served.
struct FinalError {
    enum class Kind { refused, failed } kind = Kind::refused;
    bool deadline = false;  // because its time is up
    std::optional<Duration> retry_after;
};

// Whoever waits for an item's answer. Exactly one call ends it.
class Responder {
  public:
    virtual void served(const Answer& answer) = 0;
    // A value of that length follows in pieces, then served() with no rows, or broken(). Only where the item
    // says so. False: no room for more now; RequestAdmission::resume() when there is.
    virtual void began(const Answer&, std::size_t) {}
    virtual bool piece(std::string_view) { return true; }
    virtual void broken() {}
    virtual void ended(const FinalError& ending) = 0;
    // Whether its client is still there as far as this machine's kernel knows, also where nothing has been
    // read yet that says so.
    virtual bool present() { return true; }

  protected:
    ~Responder() = default;
};

// How an attempt or a probe came out, as a backend's wire tells it. Positions are Unix times.
struct AttemptResult {
    policy::AttemptStatus status = policy::AttemptStatus::error;
    std::optional<policy::Role> role;
    std::optional<std::int64_t> position_unix_us;
    std::optional<std::int64_t> report_position_unix_us;
    policy::LoadReport report;  // its position is left out: see above
    Answer answer;
    bool reusable = true;             // the link may carry another
    const char* malformed = nullptr;  // what was wrong with an answer that can't be used
    // What the wire has shown of the statement's execution beyond what the status proves.
    policy::Execution evidence = policy::Execution::never_ran;
};

struct EndpointInfo {  // an entry of the list
    std::string uid, address;
    std::uint32_t zone = 0, group = 0;
    policy::EndpointState state = policy::EndpointState::ready;
    bool primary = false;
    std::int64_t boot_unix_ms = 0;  // 0: long ago
};

}  // namespace indigovane::routing
