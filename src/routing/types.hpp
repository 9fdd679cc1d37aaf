// What the core deals in: requests, answers and how an attempt ended. No wire is known here.
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

// Of a request whose class the settings do not have any more.
constexpr ClassId kNoClass{std::uint32_t(-1)};
// The number of a class once the settings have changed. `continues` says of each class of the new settings
// which one it continues.
inline ClassId renumbered(ClassId before, const std::vector<std::optional<ClassId>>& continues) {
    for (std::size_t i = 0; i < continues.size(); ++i)
        if (continues[i] == before) return ClassId(std::uint32_t(i));
    return kNoClass;
}

constexpr std::int64_t kMicrosPerMilli = 1000;

// Time is the steady clock's. Positions come as Unix times; one offset, taken when the clock is made,
// converts them, so that a step of the wall clock moves no position against another.
class Clock {
  public:
    Clock();  // the machine's clocks
    virtual ~Clock() = default;
    virtual Time now() const;
    Time from_unix(std::int64_t micros) const { return Time(Duration(micros - offset_)); }
    std::int64_t to_unix(Time t) const { return t.time_since_epoch().count() + offset_; }

  protected:
    explicit Clock(std::int64_t offset_us) : offset_(offset_us) {}  // of a simulated time

  private:
    std::int64_t offset_;  // Unix less steady, in microseconds
};

// One request of a client. A front fills in what its wire says.
struct ClientRequest {
    enum class Verb { lookup, write, page, other };
    Verb verb = Verb::other;
    std::string name;                    // the row looked up or written; a page begins after it
    std::optional<std::string> content;  // written
    std::optional<std::string> prefix;   // a page's rows begin with it
    std::uint32_t limit = 0;             // rows of a page at most

    std::string id;      // the client's, for this request
    std::string tenant;  // the client's
    std::string key;     // the idempotency key
    std::string class_name;
    ClassId request_class{};
    GroupId group{};
    std::optional<std::uint64_t> session;
    std::optional<std::int64_t> after_unix_ms;  // a session token that the client carries: its last commit
    Duration client_timeout{};                  // until the client gives up
    bool is_retry = false;                      // the client marks it as a retry
    bool may_stream_answer = false;             // its responder takes a long value as it comes
    std::string statement;                      // as the client wrote it, where its wire has statements

    // Of a statement that is none of the known forms (verb other): it goes to the host, and its answer to the
    // client, as they are.
    bool may_write = false;               // it may write
    bool has_no_comment_fields = false;   // its comment holds none of our fields: no wait is written into it
    bool is_barred_from_reserve = false;  // not to use what limits reserve for writes and session reads
    std::uint64_t shape_high = 0;         // of its statement's fingerprint; 0: the verb's
    std::uint64_t shape_low = 0;
    std::uint32_t cost_us = 0;  // expected before any was measured; 0: unknown

    bool writes() const { return verb == Verb::write || (verb == Verb::other && may_write); }
};

struct Row {
    std::string name;  // empty where the answer does not tell it
    std::string content;
    bool operator==(const Row&) const = default;
};

// What a host returned for a request.
struct Answer {
    std::vector<Row> rows;
    bool binary = true;  // a single value: bytes as they are, or bytea's text form
    std::string column;  // its column's name
    std::string tag;     // of a statement's completion
    std::string
        forwarded_messages;  // of verb other: the host's messages up to ReadyForQuery, in place of all above
    std::optional<std::int64_t> position_unix_ms;  // how current it is
};

// The final answer to a request that was not served.
struct FinalError {
    enum class Kind {
        rejected,  // a retry by the client is harmless
        failed,    // it may have run
    } kind = Kind::rejected;
    bool deadline = false;  // because its deadline has passed
    std::optional<Duration> retry_after;
};

// Whoever waits for a request's answer. Exactly one call of on_answer(), on_answer_aborted() or
// on_final_error() ends it.
class Responder {
  public:
    virtual void on_answer(const Answer& answer) = 0;
    // A value of that length follows in pieces, then on_answer() with no rows, or on_answer_aborted(). Only
    // where the request allows it (may_stream_answer).
    virtual void on_answer_started(const Answer&, std::size_t) {}
    // False: no room for more now; RequestAdmission::resume() when there is.
    virtual bool on_answer_piece(std::string_view) { return true; }
    virtual void on_answer_aborted() {}
    virtual void on_final_error(const FinalError& ending) = 0;
    // False: its client's end of the connection has reached this machine, even if it has not been read yet.
    virtual bool is_client_present() { return true; }

  protected:
    ~Responder() = default;
};

// How an attempt or a health check ended, as a backend's wire says. Positions are Unix times.
struct AttemptResult {
    policy::AttemptStatus status = policy::AttemptStatus::error;
    std::optional<policy::Role> role;
    std::optional<std::int64_t> position_unix_us;
    std::optional<std::int64_t> report_position_unix_us;
    policy::LoadReport report;  // without its position: see above
    Answer answer;
    bool reusable = true;             // the connection may carry another task
    const char* malformed = nullptr;  // why the answer can't be used; none: it can
    // What the wire has shown of the statement's execution beyond what the status proves.
    policy::Execution evidence = policy::Execution::never_ran;
};

// An entry of the endpoint list.
struct EndpointInfo {
    std::string uid;      // of one start of a host
    std::string address;  // where it listens; empty: as the list said before
    std::uint32_t zone = 0;
    std::uint32_t group = 0;
    policy::EndpointState state = policy::EndpointState::ready;
    bool primary = false;
    std::int64_t boot_unix_ms = 0;  // when it started; 0: long ago
};

}  // namespace indigovane::routing
