#include "program/process_handover.hpp"

#include <unistd.h>

#include <algorithm>

namespace indigovane::program {

using policy::SessionKey;
using policy::SessionTokens;
using routing::ClientHandover;
using routing::Time;
using transport::Channel;
using transport::Descriptor;

namespace {
// Keeps a message well below Channel::kMaxMessageBytes.
constexpr std::size_t kCommitsPerMessage = 1000, kRequestsPerMessage = 1000;
}  // namespace

// Handles the messages that a predecessor may send. Other types are ignored.
struct ProcessHandover::PredecessorMessageHandler {
    ProcessHandover& handover;
    Descriptor descriptor;

    void operator()(handover::ListeningSocket& socket) {
        if (descriptor && handover.is_inheriting())
            handover.handover_owner_.inherit_socket(socket.front, std::move(descriptor));
    }
    void operator()(handover::CommitFloor& floor) { handover.handover_owner_.inherit_tokens({{}, floor.at}); }
    void operator()(handover::Readmission& readmission) {
        handover.handover_owner_.inherit_readmission(readmission.uid, readmission.at);
    }
    void operator()(handover::StateComplete&) {
        if (handover.is_inheriting()) handover.predecessor_state_ = State::sharing;
        handover.timer_.cancel();
    }
    void operator()(handover::ClientNote& note) { handover.client_note_ = std::move(note.note); }
    void operator()(handover::Client& client) {
        handover.receive_client(std::move(client), std::move(descriptor));
    }
    template <typename Other>
    void operator()(Other&) {}
};

// Handles the messages that a successor may send. Other types are ignored.
struct ProcessHandover::SuccessorMessageHandler {
    ProcessHandover& handover;

    void operator()(handover::Hello& hello) { handover.receive_hello(hello); }
    void operator()(handover::Serving&) {
        if (handover.successor_state_ != State::sharing) return;
        handover.successor_state_ = State::ready;
        handover.handover_owner_.on_successor_ready();
    }
    template <typename Other>
    void operator()(Other&) {}
};

ProcessHandover::ProcessHandover(boost::asio::io_context& io, std::string folder, std::string name,
                                 HandoverOwner& handover_owner, std::chrono::milliseconds state_timeout)
    : io_(io),
      folder_(std::move(folder)),
      name_(name + ".peer"),
      handover_owner_(handover_owner),
      state_timeout_(state_timeout),
      timer_(io) {}

ProcessHandover::~ProcessHandover() {
    if (predecessor_) predecessor_->close();
    if (successor_) successor_->close();
}

bool ProcessHandover::request_state() {
    if (!folder_.empty()) predecessor_ = Channel::connect(io_, folder_, name_, *this);
    if (!predecessor_) return false;
    predecessor_state_ = State::inheriting;
    predecessor_->start();
    predecessor_->send(encode(handover::Hello{handover::kVersion}));
    timer_.expires_after(state_timeout_);
    timer_.async_wait([this](const boost::system::error_code& error) {
        // The start must not wait for a predecessor that hangs, or for a listener that is another program.
        if (!error && is_inheriting()) on_closed(*predecessor_);
    });
    handover_owner_.on_process_change();
    return true;
}

void ProcessHandover::announce() {
    if (predecessor_) predecessor_->send(encode(handover::Serving{}));
    if (folder_.empty()) return;
    listener_ = std::make_unique<transport::ChannelListener>(
        io_, folder_, name_, [this](Descriptor socket) { accept_successor(std::move(socket)); });
}

// A newer successor replaces the previous one.
void ProcessHandover::accept_successor(Descriptor socket) {
    if (successor_) on_closed(*successor_);
    successor_ = std::make_shared<Channel>(io_, std::move(socket), static_cast<Channel::Handler&>(*this));
    successor_state_ = State::waiting;
    successor_->start();
}

void ProcessHandover::send_state() {
    for (auto& [front, socket] : handover_owner_.listening_sockets())
        successor_->send(encode(handover::ListeningSocket{front}), Descriptor(::dup(socket)));
    send_tokens(handover_owner_.tokens());
    for (auto& [uid, at] : handover_owner_.readmissions())
        successor_->send(encode(handover::Readmission{uid, at}));
    send_started_requests(handover_owner_.started_requests());
    successor_->send(encode(handover::StateComplete{}));
    successor_state_ = State::sharing;
    handover_owner_.on_process_change();
}

void ProcessHandover::send_tokens(const SessionTokens& tokens) {
    for (std::size_t first = 0; first < tokens.commits.size(); first += kCommitsPerMessage) {
        std::size_t end = std::min(tokens.commits.size(), first + kCommitsPerMessage);
        handover::Commits batch;
        for (std::size_t i = first; i < end; ++i) batch.commits.emplace_back(tokens.commits[i]);
        successor_->send(encode(batch));
    }
    successor_->send(encode(handover::CommitFloor{tokens.floor}));
}

void ProcessHandover::send_commit(std::uint64_t session, Time at) {
    if (has_other_process()) send_to_others(encode(handover::Commits{{{SessionKey{session}, at}}}));
}

void ProcessHandover::send_started_request(const routing::StartedRequests::Entry& request) {
    if (has_other_process()) send_to_others(encode(handover::StartedRequests{{request}}));
}

void ProcessHandover::send_to_others(const std::string& message) {
    if (predecessor_) predecessor_->send(message);
    if (successor_state_ != State::waiting && successor_) successor_->send(message);
}

void ProcessHandover::send_started_requests(const std::vector<routing::StartedRequests::Entry>& requests) {
    for (std::size_t first = 0; first < requests.size(); first += kRequestsPerMessage) {
        auto begin = requests.begin() + std::ptrdiff_t(first);
        auto end = requests.begin() + std::ptrdiff_t(std::min(requests.size(), first + kRequestsPerMessage));
        successor_->send(encode(handover::StartedRequests{{begin, end}}));
    }
}

void ProcessHandover::send_client(const std::string& front, ClientHandover client) {
    Descriptor socket(client.socket);
    if (!is_successor_ready()) return;
    if (!client.note.empty()) successor_->send(encode(handover::ClientNote{client.note}));
    successor_->send(encode(handover::Client{front, client.state, client.read}), std::move(socket));
}

void ProcessHandover::on_message(Channel& channel, std::string_view bytes, Descriptor descriptor) {
    std::optional<handover::Message> message = handover::decode(bytes);
    if (!message) return;
    if (auto* commits = std::get_if<handover::Commits>(&*message))
        receive_commits(channel, bytes, *commits);
    else if (auto* started = std::get_if<handover::StartedRequests>(&*message))
        receive_started_requests(channel, bytes, *started);
    else if (&channel == predecessor_.get())
        std::visit(PredecessorMessageHandler{*this, std::move(descriptor)}, *message);
    else
        std::visit(SuccessorMessageHandler{*this}, *message);
}

// Passes commits received from one side on to the other side as well.
void ProcessHandover::receive_commits(Channel& channel, std::string_view bytes,
                                      const handover::Commits& commits) {
    SessionTokens tokens;
    for (const auto& commit : commits.commits) tokens.commits.push_back(commit);
    handover_owner_.inherit_tokens(std::move(tokens));
    relay(channel, bytes);
}

void ProcessHandover::receive_started_requests(Channel& channel, std::string_view bytes,
                                               const handover::StartedRequests& started) {
    for (const auto& request : started.requests) handover_owner_.inherit_started_request(request);
    relay(channel, bytes);
}

void ProcessHandover::relay(Channel& from, std::string_view bytes) {
    Channel* other = &from == predecessor_.get() ? successor_.get() : predecessor_.get();
    if (other && successor_state_ != State::waiting) other->send(std::string(bytes));
}

void ProcessHandover::receive_hello(const handover::Hello& hello) {
    if (successor_state_ != State::waiting) return;
    if (hello.version == handover::kVersion)
        send_state();
    else
        on_closed(*successor_);  // the successor then starts as if there were no predecessor
}

void ProcessHandover::receive_client(handover::Client client, Descriptor socket) {
    std::string note = std::exchange(client_note_, {});
    if (client.front.empty() || !socket) return;
    ClientHandover inherited;
    inherited.state = client.state;
    inherited.read = std::move(client.unhandled_bytes);
    inherited.socket = socket.release();
    inherited.note = std::move(note);
    handover_owner_.inherit_client(client.front, std::move(inherited));
}

// The other side closed the channel, or this side gives it up. A successor that has not received the whole
// state continues with the part it has.
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
    handover_owner_.on_process_change();
}

}  // namespace indigovane::program
