#include "program/succession.hpp"

#include <unistd.h>

#include <cstring>

namespace indigovane::program {

using routing::ClientParcel;
using routing::Duration;
using routing::Time;
using starlingpond::SessionKey;
using starlingpond::Tokens;
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

std::string write(const Tokens& t, std::size_t from, std::size_t to) {
    std::string out(1, Type::tokens);
    for (std::size_t i = from; i < to; ++i) {
        put(out, std::uint64_t(t.commits[i].first));
        put(out, count(t.commits[i].second));
    }
    return out;
}

}  // namespace

Succession::Succession(boost::asio::io_context& io, std::string folder, std::string name, Estate& estate,
                       std::chrono::milliseconds patience)
    : io_(io),
      folder_(std::move(folder)),
      name_(name + ".peer"),
      estate_(estate),
      patience_(patience),
      timer_(io) {}

Succession::~Succession() {
    if (elder_) elder_->close();
    if (heir_) heir_->close();
}

bool Succession::ask() {
    if (!folder_.empty()) elder_ = Channel::connect(io_, folder_, name_, *this);
    if (!elder_) return false;
    elder_state_ = State::inheriting;
    elder_->start();
    std::string message(1, Type::hello);
    put(message, kVersion);
    elder_->send(std::move(message));
    timer_.expires_after(patience_);
    timer_.async_wait([this](const boost::system::error_code& ec) {
        // Guards the start against an elder that hangs, or that is no such program.
        if (!ec && inheriting()) on_closed(*elder_);
    });
    estate_.on_company();
    return true;
}

void Succession::announce() {
    if (elder_) elder_->send(std::string(1, Type::ready));
    if (folder_.empty()) return;
    listener_ = std::make_unique<transport::ChannelListener>(
        io_, folder_, name_, [this](Descriptor socket) { take_heir(std::move(socket)); });
}

void Succession::take_heir(Descriptor socket) {
    if (heir_) on_closed(*heir_);  // the newest counts
    heir_ = std::make_shared<Channel>(io_, std::move(socket), static_cast<Channel::Handler&>(*this));
    heir_state_ = State::waiting;
    heir_->start();
}

void Succession::hand_state_over() {
    for (auto& [front, socket] : estate_.listening_sockets())
        heir_->send(std::string(1, Type::socket_) + front, Descriptor(::dup(socket)));
    Tokens all = estate_.tokens();
    for (std::size_t i = 0; i < all.commits.size(); i += kTokensInOne)
        heir_->send(write(all, i, std::min(all.commits.size(), i + kTokensInOne)));
    std::string floor(1, Type::floor_);
    put(floor, count(all.floor));
    heir_->send(std::move(floor));
    for (auto& [uid, at] : estate_.put_back()) {
        std::string message(1, Type::put_back);
        put(message, count(at));
        heir_->send(message + uid);
    }
    heir_->send(std::string(1, Type::whole));
    heir_state_ = State::sharing;
    estate_.on_company();
}

void Succession::commit(std::uint64_t session, Time at) {
    if (!elder_ && heir_state_ != State::sharing && heir_state_ != State::ready) return;
    std::string message = write({{{SessionKey{session}, at}}, {}}, 0, 1);
    if (elder_) elder_->send(message);
    if (heir_state_ != State::waiting && heir_) heir_->send(message);
}

void Succession::give(const std::string& front, ClientParcel parcel) {
    Descriptor socket(parcel.socket);
    if (!heir_ready()) return;
    if (!parcel.note.empty()) heir_->send(std::string(1, Type::note) + parcel.note);
    std::string message(1, Type::client);
    put(message, std::uint8_t(front.size()));
    message += front;
    message += parcel.state;
    heir_->send(message + parcel.read, std::move(socket));
}

void Succession::on_message(Channel& channel, std::string_view message, Descriptor with) {
    char type = message[0];
    std::string_view body = message.substr(1);
    if (type == Type::tokens) {
        Tokens told;
        std::uint64_t session = 0;
        std::int64_t commit = 0;
        while (get(body, session) && get(body, commit))
            told.commits.push_back({SessionKey{session}, Time(Duration(commit))});
        estate_.inherit_tokens(std::move(told));
        Channel* other = &channel == elder_.get() ? heir_.get() : elder_.get();
        if (other && heir_state_ != State::waiting) other->send(std::string(message));
    } else if (&channel == elder_.get()) {
        from_elder(type, body, std::move(with));
    } else {
        from_heir(type, body);
    }
}

void Succession::from_elder(char type, std::string_view body, Descriptor with) {
    std::int64_t at = 0;
    std::uint8_t length = 0;
    switch (type) {
        case Type::socket_:
            if (with && inheriting()) estate_.inherit_socket(std::string(body), std::move(with));
            return;
        case Type::floor_:
            if (get(body, at)) estate_.inherit_tokens({{}, Time(Duration(at))});
            return;
        case Type::put_back:
            if (get(body, at)) estate_.inherit_put_back(std::string(body), Time(Duration(at)));
            return;
        case Type::whole:
            if (inheriting()) elder_state_ = State::sharing;
            timer_.cancel();
            return;
        case Type::note:
            note_ = body;
            return;
        case Type::client: {
            std::string note = std::exchange(note_, {});
            if (!get(body, length) || body.size() < length + std::size_t(1) || !with) return;
            ClientParcel parcel;
            std::string front(body.substr(0, length));
            parcel.state = body[length];
            parcel.read = body.substr(length + std::size_t(1));
            parcel.socket = with.release();
            parcel.note = std::move(note);
            estate_.inherit_client(front, std::move(parcel));
            return;
        }
    }
}

void Succession::from_heir(char type, std::string_view body) {
    std::uint32_t version = 0;
    if (type == Type::hello && heir_state_ == State::waiting) {
        if (get(body, version) && version == kVersion) return hand_state_over();
        on_closed(*heir_);  // it starts as if there were nobody
    } else if (type == Type::ready && heir_state_ == State::sharing) {
        heir_state_ = State::ready;
        estate_.on_heir_ready();
    }
}

// By the other side, or given up here. An heir without its elder's state has to do without.
void Succession::on_closed(Channel& channel) {
    channel.close();
    if (&channel == elder_.get()) {
        elder_.reset();
        elder_state_ = State::none;
        timer_.cancel();
    } else if (&channel == heir_.get()) {
        heir_.reset();
        heir_state_ = State::none;
    }
    estate_.on_company();
}

}  // namespace indigovane::program
