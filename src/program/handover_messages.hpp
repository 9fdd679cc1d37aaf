// The messages that two processes of one pooler exchange during an upgrade, and their bytes. A message is one
// type character followed by a body. Integers have the machine's byte order, because messages never leave the
// machine. The two processes may run different versions of the program: a receiver ignores types that it
// doesn't know, and the bytes of a type never change (tests/program/handover_messages_test.cpp).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "policy/routing_policy.hpp"
#include "routing/interfaces.hpp"
#include "routing/started_requests.hpp"

namespace indigovane::program::handover {

// The successor's first message. A predecessor of another version closes the channel.
struct Hello {
    std::uint32_t version = 0;  // 0: the message was truncated
};
// From the predecessor: a front's listening socket, sent as the message's descriptor.
struct ListeningSocket {
    std::string front;
};
// From either process: sessions' last commits.
struct Commits {
    std::vector<std::pair<policy::SessionKey, routing::Time>> commits;
};
// From either process: requests that were sent to a host and must not run again.
struct StartedRequests {
    std::vector<routing::StartedRequests::Entry> requests;
};
// From the predecessor: the commit that reads of sessions without a commit of their own must see.
struct CommitFloor {
    routing::Time at{};
};
// From the predecessor: an endpoint that operators readmitted, and when.
struct Readmission {
    std::string uid;
    routing::Time at{};
};
// From the predecessor: its whole state has been sent.
struct StateComplete {};
// From the successor: it serves, and clients may be sent to it.
struct Serving {};
// From the predecessor: what the front knows, beside the connection's state, of the client in the next Client
// message.
struct ClientNote {
    std::string note;
};
// From the predecessor: a client, whose connection is sent as the message's descriptor.
struct Client {
    std::string front;            // empty: the message was truncated
    char state = 0;               // the connection's state in the front's protocol
    std::string unhandled_bytes;  // received from the client
};

using Message = std::variant<Hello, ListeningSocket, Commits, StartedRequests, CommitFloor, Readmission,
                             StateComplete, Serving, ClientNote, Client>;

// The version of these messages, sent in Hello.
constexpr std::uint32_t kVersion = 1;

// Returns the bytes of a message. A front's name has at most 255 bytes.
std::string encode(const Message& message);
// Returns nothing if the type is unknown, or if the body of a CommitFloor or Readmission is truncated. Of
// truncated Commits or StartedRequests, only the complete entries are returned.
std::optional<Message> decode(std::string_view bytes);

}  // namespace indigovane::program::handover
