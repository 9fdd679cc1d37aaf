// The types that the core and its adapters share: client requests, answers, attempt results and endpoint
// list entries. Nothing here depends on a wire protocol.
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

// The class id of a request whose class has been removed from the settings.
constexpr ClassId kNoClass{std::uint32_t(-1)};
// Returns the new id of class `old_id` after a change of settings, or kNoClass if no class continues it.
// `continued_ids` holds, for each class of the new settings, the old id of the class that it continues.
inline ClassId renumbered(ClassId old_id, const std::vector<std::optional<ClassId>>& continued_ids) {
    for (std::size_t i = 0; i < continued_ids.size(); ++i)
        if (continued_ids[i] == old_id) return ClassId(std::uint32_t(i));
    return kNoClass;
}

constexpr std::int64_t kMicrosPerMilli = 1000;

// Tells the steady clock's time and converts between it and Unix time. Data positions arrive as Unix times.
// The offset between the two clocks is read once, at construction, so that a step of the wall clock doesn't
// move one position against another.
class Clock {
  public:
    Clock();  // uses the machine's steady and system clocks
    virtual ~Clock() = default;
    virtual Time now() const;
    // Unix times are in microseconds.
    Time from_unix(std::int64_t micros) const { return Time(Duration(micros - unix_offset_us_)); }
    std::int64_t to_unix(Time t) const { return t.time_since_epoch().count() + unix_offset_us_; }

  protected:
    // For a clock of simulated time.
    explicit Clock(std::int64_t unix_offset_us) : unix_offset_us_(unix_offset_us) {}

  private:
    std::int64_t unix_offset_us_;  // Unix time minus steady time, in microseconds
};

// One request of a client. A front sets the fields that its protocol carries.
struct ClientRequest {
    enum class Verb { lookup, write, page, other };
    Verb verb = Verb::other;
    // The row that is looked up or written. A page starts after the row of this name.
    std::string name;
    std::optional<std::string> content;  // the value to write
    std::optional<std::string> prefix;   // a page holds only rows whose names start with it
    std::uint32_t limit = 0;             // the largest number of rows of a page

    std::string id;      // chosen by the client for this request
    std::string tenant;  // named by the client
    std::string key;     // the idempotency key
    std::string class_name;
    ClassId request_class{};
    GroupId group{};
    std::optional<std::uint64_t> session;
    // The session token that the client sent with the request: the time of its session's last commit.
    std::optional<std::int64_t> after_unix_ms;
    // The client has no way to send a session token. Its reads see what was written through this pooler, also
    // where other clients send tokens.
    bool uses_remembered_token = false;
    Duration client_timeout{};       // from the request's arrival until the client gives up
    bool is_retry = false;           // the client marks the request as a retry
    bool may_stream_answer = false;  // the responder accepts a long value in pieces, as it arrives
    std::string statement;           // the client's statement, if the protocol has statements

    // The fields below are for a statement that has none of the known forms (Verb::other). The statement goes
    // to the host, and the host's answer to the client, unchanged.
    bool may_write = false;
    // The statement's comment holds none of the pooler's fields, so no deadline is written into it.
    bool has_no_comment_fields = false;
    // The request may not use the capacity that the limits reserve for writes and session reads.
    bool is_barred_from_reserve = false;
    // The two halves of the statement's fingerprint. 0: the shape of the verb is used.
    std::uint64_t shape_high = 0;
    std::uint64_t shape_low = 0;
    // The expected cost in microseconds, used until a cost has been measured. 0: unknown.
    std::uint32_t cost_us = 0;

    bool writes() const { return verb == Verb::write || (verb == Verb::other && may_write); }
};

struct Row {
    std::string name;  // empty if the answer doesn't carry it
    std::string content;
    bool operator==(const Row&) const = default;
};

// What a host returned for a request.
struct Answer {
    std::vector<Row> rows;
    bool binary = true;  // true: content holds raw bytes; false: PostgreSQL's text form of bytea
    std::string column;  // the name of the column that holds a single value
    std::string tag;     // the command tag of the completed statement
    // For Verb::other: the host's messages up to ReadyForQuery. They replace all of the fields above.
    std::string forwarded_messages;
    // The position (Unix time) up to which the data is current.
    std::optional<std::int64_t> position_unix_ms;
};

// The final answer to a request that gets no answer from a host.
struct FinalError {
    enum class Kind {
        rejected,  // the client may retry without harm
        failed,    // the request may have run
    } kind = Kind::rejected;
    bool deadline = false;  // the reason is that the request's deadline has passed
    std::optional<Duration> retry_after;
};

// Receives the answer to one request. The answer ends with exactly one call of on_answer(),
// on_answer_aborted() or on_final_error().
class Responder {
  public:
    virtual void on_answer(const Answer& answer) = 0;
    // A value of the given length (bytes) follows by calls of on_answer_piece(), and then on_answer() without
    // rows or on_answer_aborted(). Called only if the request allows it (may_stream_answer).
    virtual void on_answer_started(const Answer&, std::size_t) {}
    // False: the responder has no room for more now. It calls RequestAdmission::resume() once it has.
    virtual bool on_answer_piece(std::string_view) { return true; }
    // The rest of a value that was started can't be delivered.
    virtual void on_answer_aborted() {}
    virtual void on_final_error(const FinalError& ending) = 0;
    // False: the client has closed its connection, and the close has reached this machine, although it may
    // not have been read yet.
    virtual bool is_client_present() { return true; }

  protected:
    ~Responder() = default;
};

// How an attempt or a health check ended, as reported by the host's protocol. Positions are Unix times.
struct AttemptResult {
    policy::AttemptStatus status = policy::AttemptStatus::error;
    std::optional<policy::Role> role;
    std::optional<std::int64_t> position_unix_us;
    std::optional<std::int64_t> report_position_unix_us;  // the position of the load report
    policy::LoadReport report;                            // its `position` is not set
    Answer answer;
    bool reusable = true;  // the connection may carry another task
    // Why the answer can't be used; nullptr if it can.
    const char* malformed = nullptr;
    // What the protocol has shown of the statement's execution beyond what the status proves.
    policy::Execution evidence = policy::Execution::never_ran;
};

// An entry of the endpoint list.
struct EndpointInfo {
    std::string uid;      // names one start of a host: a restarted host has another uid
    std::string address;  // where the host listens; empty: unchanged since the previous list
    std::uint32_t zone = 0;
    std::uint32_t group = 0;
    policy::EndpointState state = policy::EndpointState::ready;
    bool primary = false;
    std::int64_t boot_unix_ms = 0;  // when the host started; 0: long ago
};

}  // namespace indigovane::routing
