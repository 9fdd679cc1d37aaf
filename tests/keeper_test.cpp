// The store in a whole pooler: real files, hosts that lag, processes that end at any moment.
#include <fstream>

#include "program/store_keeper.hpp"
#include "program/taken_out.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

using program::StoreKeeper;
using PgDeployment = Deployment<adapters::PgBackend, PgHost>;

struct Life {
    PgDeployment d;
    StoreKeeper keeper;
    Life(const std::string& folder, const std::string& scratch)
        : keeper(d.loop.io, d.clock, config(folder), scratch, "t1", d.core, d.logger) {
        keeper.open(true);
        d.core.on_write([this](std::uint64_t s, bool begins) { begins ? keeper.begun(s) : keeper.ended(s); });
        d.core.on_commit([this](std::uint64_t s, routing::Time at) { keeper.commit(s, at); });
        d.loop.batch = [this] {
            d.core.run_batch();
            keeper.carry();
        };
        for (Host& host : d.hosts) host.lag_ms = host.primary ? 0 : 60000;
        d.loop.settle();
    }
    static program::StoreConfig config(const std::string& folder) {
        program::StoreConfig c;
        c.folder = folder;
        c.sync_interval = 0us;
        return c;
    }
};

struct PgClient : Client {
    PgClient(Loop& loop, const transport::Endpoint& to) : Client(loop, to) {
        send(pg::Writer().startup("backend", "store").take());
        REQUIRE(reply() == "RZ");
    }
};

// Replicas are a minute behind and hold old values: a read that is answered by one though its session has
// written since is stale. Fails without the store: the second life would know of no write.
TEST_CASE("session reads through lives that end at any moment are never stale") {
    Folder folder, scratch;
    Dice dice(11);
    std::map<std::string, std::string> primary_rows, told;
    int reads = 0, ids = 0;
    for (int life = 0; life < 10; ++life) {
        Life l(folder.path, scratch.path);
        for (auto& [name, value] : primary_rows) l.d.hosts[0].rows[name] = value;
        PgClient client(l.d.loop, l.d.pg.local());
        int steps = int(dice.below(25));
        for (int step = 0; step < steps; ++step) {
            std::string name = std::string(1, char('a' + dice.below(6))), id = std::to_string(++ids);
            if (dice.below(2)) {
                std::string value = "v" + id;
                client.send(pg::Writer()
                                .query("/* id=" + id + ",c=scan-write,k=" + id +
                                       ",cluster=3 */ INSERT INTO kv (name, content) VALUES ('" + name +
                                       "', '" + value + "') RETURNING content")
                                .take());
                if (client.reply() == "TDCZ") told[name] = value;
            } else {
                client.send(pg::Writer()
                                .query("/* id=" + id +
                                       ",c=own-order,cluster=3 */ SELECT content FROM kv WHERE name = '" +
                                       name + "'")
                                .take());
                std::string got = client.reply();
                if (got != "TDCZ") continue;
                ++reads;
                if (told.count(name)) CHECK_MESSAGE(client.value == told[name], "life " << life);
            }
        }
        primary_rows = l.d.hosts[0].rows;
        if (dice.below(3) == 0) l.keeper.close();  // else it ends like a process that is killed
    }
    CHECK(reads > 30);
}

TEST_CASE("hosts taken out are acknowledged on disk, and known to the next process; so is the list") {
    Folder folder, scratch;
    {
        Life l(folder.path, scratch.path);
        bool told = false;
        l.keeper.hosts({"m1"}, {}, [&](bool on_disk) { told = on_disk; });
        REQUIRE(l.d.loop.until([&] { return told; }));
        l.keeper.list(R"({"rev":41,"all":true,"targets":[]})", 41);
        l.keeper.carry();
        l.keeper.close();
    }
    Life l(folder.path, scratch.path);
    CHECK(l.keeper.taken_out() == std::set<std::string>{"m1"});
    CHECK(l.keeper.last_list(40).value_or("").find("41") != std::string::npos);
    CHECK_FALSE(l.keeper.last_list(41));
}

// An upgrade: the heir serves before the elder lets go of the store, and both may end at any moment
// meanwhile.
TEST_CASE("an heir waits for the store, writes down what it has heard, and lowers the witness only then") {
    Folder folder, scratch;
    auto witness = [&] { return std::filesystem::exists(scratch.path + "/t1.witness"); };
    auto elder = std::make_unique<Life>(folder.path, scratch.path);
    REQUIRE(elder->d.loop.until([&] { return !witness(); }));
    Life heir(folder.path, scratch.path);
    CHECK_FALSE(heir.keeper.is_open());
    CHECK(witness());
    heir.keeper.commit(7, heir.d.clock.now());
    starlingpond::Tokens tokens;
    tokens.commits.emplace_back(starlingpond::SessionKey{8}, heir.d.clock.now());
    heir.keeper.inherit(tokens);
    elder->keeper.close();
    REQUIRE(heir.d.loop.until([&] { return heir.keeper.is_open(); }));
    REQUIRE(heir.d.loop.until([&] { return !witness(); }));
    elder->keeper.commit(9, elder->d.clock.now());  // after it has let go: the witness says so
    CHECK(witness());
    tokens.commits[0].first = starlingpond::SessionKey{9};
    heir.keeper.inherit(tokens);
    REQUIRE(heir.d.loop.until([&] { return !witness(); }));
    elder.reset();
    heir.keeper.close();
    std::unique_ptr<store::Environment> environment;
    REQUIRE(store::open_folder(folder.path, environment).ok());
    std::set<std::uint64_t> sessions;
    auto found = store::recover(*environment, false, [&](store::Record&& r, std::uint64_t) {
        if (r.space == store::Space::positions) sessions.insert(store::read_position_key(r.key).value_or(0));
    });
    CHECK(found.outcome == store::Recovered::Outcome::whole);
    for (std::uint64_t s : {7, 8, 9}) CHECK(sessions.count(s));
}

TEST_CASE("a store that can't be used ends the start, with file and offset") {
    Folder folder, scratch;
    { Life l(folder.path, scratch.path); }
    {
        std::ofstream out(folder.path + "/MANIFEST", std::ios::binary | std::ios::trunc);
        out << "nonsense";
    }
    std::string why;
    try {
        Life l(folder.path, scratch.path);
    } catch (const program::FileError& error) {
        why = error.what();
    }
    CHECK(why.find("MANIFEST:0: it is damaged") != std::string::npos);
}

TEST_CASE("the store's file: a folder that is there, is ours, and has room; every mistake with its place") {
    Folder folder;
    auto error = [&](const std::string& text) -> std::string {
        try {
            program::parse_store_config(text, "s.toml");
        } catch (const program::FileError& e) {
            return e.what();
        }
        return "";
    };
    std::string good = "[store]\nfolder = \"" + folder.path + "\"\n";
    CHECK(error(good) == "");
    CHECK(error("[store]\nfolder = \"/nowhere/at/all\"\n").find("s.toml:2:10: folder:") == 0);
    CHECK(error("[store]\n").find("needs a 'folder'") != std::string::npos);
    CHECK(error("").find("[store] is missing") != std::string::npos);
    CHECK(error(good + "budget = \"2\"\n").find("a number without a unit is none") != std::string::npos);
    CHECK(error(good + "bugdet = \"2MiB\"\n").find("did you mean 'budget'?") != std::string::npos);
    CHECK(error(good + "budget = \"1MiB\"\n").find("four segments") != std::string::npos);
}

}  // namespace
}  // namespace indigovane::testing
