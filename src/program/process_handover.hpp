// The upgrade of a running pooler: its process hands listening sockets, state and clients over to the process
// that replaces it. The two processes connect by a socket in the scratch folder that they share. The messages
// between them are in program/handover_messages.hpp.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "program/handover_messages.hpp"
#include "routing/interfaces.hpp"
#include "transport/channel.hpp"

namespace indigovane::program {

// The channels of one process: to its predecessor, to which it connects at its start, and to its successor,
// which connects to it. States of a channel:
//   to the predecessor: none, inheriting (it sends its state), sharing (its state has arrived)
//   to the successor:   none, waiting (for its Hello), sharing (it has this process's state),
//                       ready (it serves: clients may be sent)
// Not synchronized: use it on the thread that runs `io`, which also makes the callbacks.
class ProcessHandover final : private transport::Channel::Handler {
  public:
    // The longest time in which a predecessor may send its whole state.
    static constexpr std::chrono::milliseconds kStateTimeout{2000};

    // Provides what this process hands over and receives what it inherits. Must outlive the ProcessHandover.
    class HandoverOwner {
      public:
        // The listening sockets with the names of their fronts. The owner keeps the sockets.
        virtual std::vector<std::pair<std::string, int>> listening_sockets() = 0;
        virtual policy::SessionTokens tokens() = 0;
        // When endpoints were last readmitted, by uid.
        virtual std::map<std::string, routing::Time> readmissions() = 0;
        // Requests that were sent to a host and must not run again.
        virtual std::vector<routing::StartedRequests::Entry> started_requests() = 0;

        virtual void inherit_socket(const std::string& front, transport::Descriptor socket) = 0;
        virtual void inherit_tokens(policy::SessionTokens tokens) = 0;
        virtual void inherit_readmission(const std::string& uid, routing::Time at) = 0;
        virtual void inherit_started_request(const routing::StartedRequests::Entry& request) = 0;
        virtual void inherit_client(const std::string& front, routing::ClientHandover client) = 0;
        // The result of has_other_process() may have changed.
        virtual void on_process_change() = 0;
        // The successor serves: clients may be sent to it.
        virtual void on_successor_ready() = 0;
        virtual ~HandoverOwner() = default;
    };

    // `folder` is shared by both processes. An empty `folder` means that there is never another process.
    ProcessHandover(boost::asio::io_context& io, std::string folder, std::string name,
                    HandoverOwner& handover_owner, std::chrono::milliseconds state_timeout = kStateTimeout);
    virtual ~ProcessHandover();

    // Connects to a predecessor and requests its state. Returns false if there is no predecessor.
    bool request_state();
    // Announces that this process serves: a predecessor may hand clients over, and a successor may connect.
    // Throws std::runtime_error if the listener for a successor can't be opened.
    void announce();
    bool is_inheriting() const { return predecessor_state_ == State::inheriting; }
    bool is_successor_ready() const { return successor_state_ == State::ready; }
    // Whether another process of this pooler serves or is about to serve.
    bool has_other_process() const {
        return predecessor_ || successor_state_ == State::sharing || successor_state_ == State::ready;
    }
    // Whether all messages to the successor have been sent.
    bool all_sent() const { return !successor_ || successor_->all_sent(); }
    // Sends a session's commit to the predecessor and the successor.
    void send_commit(std::uint64_t session, routing::Time at);
    // Tells the predecessor and the successor of a request that must not run again.
    void send_started_request(const routing::StartedRequests::Entry& request);
    // Sends a client to the successor. If no successor is ready, the client's connection is closed.
    void send_client(const std::string& front, routing::ClientHandover client);

  private:
    enum class State { none, waiting, inheriting, sharing, ready };
    struct PredecessorMessageHandler;
    struct SuccessorMessageHandler;

    void on_message(transport::Channel& channel, std::string_view bytes,
                    transport::Descriptor descriptor) override;
    void on_closed(transport::Channel& channel) override;
    void accept_successor(transport::Descriptor socket);
    void receive_commits(transport::Channel& channel, std::string_view bytes,
                         const handover::Commits& commits);
    void receive_started_requests(transport::Channel& channel, std::string_view bytes,
                                  const handover::StartedRequests& started);
    // Sends a message to both other processes that have this one's state, or give theirs to it.
    void send_to_others(const std::string& message);
    // Passes on to the other side what was received from one side.
    void relay(transport::Channel& from, std::string_view bytes);
    void send_started_requests(const std::vector<routing::StartedRequests::Entry>& requests);
    void receive_hello(const handover::Hello& hello);
    void receive_client(handover::Client client, transport::Descriptor socket);
    void send_state();
    void send_tokens(const policy::SessionTokens& tokens);

    boost::asio::io_context& io_;
    std::string folder_;
    std::string name_;
    HandoverOwner& handover_owner_;
    std::chrono::milliseconds state_timeout_;
    std::shared_ptr<transport::Channel> predecessor_;
    std::shared_ptr<transport::Channel> successor_;
    std::unique_ptr<transport::ChannelListener> listener_;
    // The predecessor's note on the client that its next Client message carries.
    std::string client_note_;
    State predecessor_state_ = State::none;
    State successor_state_ = State::none;
    boost::asio::steady_timer timer_;
};

}  // namespace indigovane::program
