// A connection to a PostgreSQL host that sends valid, changed and random answers. An answer that differs from
// the one valid form must fail its attempt; otherwise a client might receive data of another request or wait
// for an answer that never ends.
#include "adapters/pg_backend.hpp"

#include "routing/answer_bounds.hpp"
#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using policy::AttemptStatus;
using routing::BackendConnection;

// Completes the startup, then answers each query with the bytes in `reply`.
struct ScriptedPgHost : PgStandIn {
    using PgStandIn::PgStandIn;
    bool take(Peer& peer, transport::Buffer& in, std::string& out) override {
        if (!next_text(peer, in)) return false;
        out += std::exchange(peer.started, true) ? reply : welcome;
        return true;
    }
    std::string reply, welcome = pg::Writer().authentication_ok().backend_key(1, 2).ready().take();
};

struct BackendConnectionFixture : BackendConnection::Owner {
    explicit BackendConnectionFixture(std::string reply = "") : host(loop, data), backend(loop.io) {
        host.reply = std::move(reply);
        connection = backend.open(host.address(), 10s, *this);
    }
    void on_ready(BackendConnection&) override { ready = true; }
    void on_result(BackendConnection&, routing::AttemptResult r) override { result = std::move(r); }
    void on_begun(BackendConnection&, const routing::Answer&, std::size_t length) override { begun = length; }
    bool on_piece(BackendConnection&, std::string_view bytes) override {
        pieces += bytes;
        return capacity > pieces.size();
    }
    std::optional<std::size_t> begun;  // length of the long value, once it has begun
    std::string pieces;
    std::size_t capacity = std::size_t(-1);  // size of `pieces` at which the client takes no more
    // Gives up an answer that has paused, as the core does with a read that can be retried elsewhere.
    void on_pause(BackendConnection&, routing::Duration pause) override {
        pauses.push_back(pause);
        if (waits_for_paused) return;
        result = routing::result_without_answer(AttemptStatus::error);
        connection->close();
    }
    std::vector<routing::Duration> pauses;
    bool waits_for_paused = false;
    void on_end(BackendConnection&, BackendConnection::End e) override { ended = e; }
    bool done() const { return result || ended; }
    // Sends one query. Returns its result, or nothing if the connection ended without one.
    std::optional<routing::AttemptResult> execute(const std::string& reply, bool is_health_check = false,
                                                  bool may_stream_answer = false) {
        host.reply = reply;
        result.reset();
        REQUIRE(loop.until([&] { return ready || ended; }));
        routing::ClientRequest request;
        request.verb = routing::ClientRequest::Verb::lookup;
        request.name = "n", request.id = "1", request.class_name = "c",
        request.may_stream_answer = may_stream_answer;
        begun.reset(), pieces.clear();
        if (is_health_check)
            connection->probe();
        else
            connection->submit(request, 4s, std::nullopt);
        REQUIRE(loop.until([&] {
            if (!done() && pieces.size() >= capacity) {  // the client has read all pieces
                capacity = pieces.size() + 30000;
                connection->resume();
            }
            return done();
        }));
        return result;
    }
    Loop loop;
    Host data;
    ScriptedPgHost host;
    adapters::PgBackend backend;
    std::shared_ptr<BackendConnection> connection;
    std::optional<routing::AttemptResult> result;
    std::optional<BackendConnection::End> ended;
    bool ready = false;
};

std::vector<std::string> complete_answer(std::string value) {
    auto one = [](auto write) {
        pg::Writer w;
        write(w);
        return w.take();
    };
    return {one([](auto& w) {
                w.row_description({{"content", 17, true}});
            }),
            one([&](auto& w) { w.data_row({value}); }), one([](auto& w) { w.complete("SELECT 1"); }),
            one([](auto& w) { w.parameter("lsn_ms", "1767225600123"); }), one([](auto& w) { w.ready(); })};
}
std::string joined(const std::vector<std::string>& parts) {
    std::string out;
    for (auto& p : parts) out += p;
    return out;
}

// The messages of an answer after one random change.
struct ChangedAnswer {
    std::vector<std::string> parts;
    bool has_trailing_bytes = false;  // further bytes follow the answer
};
ChangedAnswer change(const std::vector<std::string>& complete, Dice& dice) {
    ChangedAnswer changed{complete};
    auto& parts = changed.parts;
    const std::size_t at = dice.below(parts.size());
    const std::size_t other = dice.below(parts.size());
    switch (dice.below(8)) {
        case 0:
            parts.erase(parts.begin() + std::ptrdiff_t(at));
            break;
        case 1:
            parts.insert(parts.begin() + std::ptrdiff_t(at), parts[other]);
            break;
        case 2:
            std::swap(parts[at], parts[other]);
            break;
        case 3:  // a wrong length, up to gigabytes
            parts[at][1 + dice.below(4)] ^= char(1 + dice.below(255));
            break;
        case 4:
            parts[at] = "-ERR nonsense\r\n";
            break;
        case 5:
            changed.has_trailing_bytes = true;
            break;
        default:
            break;
    }
    return changed;
}

// Whether the messages up to the first ReadyForQuery are the complete answer. A ParameterStatus may be
// anywhere in it or be missing. Sets `has_trailing_bytes` if further messages follow.
bool begins_with_answer(const std::vector<std::string>& parts, std::vector<std::string> complete,
                        bool& has_trailing_bytes) {
    const std::string parameter = complete[3];
    const std::string ready = complete[4];
    auto first_end = std::find(parts.begin(), parts.end(), ready);
    if (first_end != parts.end()) ++first_end;
    has_trailing_bytes = has_trailing_bytes || first_end != parts.end();
    std::vector<std::string> answer(parts.begin(), first_end);
    std::erase(answer, parameter);
    std::erase(complete, parameter);
    return answer == complete;
}

TEST_CASE(
    "pg backend connection: a changed answer fails its attempt, a complete one with trailing bytes is "
    "valid") {
    Dice dice(41);
    std::unique_ptr<BackendConnectionFixture> fixture;
    int well_formed = 0;
    int malformed = 0;
    for (int round = 0; round < 300; ++round) {
        if (!fixture) fixture = std::make_unique<BackendConnectionFixture>();
        const std::string value = std::to_string(round) + std::string(dice.below(3) * 3000, 'v');
        const auto complete = complete_answer(value);
        const ChangedAnswer changed = change(complete, dice);
        bool trailing = changed.has_trailing_bytes;
        const bool expect_ok = begins_with_answer(changed.parts, complete, trailing);
        std::string bytes = joined(changed.parts);
        if (changed.has_trailing_bytes) bytes += dice.below(2) ? joined(complete) : "noise";
        auto result = fixture->execute(bytes);
        REQUIRE(result);
        if (expect_ok) {
            ++well_formed;
            CHECK(result->status == AttemptStatus::ok);
            REQUIRE(result->answer.rows.size() == 1);
            CHECK(result->answer.rows[0].content == value);
            if (trailing) CHECK(fixture->loop.until([&] { return !result->reusable || fixture->ended; }));
        } else {
            ++malformed;
            CHECK(result->status == AttemptStatus::error);
            CHECK(result->answer.rows.empty());
            CHECK(!result->position_unix_us);
        }
        if (!expect_ok || trailing) fixture.reset();
    }
    CHECK(well_formed > 50);
    CHECK(malformed > 50);
}

TEST_CASE("pg backend connection: a malformed answer fails its attempt, and the connection is not reused") {
    auto row = [](auto... v) { return pg::Writer().data_row({v...}).take(); };
    std::string head = pg::Writer().row_description({{"content", 17, true}}).take();
    std::string end = pg::Writer().complete("SELECT 1").ready().take();
    for (const std::string& bytes :
         {head + row("a", "b") + end, head + row("a") + row("b") + end, head + row(std::nullopt) + end,
          pg::Writer().row_description({{"other", 17, true}}).take() + row("a") + end,
          head + row("a") + pg::Writer().complete("SELECT 2").ready().take(),
          head + row("a") + pg::Writer().complete("SELECT 1").plain('Z', "E").take(),
          head + std::string("D\xb2\xd0\x5e\0", 5) + std::string(9000, 'x'),
          pg::Writer().plain('E', "nonsense").ready().take(), std::string("noise\r\nnoise\r\n")}) {
        BackendConnectionFixture fixture;
        auto r = fixture.execute(bytes);
        REQUIRE(r);
        CHECK(r->status == AttemptStatus::error);
        CHECK(r->malformed);
        CHECK(!r->reusable);
    }
}

// Whether the rest is waited for depends on the request, so that the owner decides (paused_answers_test.cpp).
TEST_CASE("pg backend connection: an answer that does not end is reported as paused until its owner closes") {
    std::string head = pg::Writer().row_description({{"content", 17, true}}).take();
    auto row = [](std::string value) { return pg::Writer().data_row({value}).take(); };
    for (const std::string& bytes :
         {head + row(std::string(70000, 'a')).substr(0, 30000), head + row(std::string(1 << 20, 'a'))}) {
        BackendConnectionFixture fixture;
        fixture.host.reply = bytes;
        fixture.waits_for_paused = true;
        REQUIRE(fixture.loop.until([&] { return fixture.ready; }));
        routing::ClientRequest request;
        request.verb = routing::ClientRequest::Verb::lookup;
        request.name = "n", request.id = "1", request.class_name = "c";
        fixture.connection->submit(request, 4s, std::nullopt);
        REQUIRE(fixture.loop.until([&] { return fixture.pauses.size() == 3; }));
        CHECK(fixture.pauses[0] >= routing::kAnswerPause);
        CHECK(fixture.pauses[1] >= 2 * routing::kAnswerPause);
        CHECK(fixture.pauses[2] >= 3 * routing::kAnswerPause);
        CHECK(!fixture.done());
        fixture.connection->close();
        fixture.loop.settle();
        CHECK(fixture.pauses.size() == 3);
    }
}

// Guards against answers that never end: each notice by itself is allowed.
TEST_CASE("pg backend connection: an answer with more notices than the limit fails its attempt") {
    std::string notice = pg::Writer().plain('N', std::string("SNOTICE\0C00000\0Mm\0\0", 20)).take();
    std::string head = pg::Writer().row_description({{"content", 17, true}}).take();
    std::string end = pg::Writer().data_row({"a"}).complete("SELECT 1").ready().take();
    auto notices = [&](std::size_t bytes) {
        std::string all;
        while (all.size() + notice.size() <= bytes) all += notice;
        return all;
    };
    std::size_t limit = routing::AnswerSize::kMaxSkippedBytes;
    BackendConnectionFixture fixture;
    CHECK(fixture.execute(head + notices(limit) + end)->status == AttemptStatus::ok);
    CHECK(fixture.execute(head + notices(limit) + end)->status == AttemptStatus::ok);  // counted anew
    auto result = fixture.execute(head + notices(limit) + notice + notice);
    REQUIRE(result);
    CHECK(result->malformed);
    CHECK(!result->reusable);
}

TEST_CASE(
    "pg backend connection: a malformed load report, position or role is ignored, and the answer is valid") {
    auto complete = complete_answer("v");
    auto with = [&](std::string name, std::string value) {
        auto parts = complete;
        parts[3] = pg::Writer().parameter(name, value).take();
        return joined(parts);
    };
    BackendConnectionFixture fixture;
    for (auto bytes :
         {with("health", "inflight=7,x0=9%"), with("health", "inflight=7;;"), with("lsn_ms", "17x"),
          with("recovery", "maybe"),
          joined({complete[0], complete[1], complete[2],
                  pg::Writer().plain('S', std::string("health\0no end", 13)).take(), complete[4]})}) {
        auto r = fixture.execute(bytes);
        REQUIRE(r);
        CHECK(r->status == AttemptStatus::ok);
        CHECK(r->reusable);
        CHECK(!r->report.in_flight);
        CHECK(!r->position_unix_us);
        CHECK(!r->role);
    }
    auto r = fixture.execute(with("health", "inflight=7,x0=1767225600.5"));
    CHECK(r->report.in_flight == 7.0);
    std::string health_answer = pg::Writer()
                                    .row_description({{"health", 25, false}})
                                    .data_row({"inflight=3,x1=1"})
                                    .complete("SHOW")
                                    .ready()
                                    .take();
    r = fixture.execute(health_answer, true);
    CHECK(r->status == AttemptStatus::ok);
    CHECK(r->report.in_flight == 3.0);
}

TEST_CASE(
    "pg backend connection: a value of some hundred KiB is returned complete if the request does not "
    "stream") {
    BackendConnectionFixture fixture;
    std::string value(400000, 'v');
    auto r = fixture.execute(joined(complete_answer(value)));
    REQUIRE(r);
    CHECK(r->status == AttemptStatus::ok);
    CHECK(r->answer.rows.at(0).content == value);
    CHECK(r->reusable);
}

// Guards against lost, repeated or reordered pieces when a slow client pauses a long value.
TEST_CASE(
    "pg backend connection: a long value is received in pieces, pauses while the client has no capacity, and "
    "ends like a short one") {
    Dice dice(12);
    BackendConnectionFixture fixture;
    for (int round = 0; round < 40; ++round) {
        std::string value(dice.below(300000), 'a');
        for (std::size_t i = 0; i < value.size(); i += 97) value[i] = char(dice.below(256));
        bool limited = dice.below(2);
        fixture.capacity = limited ? 20000 : std::size_t(-1);
        auto r = fixture.execute(joined(complete_answer(value)), false, true);
        REQUIRE(r);
        CHECK(r->status == AttemptStatus::ok);
        CHECK(r->reusable);
        CHECK(r->position_unix_us == 1767225600123000);
        bool is_long = value.size() + 10 > 65536;
        CHECK(fixture.begun.has_value() == is_long);
        CHECK(r->answer.rows.empty() == is_long);
        CHECK((is_long ? fixture.pieces : r->answer.rows.at(0).content) == value);
    }
    fixture.capacity = std::size_t(-1);
    CHECK(fixture.execute(joined(complete_answer(std::string(4 << 20, 'x'))), false, true)->status ==
          AttemptStatus::ok);
    CHECK(fixture.pieces.size() == 4 << 20);
}

TEST_CASE("pg backend connection: a paused long value is not read from the socket") {
    BackendConnectionFixture fixture;
    fixture.capacity = 1;
    fixture.host.reply = joined(complete_answer(std::string(4 << 20, 'x')));
    REQUIRE(fixture.loop.until([&] { return fixture.ready; }));
    routing::ClientRequest request;
    request.verb = routing::ClientRequest::Verb::lookup, request.name = "n", request.id = "1",
    request.may_stream_answer = true;
    fixture.connection->submit(request, 4s, std::nullopt);
    REQUIRE(fixture.loop.until([&] { return fixture.begun.has_value(); }));
    fixture.loop.settle();
    CHECK(fixture.pieces.size() < 65536);
    fixture.connection->resume();
    fixture.loop.settle();
    CHECK(fixture.pieces.size() < 2 * 65536);
    CHECK(!fixture.done());
}

TEST_CASE("pg backend connection: a long value that breaks off or has a wrong length fails its attempt") {
    auto parts = complete_answer(std::string(200000, 'v'));
    auto malformed = [&](std::string reply, bool begins) {
        BackendConnectionFixture fixture;
        auto r = fixture.execute(std::move(reply), false, true);
        REQUIRE(r);
        CHECK(r->status == AttemptStatus::error);
        CHECK(r->malformed);
        CHECK(!r->reusable);
        CHECK(fixture.begun.has_value() == begins);
    };
    malformed(joined({parts[0], parts[1], parts[1], parts[4]}), true);          // a second row
    malformed(joined({parts[0], parts[1], "noise that is no message"}), true);  // no valid message follows
    for (auto [at, byte] : {std::pair{1, '\x7f'}, {3, '\1'}, {5, '\1'}, {6, '\2'}, {8, '\x30'}}) {
        std::string row = parts[1];  // inconsistent or excessive lengths and counts
        row[std::size_t(at)] = byte;
        malformed(joined({parts[0], row}), false);
    }
    BackendConnectionFixture fixture;  // the host closes the connection in the middle of the value
    fixture.host.reply = joined({parts[0], parts[1].substr(0, 100000)});
    REQUIRE(fixture.loop.until([&] { return fixture.ready; }));
    routing::ClientRequest request;
    request.verb = routing::ClientRequest::Verb::lookup, request.name = "n", request.id = "1",
    request.may_stream_answer = true;
    fixture.connection->submit(request, 4s, std::nullopt);
    REQUIRE(fixture.loop.until([&] { return fixture.pieces.size() == 100000 - 11; }));
    fixture.host.drop_all();
    REQUIRE(fixture.loop.until([&] { return fixture.done(); }));
    CHECK(fixture.ended == BackendConnection::End::written);
}

TEST_CASE(
    "pg backend connection: a malformed startup ends as unreachable, and unrequested bytes end the "
    "connection") {
    for (std::string welcome : {std::string("SSH-2.0\r\n"), pg::Writer().ready().take(),
                                pg::Writer().plain('R', std::string("\0\0\0\3", 4)).take()}) {
        BackendConnectionFixture fixture;
        fixture.host.welcome = welcome;
        REQUIRE(fixture.loop.until([&] { return fixture.ended.has_value(); }));
        CHECK(fixture.ended == BackendConnection::End::unreachable);
    }
    BackendConnectionFixture fixture;
    fixture.host.welcome += "noise";
    REQUIRE(fixture.loop.until([&] { return fixture.ended.has_value(); }));
    BackendConnectionFixture closing;
    REQUIRE(closing.execute(joined(complete_answer("v")))->reusable);
    CHECK(closing.connection->may_be_reused());
    closing.host.drop_all();
    CHECK(closing.loop.until([&] { return !closing.connection->may_be_reused(); }));
}

}  // namespace
}  // namespace indigovane::testing
