#include "program/process_handover.hpp"

#include <unistd.h>

#include <cstring>

namespace indigovane::program {

using policy::SessionKey;
using policy::SessionTokens;
using routing::ClientHandover;
using routing::Duration;
using routing::Time;
using transport::Channel;
using transport::Descriptor;

namespace {

// A message is a type and what belongs to it, in this machine's order of bytes: it never leaves the machine.
// Types that are not known are passed over, so that versions may differ in what they tell.
enum Type : char {
    hello = 'H',     // heir: the version of these messages
    socket_ = 'A',   // elder: a front's name, with its listening socket
    tokens = 'T',    // either: sessions and their commits
    floor_ = 'F',    // elder: what sessions without one must see
    put_back = 'P',  // elder: a uid and when
    whole = 'E',     // elder: that was all
    ready = 'R',     // heir: it serves
    note = 'N',      // elder: of the next connection, what its front knows beside that
    client = 'C',    // elder: a front's name, its wire's state, what was read, with the connection
};
constexpr std::uint32_t kVersion = 1;
constexpr std::size_t kTokensInOne = 1000;

template <typename T>
void put(std::string& out, T value) {
    out.append(reinterpret_cast<const char*>(&value), sizeof value);
}
template <typename T>
bool get(std::string_view& in, T& value) {
    if (in.size() < sizeof value) return false;
    std::memcpy(&value, in.data(), sizeof value);
    in.remove_prefix(sizeof value);
    return true;
}
// The steady clock is one for all processes of a machine.
std::int64_t count(Time t) {
    return t.time_since_epoch().count();
}

std::string write(const SessionTokens& t, std::size_t from, std::size_t to) {
    std::string out(1, Type::tokens);
    for (std::size_t i = from; i < to; ++i) {
        put(out, std::uint64_t(t.commits[i].first));
        put(out, count(t.commits[i].second));
    }
    return out;
}

}  // namespace

ProcessHandover::ProcessHandover(boost::asio::io_context& io, std::string folder, std::string name,
                                 HandoverOwner& handover_owner, std::chrono::milliseconds client_timeout)
    : io_(io),
      folder_(std::move(folder)),
      name_(name + ".peer"),
      handover_owner_(handover_owner),
      patience_(client_timeout),
      timer_(io) {}

ProcessHandover::~ProcessHandover() {
    if (predecessor_) predecessor_->close();
    if (successor_) successor_->close();
}

bool ProcessHandover::ask() {
    if (!folder_.empty()) predecessor_ = Channel::connect(io_, folder_, name_, *this);
    if (!predecessor_) return false;
    predecessor_state_ = State::inheriting;
    predecessor_->start();
    std::string message(1, Type::hello);
    put(message, kVersion);
    predecessor_->send(std::move(message));
    timer_.expires_after(patience_);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        // Guards the start against an elder that hangs, or that is no such program.
        if (!ec && inheriting()) on_closed(*predecessor_);
    });
    handover_owner_.on_company();
    return true;
}

void ProcessHandover::announce() {
    if (predecessor_) predecessor_->send(std::string(1, Type::ready));
    if (folder_.empty()) return;
    listener_ = std::make_unique<transport::ChannelListener>(
        io_, folder_, name_, [this](Descriptor socket) { take_successor(std::move(socket)); });
}

void ProcessHandover::take_successor(Descriptor socket) {
    if (successor_) on_closed(*successor_);  // the newest counts
    successor_ = std::make_shared<Channel>(io_, std::move(socket), static_cast<Channel::Handler&>(*this));
    successor_state_ = State::waiting;
    successor_->start();
}

void ProcessHandover::hand_state_over() {
    for (auto& [front, socket] : handover_owner_.listening_sockets())
        successor_->send(std::string(1, Type::socket_) + front, Descriptor(::dup(socket)));
    SessionTokens all = handover_owner_.tokens();
    for (std::size_t i = 0; i < all.commits.size(); i += kTokensInOne)
        successor_->send(write(all, i, std::min(all.commits.size(), i + kTokensInOne)));
    std::string floor(1, Type::floor_);
    put(floor, count(all.floor));
    successor_->send(std::move(floor));
    for (auto& [uid, at] : handover_owner_.put_back()) {
        std::string message(1, Type::put_back);
        put(message, count(at));
        successor_->send(message + uid);
    }
    successor_->send(std::string(1, Type::whole));
    successor_state_ = State::sharing;
    handover_owner_.on_company();
}

void ProcessHandover::commit(std::uint64_t session, Time at) {
    if (!predecessor_ && successor_state_ != State::sharing && successor_state_ != State::ready) return;
    std::string message = write({{{SessionKey{session}, at}}, {}}, 0, 1);
    if (predecessor_) predecessor_->send(message);
    if (successor_state_ != State::waiting && successor_) successor_->send(message);
}

void ProcessHandover::give(const std::string& front, ClientHandover handover) {
    Descriptor socket(handover.socket);
    if (!successor_ready()) return;
    if (!handover.note.empty()) successor_->send(std::string(1, Type::note) + handover.note);
    std::string message(1, Type::client);
    put(message, std::uint8_t(front.size()));
    message += front;
    message += handover.state;
    successor_->send(message + handover.read, std::move(socket));
}

void ProcessHandover::on_message(Channel& channel, std::string_view message, Descriptor with) {
    char type = message[0];
    std::string_view body = message.substr(1);
    if (type == Type::tokens) {
        SessionTokens told;
        std::uint64_t session = 0;
        std::int64_t commit = 0;
        while (get(body, session) && get(body, commit))
            told.commits.push_back({SessionKey{session}, Time(Duration(commit))});
        handover_owner_.inherit_tokens(std::move(told));
        Channel* other = &channel == predecessor_.get() ? successor_.get() : predecessor_.get();
        if (other && successor_state_ != State::waiting) other->send(std::string(message));
    } else if (&channel == predecessor_.get()) {
        from_predecessor(type, body, std::move(with));
    } else {
        from_successor(type, body);
    }
}

void ProcessHandover::from_predecessor(char type, std::string_view body, Descriptor with) {
    std::int64_t at = 0;
    std::uint8_t length = 0;
    switch (type) {
        case Type::socket_:
            if (with && inheriting()) handover_owner_.inherit_socket(std::string(body), std::move(with));
            return;
        case Type::floor_:
            if (get(body, at)) handover_owner_.inherit_tokens({{}, Time(Duration(at))});
            return;
        case Type::put_back:
            if (get(body, at)) handover_owner_.inherit_put_back(std::string(body), Time(Duration(at)));
            return;
        case Type::whole:
            if (inheriting()) predecessor_state_ = State::sharing;
            timer_.cancel();
            return;
        case Type::note:
            note_ = body;
            return;
        case Type::client: {
            std::string note = std::exchange(note_, {});
            if (!get(body, length) || body.size() < length + std::size_t(1) || !with) return;
            ClientHandover handover;
            std::string front(body.substr(0, length));
            handover.state = body[length];
            handover.read = body.substr(length + std::size_t(1));
            handover.socket = with.release();
            handover.note = std::move(note);
            handover_owner_.inherit_client(front, std::move(handover));
            return;
        }
    }
}

void ProcessHandover::from_successor(char type, std::string_view body) {
    std::uint32_t version = 0;
    if (type == Type::hello && successor_state_ == State::waiting) {
        if (get(body, version) && version == kVersion) return hand_state_over();
        on_closed(*successor_);  // it starts as if there were nobody
    } else if (type == Type::ready && successor_state_ == State::sharing) {
        successor_state_ = State::ready;
        handover_owner_.on_successor_ready();
    }
}

// By the other side, or given up here. An heir without its elder's state has to do without.
void ProcessHandover::on_closed(Channel& channel) {
    channel.close();
    if (&channel == predecessor_.get()) {
        predecessor_.reset();
        predecessor_state_ = State::none;
        timer_.cancel();
    } else if (&channel == successor_.get()) {
        successor_.reset();
        successor_state_ = State::none;
    }
    handover_owner_.on_company();
}

}  // namespace indigovane::program
