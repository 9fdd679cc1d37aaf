#include "program/handover_messages.hpp"

#include <cstring>

namespace indigovane::program::handover {

using policy::SessionKey;
using routing::Duration;
using routing::Time;

namespace {

enum class Type : char {
    hello = 'H',
    listening_socket = 'A',
    commits = 'T',
    started_requests = 'I',
    commit_floor = 'F',
    readmission = 'P',
    state_complete = 'E',
    serving = 'R',
    client_note = 'N',
    client = 'C',
};

// Builds a message: the type, then the fields that are appended.
class Encoder {
  public:
    explicit Encoder(Type type) : bytes_(1, char(type)) {}

    template <typename Integer>
    Encoder& integer(Integer value) {
        bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
        return *this;
    }
    // A time of the steady clock, which all processes of a machine share.
    Encoder& time(Time at) { return integer(std::int64_t(at.time_since_epoch().count())); }
    Encoder& text(std::string_view text) {
        bytes_ += text;
        return *this;
    }
    std::string release_bytes() { return std::move(bytes_); }

  private:
    std::string bytes_;
};

// Reads a message's fields one after the other. Each function returns false if the body ends before its
// field.
class Decoder {
  public:
    explicit Decoder(std::string_view body) : body_(body) {}

    template <typename Integer>
    bool integer(Integer& value) {
        if (body_.size() < sizeof value) return false;
        std::memcpy(&value, body_.data(), sizeof value);
        body_.remove_prefix(sizeof value);
        return true;
    }
    bool time(Time& at) {
        std::int64_t count = 0;
        if (!integer(count)) return false;
        at = Time(Duration(count));
        return true;
    }
    std::string_view remaining() const { return body_; }

  private:
    std::string_view body_;
};

struct EncodeVisitor {
    std::string operator()(const Hello& hello) const {
        return Encoder(Type::hello).integer(hello.version).release_bytes();
    }
    std::string operator()(const ListeningSocket& socket) const {
        return Encoder(Type::listening_socket).text(socket.front).release_bytes();
    }
    std::string operator()(const Commits& commits) const {
        Encoder encoder(Type::commits);
        for (const auto& [session, at] : commits.commits) encoder.integer(std::uint64_t(session)).time(at);
        return encoder.release_bytes();
    }
    std::string operator()(const StartedRequests& started) const {
        Encoder encoder(Type::started_requests);
        for (const auto& [hash, at] : started.requests) encoder.integer(hash).time(at);
        return encoder.release_bytes();
    }
    std::string operator()(const CommitFloor& floor) const {
        return Encoder(Type::commit_floor).time(floor.at).release_bytes();
    }
    std::string operator()(const Readmission& readmission) const {
        return Encoder(Type::readmission).time(readmission.at).text(readmission.uid).release_bytes();
    }
    std::string operator()(const StateComplete&) const {
        return Encoder(Type::state_complete).release_bytes();
    }
    std::string operator()(const Serving&) const { return Encoder(Type::serving).release_bytes(); }
    std::string operator()(const ClientNote& note) const {
        return Encoder(Type::client_note).text(note.note).release_bytes();
    }
    std::string operator()(const Client& client) const {
        return Encoder(Type::client)
            .integer(std::uint8_t(client.front.size()))
            .text(client.front)
            .integer(client.state)
            .text(client.unhandled_bytes)
            .release_bytes();
    }
};

Message decode_hello(Decoder body) {
    Hello hello;
    body.integer(hello.version);
    return hello;
}

// Reads the complete commits; a truncated last one is dropped.
Message decode_commits(Decoder body) {
    Commits commits;
    std::uint64_t session = 0;
    Time at;
    while (body.integer(session) && body.time(at)) commits.commits.emplace_back(SessionKey{session}, at);
    return commits;
}

// Reads the complete entries; a truncated last one is dropped.
Message decode_started(Decoder body) {
    StartedRequests started;
    std::uint64_t hash = 0;
    Time at;
    while (body.integer(hash) && body.time(at)) started.requests.emplace_back(hash, at);
    return started;
}

std::optional<Message> decode_floor(Decoder body) {
    CommitFloor floor;
    if (!body.time(floor.at)) return std::nullopt;
    return floor;
}

std::optional<Message> decode_readmission(Decoder body) {
    Readmission readmission;
    if (!body.time(readmission.at)) return std::nullopt;
    readmission.uid = body.remaining();
    return readmission;
}

Message decode_client(Decoder body) {
    Client client;
    std::uint8_t length = 0;
    std::string_view remaining;
    if (body.integer(length)) remaining = body.remaining();
    if (remaining.size() <= length) return client;
    client.front = remaining.substr(0, length);
    client.state = remaining[length];
    client.unhandled_bytes = remaining.substr(length + std::size_t(1));
    return client;
}

}  // namespace

std::string encode(const Message& message) {
    return std::visit(EncodeVisitor{}, message);
}

std::optional<Message> decode(std::string_view bytes) {
    if (bytes.empty()) return std::nullopt;
    Decoder body(bytes.substr(1));
    switch (Type(bytes[0])) {
        case Type::hello:
            return decode_hello(body);
        case Type::listening_socket:
            return ListeningSocket{std::string(body.remaining())};
        case Type::commits:
            return decode_commits(body);
        case Type::started_requests:
            return decode_started(body);
        case Type::commit_floor:
            return decode_floor(body);
        case Type::readmission:
            return decode_readmission(body);
        case Type::state_complete:
            return StateComplete{};
        case Type::serving:
            return Serving{};
        case Type::client_note:
            return ClientNote{std::string(body.remaining())};
        case Type::client:
            return decode_client(body);
    }
    return std::nullopt;
}

}  // namespace indigovane::program::handover
