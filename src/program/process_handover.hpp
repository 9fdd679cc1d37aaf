// The upgrade of a running pooler: its process hands listening sockets, state and clients over to the process
// that takes its place. Both find each other by a socket in the scratch folder that they share; the messages
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

// One process's channels: to its predecessor, which it found at its start, and to its successor, which found
// it. States of a channel:
//   to the predecessor: none, inheriting (its state is on its way), sharing
//   to the successor:   none, waiting (for its hello), sharing, ready (it serves: clients may be sent)
// Belongs to the thread that runs `io`; callbacks come from there.
class ProcessHandover final : private transport::Channel::Handler {
  public:
    // Time for a predecessor to send its whole state.
    static constexpr std::chrono::milliseconds kStateTimeout{2000};

    // Provides what this process hands over, and receives what it inherits. Must outlive the handover.
    class HandoverOwner {
      public:
        // By front; they remain the owner's.
        virtual std::vector<std::pair<std::string, int>> listening_sockets() = 0;
        virtual policy::SessionTokens tokens() = 0;
        virtual std::map<std::string, routing::Time> readmissions() = 0;  // by uid

        virtual void inherit_socket(const std::string& front, transport::Descriptor socket) = 0;
        virtual void inherit_tokens(policy::SessionTokens tokens) = 0;
        virtual void inherit_readmission(const std::string& uid, routing::Time at) = 0;
        virtual void inherit_client(const std::string& front, routing::ClientHandover client) = 0;
        virtual void on_process_change() = 0;  // another_process() may answer otherwise than before
        virtual void on_successor_ready() = 0;
        virtual ~HandoverOwner() = default;
    };

    // `folder` is shared by both processes; an empty one: there is never another process.
    ProcessHandover(boost::asio::io_context& io, std::string folder, std::string name,
                    HandoverOwner& handover_owner, std::chrono::milliseconds state_timeout = kStateTimeout);
    virtual ~ProcessHandover();

    // Connects to a predecessor and requests its state; false: there is none.
    bool request_state();
    // This process serves: a predecessor may hand clients over, and a successor may connect. Throws
    // std::runtime_error where no successor could connect.
    void announce();
    bool inheriting() const { return predecessor_state_ == State::inheriting; }
    bool successor_ready() const { return successor_state_ == State::ready; }
    // Another process of this pooler serves, or is about to.
    bool another_process() const {
        return predecessor_ || successor_state_ == State::sharing || successor_state_ == State::ready;
    }
    bool all_sent() const { return !successor_ || successor_->all_sent(); }
    // To the processes on both sides.
    void send_commit(std::uint64_t session, routing::Time at);
    // To the successor. Without one that is ready the connection is closed.
    void send_client(const std::string& front, routing::ClientHandover client);

  private:
    enum class State { none, waiting, inheriting, sharing, ready };
    struct PredecessorMessage;  // visitors
    struct SuccessorMessage;

    void on_message(transport::Channel& channel, std::string_view bytes,
                    transport::Descriptor descriptor) override;
    void on_closed(transport::Channel& channel) override;
    void accept_successor(transport::Descriptor socket);
    void receive_commits(transport::Channel& channel, std::string_view bytes,
                         const handover::Commits& commits);
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
    std::string client_note_;  // of the client that comes next
    State predecessor_state_ = State::none;
    State successor_state_ = State::none;
    boost::asio::steady_timer timer_;
};

}  // namespace indigovane::program
