// The bytes that two processes of one pooler exchange during an upgrade. They are a protocol between versions
// of the program: if a byte changes, the handover between an old and a new version fails.
#include <sys/socket.h>

#include "program/process_handover.hpp"
#include "support/deployment.hpp"

namespace indigovane::testing {
namespace {

using program::ProcessHandover;
using routing::Duration;
using routing::Time;
using transport::Channel;
using transport::Descriptor;
using namespace std::string_literals;

// The other end of a channel. Records the messages, and whether each had a descriptor.
struct RecordingPeer : Channel::Handler {
    void on_message(Channel&, std::string_view message, Descriptor descriptor) override {
        messages.emplace_back(message);
        had_descriptor.push_back(bool(descriptor));
    }
    void on_closed(Channel&) override { closed = true; }
    std::vector<std::string> messages;
    std::vector<bool> had_descriptor;
    bool closed = false;
};

Descriptor any_descriptor() {
    return Descriptor(::socket(AF_UNIX, SOCK_STREAM, 0));
}

policy::SessionTokens example_tokens() {
    return {{{policy::SessionKey{0x0102030405060708u}, Time(Duration(0x1112131415161718))},
             {policy::SessionKey{2}, Time(Duration(3))}},
            Time(Duration(0x21))};
}

// A process with a known state. Records what it inherits.
struct RecordingOwner : ProcessHandover::HandoverOwner {
    std::vector<std::pair<std::string, int>> listening_sockets() override {
        return {{"pg", listener.get()}, {"rest", listener.get()}};
    }
    policy::SessionTokens tokens() override { return example_tokens(); }
    std::map<std::string, Time> readmissions() override { return {{"m1", Time(Duration(0x31))}}; }
    void inherit_socket(const std::string& front, Descriptor socket) override {
        if (socket) events.push_back("socket " + front);
    }
    void inherit_tokens(policy::SessionTokens tokens) override {
        for (auto& [session, at] : tokens.commits)
            events.push_back("commit " + std::to_string(std::uint64_t(session)) + " " +
                             std::to_string(at.time_since_epoch().count()));
        if (tokens.commits.empty())
            events.push_back("floor " + std::to_string(tokens.floor.time_since_epoch().count()));
    }
    void inherit_readmission(const std::string& uid, Time at) override {
        events.push_back("readmitted " + uid + " " + std::to_string(at.time_since_epoch().count()));
    }
    std::vector<routing::StartedRequests::Entry> started_requests() override {
        return {{0x4142434445464748u, Time(Duration(0x51))}};
    }
    void inherit_started_request(const routing::StartedRequests::Entry& request) override {
        events.push_back("started " + std::to_string(request.first) + " " +
                         std::to_string(request.second.time_since_epoch().count()));
    }
    void inherit_client(const std::string& front, routing::ClientHandover handover) override {
        Descriptor socket(handover.socket);
        events.push_back("client " + front + " " + handover.state + " " + handover.read + " " +
                         handover.note + (socket ? " open" : " closed"));
    }
    void on_process_change() override {}
    void on_successor_ready() override { events.push_back("ready"); }

    Descriptor listener = any_descriptor();
    std::vector<std::string> events;
};

TEST_CASE("handover: a predecessor's messages have fixed bytes") {
    Loop loop;
    Folder folder;
    RecordingOwner owner;
    ProcessHandover predecessor(loop.io, folder.path, "n1", owner);
    predecessor.announce();
    RecordingPeer peer;
    auto successor = Channel::connect(loop.io, folder.path, "n1.peer", peer);
    REQUIRE(successor);
    successor->start();
    successor->send("H\1\0\0\0"s);
    REQUIRE(loop.until([&] { return peer.messages.size() == 7; }));
    CHECK(peer.messages[0] == "Apg");
    CHECK(peer.messages[1] == "Arest");
    CHECK(
        peer.messages[2] ==
        "T\x08\x07\x06\x05\x04\x03\x02\x01\x18\x17\x16\x15\x14\x13\x12\x11\2\0\0\0\0\0\0\0\3\0\0\0\0\0\0\0"s);
    CHECK(peer.messages[3] == "F\x21\0\0\0\0\0\0\0"s);
    CHECK(peer.messages[4] == "P\x31\0\0\0\0\0\0\0m1"s);
    CHECK(peer.messages[5] == "IHGFEDCBA\x51\0\0\0\0\0\0\0"s);
    CHECK(peer.messages[6] == "E");
    CHECK(peer.had_descriptor == std::vector<bool>{true, true, false, false, false, false, false});

    predecessor.send_commit(5, Time(Duration(6)));
    predecessor.send_started_request({7, Time(Duration(8))});
    successor->send("R");
    REQUIRE(loop.until([&] { return predecessor.is_successor_ready(); }));
    CHECK(owner.events == std::vector<std::string>{"ready"});
    routing::ClientHandover client;
    client.state = 's';
    client.read = "half";
    client.note = "n\0te"s;
    client.socket = any_descriptor().release();
    predecessor.send_client("pg", std::move(client));
    routing::ClientHandover without_note;
    without_note.state = 'i';
    without_note.socket = any_descriptor().release();
    predecessor.send_client("rest", std::move(without_note));
    REQUIRE(loop.until([&] { return peer.messages.size() == 12; }));
    CHECK(peer.messages[7] == "T\5\0\0\0\0\0\0\0\6\0\0\0\0\0\0\0"s);
    CHECK(peer.messages[8] == "I\7\0\0\0\0\0\0\0\x08\0\0\0\0\0\0\0"s);
    CHECK(peer.messages[9] == "Nn\0te"s);
    CHECK(peer.messages[10] == "C\2pgshalf");
    CHECK(peer.messages[11] == "C\4resti");
    CHECK(peer.had_descriptor[9] == false);
    CHECK(peer.had_descriptor[10] == true);
    CHECK(peer.had_descriptor[11] == true);
}

TEST_CASE("handover: a successor's messages have fixed bytes, and it reads a predecessor's fixed bytes") {
    Loop loop;
    Folder folder;
    RecordingOwner owner;
    RecordingPeer peer;
    std::shared_ptr<Channel> predecessor;
    transport::ChannelListener listener(loop.io, folder.path, "n1.peer", [&](Descriptor socket) {
        predecessor = std::make_shared<Channel>(loop.io, std::move(socket), peer);
        predecessor->start();
    });
    ProcessHandover successor(loop.io, folder.path, "n1", owner, 20s);
    REQUIRE(successor.request_state());
    REQUIRE(loop.until([&] { return peer.messages.size() == 1; }));
    CHECK(peer.messages[0] == "H\1\0\0\0"s);
    predecessor->send("Apg", any_descriptor());
    predecessor->send("T\7\0\0\0\0\0\0\0\3\0\0\0\0\0\0\0"s);
    predecessor->send("F\x21\0\0\0\0\0\0\0"s);
    predecessor->send("P\x31\0\0\0\0\0\0\0m1"s);
    predecessor->send("I\x0b\0\0\0\0\0\0\0\x0c\0\0\0\0\0\0\0truncated"s);
    predecessor->send("?a type of a later version");
    predecessor->send("F\1"s);  // truncated
    CHECK(successor.is_inheriting());
    predecessor->send("E");
    REQUIRE(loop.until([&] { return !successor.is_inheriting(); }));
    predecessor->send("Arest", any_descriptor());  // ignored: the state is complete already
    predecessor->send("Nnote");
    predecessor->send("C\2pgshalf", any_descriptor());
    predecessor->send("C\4resti", any_descriptor());
    predecessor->send("C\x09pgs", any_descriptor());  // ignored: the name is truncated
    predecessor->send("C\2pgs");                      // ignored: the connection is missing
    predecessor->send("F\x22\0\0\0\0\0\0\0"s);
    REQUIRE(loop.until([&] { return !owner.events.empty() && owner.events.back() == "floor 34"; }));
    CHECK(owner.events == std::vector<std::string>{"socket pg", "commit 7 3", "floor 33", "readmitted m1 49",
                                                   "started 11 12", "client pg s half note open",
                                                   "client rest i   open", "floor 34"});
    successor.send_commit(5, Time(Duration(6)));
    successor.announce();
    REQUIRE(loop.until([&] { return peer.messages.size() == 3; }));
    CHECK(peer.messages[1] == "T\5\0\0\0\0\0\0\0\6\0\0\0\0\0\0\0"s);
    CHECK(peer.messages[2] == "R");
}

TEST_CASE(
    "handover: session tokens are sent 1000 in a message, and a successor's commits reach the predecessor") {
    Loop loop;
    Folder folder;
    struct : RecordingOwner {
        policy::SessionTokens tokens() override {
            policy::SessionTokens all_tokens;
            for (std::uint64_t i = 1; i <= 1001; ++i)
                all_tokens.commits.emplace_back(policy::SessionKey{i}, Time(Duration(1)));
            return all_tokens;
        }
    } owner;
    ProcessHandover predecessor(loop.io, folder.path, "n1", owner);
    predecessor.announce();
    RecordingPeer peer;
    auto successor = Channel::connect(loop.io, folder.path, "n1.peer", peer);
    REQUIRE(successor);
    successor->start();
    successor->send("H\1\0\0\0"s);
    REQUIRE(loop.until([&] { return peer.messages.size() == 8; }));
    CHECK(peer.messages[2].size() == 1 + 1000 * 16);
    CHECK(peer.messages[3] == "T\xe9\3\0\0\0\0\0\0\1\0\0\0\0\0\0\0"s);
    // The predecessor inherits a commit of the successor.
    successor->send("T\x08\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0"s);
    REQUIRE(loop.until([&] { return !owner.events.empty(); }));
    CHECK(owner.events == std::vector<std::string>{"commit 8 9"});
}

}  // namespace
}  // namespace indigovane::testing
