// The messages that two processes of one pooler exchange during an upgrade, and their bytes. A message is one
// type character and a body; integers are in the byte order of the machine, which the messages never leave.
// Versions of the program may differ between the two processes: a receiver ignores types that it doesn't
// know, and no type may change its bytes (tests/program/handover_messages_test.cpp).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "policy/routing_policy.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::program::handover {

// Successor: the first message; a predecessor of another version closes the channel.
struct Hello {
    std::uint32_t version = 0;  // 0: it was cut short
};
// Predecessor: a front's listening socket, which comes as the message's descriptor.
struct ListeningSocket {
    std::string front;
};
// Either process: the last commits of sessions.
struct Commits {
    std::vector<std::pair<policy::SessionKey, routing::Time>> commits;
};
// Predecessor: what sessions without a commit of their own must see.
struct CommitFloor {
    routing::Time at{};
};
// Predecessor: an endpoint that operators readmitted, and when.
struct Readmission {
    std::string uid;
    routing::Time at{};
};
// Predecessor: its whole state has been sent.
struct StateComplete {};
// Successor: it serves; clients may be sent.
struct Serving {};
// Predecessor: what its front knows beside the state of the client that comes next.
struct ClientNote {
    std::string note;
};
// Predecessor: a client, whose connection comes as the message's descriptor.
struct Client {
    std::string front;  // empty: the message was cut short
    char state = 0;     // of the front's protocol
    std::string read;   // bytes that were read and not yet handled
};

using Message = std::variant<Hello, ListeningSocket, Commits, CommitFloor, Readmission, StateComplete,
                             Serving, ClientNote, Client>;

constexpr std::uint32_t kVersion = 1;

// The bytes of a message. A front's name has at most 255 bytes.
std::string encode(const Message& message);
// Nothing: a type of another version, or a body that is cut short.
std::optional<Message> decode(std::string_view bytes);

}  // namespace indigovane::program::handover
