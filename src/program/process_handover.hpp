// An upgrade: two processes of one pooler, of which the elder hands all over to the heir.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "routing/interfaces.hpp"
#include "transport/channel.hpp"

namespace indigovane::program {

// Each process may have an elder, which it found when it started, and an heir, which found it. A channel's
// states:
//   to the elder: none, inheriting (its state is on its way), sharing
//   to the heir:  none, waiting (it has not said who it is), sharing, ready (it serves: clients may be sent)
class ProcessHandover : private transport::Channel::Handler {
  public:
    // What there is to hand over, and who takes it: the rest of the program.
    class HandoverOwner {
      public:
        virtual std::vector<std::pair<std::string, int>> listening_sockets() = 0;  // by front; not given away
        virtual policy::SessionTokens tokens() = 0;
        virtual std::map<std::string, routing::Time> put_back() = 0;

        virtual void inherit_socket(const std::string& front, transport::Descriptor socket) = 0;
        virtual void inherit_tokens(policy::SessionTokens tokens) = 0;
        virtual void inherit_put_back(const std::string& uid, routing::Time at) = 0;
        virtual void inherit_client(const std::string& front, routing::ClientHandover handover) = 0;
        virtual void on_company() = 0;  // the number of processes has changed
        virtual void on_successor_ready() = 0;

      protected:
        ~HandoverOwner() = default;
    };

    // `folder` is shared by both processes; an empty one: there is never another.
    ProcessHandover(
        boost::asio::io_context& io, std::string folder, std::string name, HandoverOwner& handover_owner,
        std::chrono::milliseconds client_timeout = std::chrono::milliseconds(2000));  // with an elder's state
    ~ProcessHandover();

    bool ask();       // for what an elder has; false: there is none
    void announce();  // serving: the elder may hand clients over, and an heir may ask
    bool inheriting() const { return predecessor_state_ == State::inheriting; }
    bool successor_ready() const { return successor_state_ == State::ready; }
    bool company() const {
        return predecessor_ || successor_state_ == State::sharing || successor_state_ == State::ready;
    }
    bool all_sent() const { return !successor_ || successor_->all_sent(); }
    void commit(std::uint64_t session, routing::Time at);
    void give(const std::string& front, routing::ClientHandover handover);  // to the heir, which is ready

  private:
    enum class State { none, waiting, inheriting, sharing, ready };

    void on_message(transport::Channel& channel, std::string_view message,
                    transport::Descriptor with) override;
    void on_closed(transport::Channel& channel) override;
    void from_predecessor(char type, std::string_view body, transport::Descriptor with);
    void from_successor(char type, std::string_view body);
    void take_successor(transport::Descriptor socket);
    void hand_state_over();

    boost::asio::io_context& io_;
    std::string folder_, name_;
    HandoverOwner& handover_owner_;
    std::chrono::milliseconds patience_;
    std::shared_ptr<transport::Channel> predecessor_, successor_;
    std::unique_ptr<transport::ChannelListener> listener_;
    std::string note_;  // of the client that comes next
    State predecessor_state_ = State::none, successor_state_ = State::none;
    boost::asio::steady_timer timer_;
};

}  // namespace indigovane::program
