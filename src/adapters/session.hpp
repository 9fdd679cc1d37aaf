// A client's connection at any front: bytes in, one request at a time, answers out in the same order.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "routing/interfaces.hpp"
#include "transport/connection.hpp"

namespace indigovane::adapters {

class Door;

class Session : public std::enable_shared_from_this<Session>,
                private transport::Connection::Handler,
                protected routing::Responder {
  public:
    struct Limits {
        std::size_t unread = 1 << 16;     // bytes kept while an earlier request is served
        std::size_t unwritten = 1 << 18;  // a client that reads nothing is asked nothing more beyond this
        std::chrono::milliseconds half_request{0};  // patience with a request that does not end; 0: any
    };

    Session(boost::asio::io_context& io, Door& door, routing::Intake& intake, Limits limits);
    virtual ~Session();

    void begin(boost::asio::ip::tcp::socket socket);
    bool between_requests();  // nothing is owed to this client, and nothing of it is unread
    void retire();            // closes as soon as that is so
    void close();             // at once
    std::uint64_t used = 0;   // when it last had a request, as a count

  protected:
    // Takes one message from the buffer; false: more must come, or the session is asked() or over.
    virtual bool step(transport::Buffer& in) = 0;
    virtual void on_half_request() {}  // the patience with one is over

    void ask(routing::Item item);  // one request; served() or ended() follows
    bool has_room(std::size_t bytes) const { return intake_.has_room(bytes); }
    void answered(std::string bytes);
    void write(std::string bytes) { connection_->write(std::move(bytes)); }
    void leave();  // what is written still goes out
    bool asked() const { return state_ == State::asked; }
    bool over() const { return state_ == State::over; }
    bool retiring() const { return retiring_; }

  private:
    enum class State { between, asked, over };

    void on_data(transport::Buffer& in) override;
    void on_written() override;
    void on_closed(const transport::error_code& ec) override;
    void work();
    void maybe_retire();
    void watch_half_request();

    Door& door_;
    routing::Intake& intake_;
    Limits limits_;
    std::shared_ptr<transport::Connection> connection_;
    boost::asio::steady_timer timer_;
    transport::Buffer* in_ = nullptr;  // the connection's
    State state_ = State::between;
    routing::RequestId request_{};
    bool retiring_ = false, working_ = false, half_ = false;
};

}  // namespace indigovane::adapters
