// A connection to a PostgreSQL host against a model of the answers it may give: whatever differs is
// malformed.
#include "adapters/pg_backend.hpp"

#include "support/harness.hpp"

namespace indigovane::testing {
namespace {

using policy::AttemptStatus;
using routing::BackendConnection;

// Completes the startup, then answers each query with the scripted bytes.
struct Script : PgStandIn {
    using PgStandIn::PgStandIn;
    bool take(Peer& peer, transport::Buffer& in, std::string& out) override {
        if (!next_text(peer, in)) return false;
        out += std::exchange(peer.started, true) ? reply : welcome;
        return true;
    }
    std::string reply, welcome = pg::Writer().authentication_ok().backend_key(1, 2).ready().take();
};

struct LinkRig : BackendConnection::Owner {
    explicit LinkRig(std::string reply = "") : host(loop, data), backend(loop.io) {
        host.reply = std::move(reply);
        link = backend.open(host.address(), 10s, *this);
    }
    void on_ready(BackendConnection&) override { ready = true; }
    void on_result(BackendConnection&, routing::AttemptResult r) override { result = std::move(r); }
    void on_begun(BackendConnection&, const routing::Answer&, std::size_t length) override { begun = length; }
    bool on_piece(BackendConnection&, std::string_view bytes) override {
        pieces += bytes;
        return capacity > pieces.size();
    }
    std::optional<std::size_t> begun;
    std::string pieces;
    std::size_t capacity = std::size_t(-1);
    void on_end(BackendConnection&, BackendConnection::End e) override { ended = e; }
    bool done() const { return result || ended; }
    // One query's result; none where the link ended without.
    std::optional<routing::AttemptResult> request(const std::string& reply, bool probe = false,
                                                  bool in_pieces = false) {
        host.reply = reply;
        result.reset();
        REQUIRE(loop.until([&] { return ready || ended; }));
        routing::ClientRequest item;
        item.verb = routing::ClientRequest::Verb::lookup;
        item.name = "n", item.id = "1", item.class_name = "c", item.may_stream_answer = in_pieces;
        begun.reset(), pieces.clear();
        if (probe)
            link->probe();
        else
            link->submit(item, 4s, std::nullopt);
        REQUIRE(loop.until([&] {
            if (!done() && pieces.size() >= capacity) {  // the client has read what there was
                capacity = pieces.size() + 30000;
                link->resume();
            }
            return done();
        }));
        return result;
    }
    Loop loop;
    Host data;
    Script host;
    adapters::PgBackend backend;
    std::shared_ptr<BackendConnection> link;
    std::optional<routing::AttemptResult> result;
    std::optional<BackendConnection::End> ended;
    bool ready = false;
};

std::vector<std::string> good(std::string value) {
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
    bool more_behind = false;  // something follows the answer
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
        case 3:  // a length that does not fit, up to gigabytes
            parts[at][1 + dice.below(4)] ^= char(1 + dice.below(255));
            break;
        case 4:
            parts[at] = "-ERR nonsense\r\n";
            break;
        case 5:
            changed.more_behind = true;
            break;
        default:
            break;
    }
    return changed;
}

// Whether the messages up to the first ReadyForQuery are the complete answer. A ParameterStatus may be
// anywhere in it, or nowhere.
bool begins_with_answer(const std::vector<std::string>& parts, std::vector<std::string> complete,
                        bool& more_behind) {
    const std::string parameter = complete[3];
    const std::string ready = complete[4];
    auto first_end = std::find(parts.begin(), parts.end(), ready);
    if (first_end != parts.end()) ++first_end;
    more_behind = more_behind || first_end != parts.end();
    std::vector<std::string> answer(parts.begin(), first_end);
    std::erase(answer, parameter);
    std::erase(complete, parameter);
    return answer == complete;
}

TEST_CASE("pg links: an answer out of order is a failed attempt, one with more behind it counts") {
    Dice dice(41);
    std::unique_ptr<LinkRig> rig;
    int well_formed = 0;
    int malformed = 0;
    for (int round = 0; round < 300; ++round) {
        if (!rig) rig = std::make_unique<LinkRig>();
        const std::string value = std::to_string(round) + std::string(dice.below(3) * 3000, 'v');
        const auto complete = good(value);
        const ChangedAnswer changed = change(complete, dice);
        bool trailing = changed.more_behind;
        const bool expect_ok = begins_with_answer(changed.parts, complete, trailing);
        std::string bytes = joined(changed.parts);
        if (changed.more_behind) bytes += dice.below(2) ? joined(complete) : "noise";
        auto result = rig->request(bytes);
        REQUIRE(result);
        if (expect_ok) {
            ++well_formed;
            CHECK(result->status == AttemptStatus::ok);
            REQUIRE(result->answer.rows.size() == 1);
            CHECK(result->answer.rows[0].content == value);
            if (trailing) CHECK(rig->loop.until([&] { return !result->reusable || rig->ended; }));
        } else {
            ++malformed;
            CHECK(result->status == AttemptStatus::error);
            CHECK(result->answer.rows.empty());
            CHECK(!result->position_unix_us);
        }
        if (!expect_ok || trailing) rig.reset();
    }
    CHECK(well_formed > 50);
    CHECK(malformed > 50);
}

TEST_CASE("pg links: a malformed answer is a failed attempt, and its connection is not reused") {
    auto row = [](auto... v) { return pg::Writer().data_row({v...}).take(); };
    std::string head = pg::Writer().row_description({{"content", 17, true}}).take();
    std::string end = pg::Writer().complete("SELECT 1").ready().take();
    for (const std::string& bytes :
         {head + row("a", "b") + end, head + row("a") + row("b") + end, head + row(std::nullopt) + end,
          pg::Writer().row_description({{"other", 17, true}}).take() + row("a") + end,
          head + row("a") + pg::Writer().complete("SELECT 2").ready().take(),
          head + row("a") + pg::Writer().complete("SELECT 1").plain('Z', "E").take(),
          head + std::string("D\xb2\xd0\x5e\0", 5) + std::string(9000, 'x'),
          head + row(std::string(70000, 'a')).substr(0, 30000),
          head + row(std::string(1 << 20, 'a')),  // never ends
          pg::Writer().plain('E', "nonsense").ready().take(), std::string("noise\r\nnoise\r\n")}) {
        LinkRig rig;
        auto r = rig.request(bytes);
        REQUIRE(r);
        CHECK(r->status == AttemptStatus::error);
        CHECK(r->malformed);
        CHECK(!r->reusable);
    }
}

TEST_CASE("pg links: a malformed report or position invalidates nothing but itself") {
    auto whole = good("v");
    auto with = [&](std::string name, std::string value) {
        auto parts = whole;
        parts[3] = pg::Writer().parameter(name, value).take();
        return joined(parts);
    };
    LinkRig rig;
    for (auto bytes :
         {with("health", "inflight=7,x0=9%"), with("health", "inflight=7;;"), with("lsn_ms", "17x"),
          with("recovery", "maybe"),
          joined({whole[0], whole[1], whole[2],
                  pg::Writer().plain('S', std::string("health\0no end", 13)).take(), whole[4]})}) {
        auto r = rig.request(bytes);
        REQUIRE(r);
        CHECK(r->status == AttemptStatus::ok);
        CHECK(r->reusable);
        CHECK(!r->report.in_flight);
        CHECK(!r->position_unix_us);
        CHECK(!r->role);
    }
    auto r = rig.request(with("health", "inflight=7,x0=1767225600.5"));
    CHECK(r->report.in_flight == 7.0);
    std::string probe = pg::Writer()
                            .row_description({{"health", 25, false}})
                            .data_row({"inflight=3,x1=1"})
                            .complete("SHOW")
                            .ready()
                            .take();
    r = rig.request(probe, true);
    CHECK(r->status == AttemptStatus::ok);
    CHECK(r->report.in_flight == 3.0);
}

TEST_CASE("pg links: a value of some hundred KiB is an answer like any other") {
    LinkRig rig;
    std::string value(400000, 'v');
    auto r = rig.request(joined(good(value)));
    REQUIRE(r);
    CHECK(r->status == AttemptStatus::ok);
    CHECK(r->answer.rows.at(0).content == value);
    CHECK(r->reusable);
}

// The model of a long value: it is received in pieces, and nothing is read while there is no capacity.
TEST_CASE(
    "pg links: a long value is received in pieces, no more than the capacity, and ends like any other") {
    Dice dice(12);
    LinkRig rig;
    for (int round = 0; round < 40; ++round) {
        std::string value(dice.below(300000), 'a');
        for (std::size_t i = 0; i < value.size(); i += 97) value[i] = char(dice.below(256));
        bool limited = dice.below(2);
        rig.capacity = limited ? 20000 : std::size_t(-1);
        auto r = rig.request(joined(good(value)), false, true);
        REQUIRE(r);
        CHECK(r->status == AttemptStatus::ok);
        CHECK(r->reusable);
        CHECK(r->position_unix_us == 1767225600123000);
        bool is_long = value.size() + 10 > 65536;
        CHECK(rig.begun.has_value() == is_long);
        CHECK(r->answer.rows.empty() == is_long);
        CHECK((is_long ? rig.pieces : r->answer.rows.at(0).content) == value);
    }
    rig.capacity = std::size_t(-1);
    CHECK(rig.request(joined(good(std::string(4 << 20, 'x'))), false, true)->status == AttemptStatus::ok);
    CHECK(rig.pieces.size() == 4 << 20);
}

TEST_CASE("pg links: a link without capacity reads no further") {
    LinkRig rig;
    rig.capacity = 1;
    rig.host.reply = joined(good(std::string(4 << 20, 'x')));
    REQUIRE(rig.loop.until([&] { return rig.ready; }));
    routing::ClientRequest item;
    item.verb = routing::ClientRequest::Verb::lookup, item.name = "n", item.id = "1",
    item.may_stream_answer = true;
    rig.link->submit(item, 4s, std::nullopt);
    REQUIRE(rig.loop.until([&] { return rig.begun.has_value(); }));
    rig.loop.settle();
    CHECK(rig.pieces.size() < 65536);
    rig.link->resume();
    rig.loop.settle();
    CHECK(rig.pieces.size() < 2 * 65536);
    CHECK(!rig.done());
}

TEST_CASE("pg links: a long value that breaks off or has the wrong length is a failed attempt") {
    auto parts = good(std::string(200000, 'v'));
    auto malformed = [&](std::string reply, bool begins) {
        LinkRig rig;
        auto r = rig.request(std::move(reply), false, true);
        REQUIRE(r);
        CHECK(r->status == AttemptStatus::error);
        CHECK(r->malformed);
        CHECK(!r->reusable);
        CHECK(rig.begun.has_value() == begins);
    };
    malformed(joined({parts[0], parts[1], parts[1], parts[4]}), true);          // a second row
    malformed(joined({parts[0], parts[1], "noise that is no message"}), true);  // what follows is no end
    for (auto [at, byte] : {std::pair{1, '\x7f'}, {3, '\1'}, {5, '\1'}, {6, '\2'}, {8, '\x30'}}) {
        std::string row = parts[1];  // lengths and counts that do not fit each other, or are too large
        row[std::size_t(at)] = byte;
        malformed(joined({parts[0], row}), false);
    }
    LinkRig rig;  // a host that dies halfway
    rig.host.reply = joined({parts[0], parts[1].substr(0, 100000)});
    REQUIRE(rig.loop.until([&] { return rig.ready; }));
    routing::ClientRequest item;
    item.verb = routing::ClientRequest::Verb::lookup, item.name = "n", item.id = "1",
    item.may_stream_answer = true;
    rig.link->submit(item, 4s, std::nullopt);
    REQUIRE(rig.loop.until([&] { return rig.pieces.size() == 100000 - 11; }));
    rig.host.drop_all();
    REQUIRE(rig.loop.until([&] { return rig.done(); }));
    CHECK(rig.ended == BackendConnection::End::written);
}

TEST_CASE("pg links: a malformed startup never gets ready; bytes between requests end the connection") {
    for (std::string welcome : {std::string("SSH-2.0\r\n"), pg::Writer().ready().take(),
                                pg::Writer().plain('R', std::string("\0\0\0\3", 4)).take()}) {
        LinkRig rig;
        rig.host.welcome = welcome;
        REQUIRE(rig.loop.until([&] { return rig.ended.has_value(); }));
        CHECK(rig.ended == BackendConnection::End::unreachable);
    }
    LinkRig rig;
    rig.host.welcome += "noise";
    REQUIRE(rig.loop.until([&] { return rig.ended.has_value(); }));
    LinkRig closing;
    REQUIRE(closing.request(joined(good("v")))->reusable);
    CHECK(closing.link->may_be_reused());
    closing.host.drop_all();
    CHECK(closing.loop.until([&] { return !closing.link->may_be_reused(); }));
}

}  // namespace
}  // namespace indigovane::testing
