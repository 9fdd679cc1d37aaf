// A client's connection at any front: bytes in, one request at a time, answers out in the same order.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "routing/interfaces.hpp"
#include "transport/arrivals.hpp"
#include "transport/connection.hpp"

namespace indigovane::adapters {

class ClientListener;

class Session : public std::enable_shared_from_this<Session>,
                private transport::Connection::Handler,
                protected routing::Responder {
  public:
    struct Limits {
        std::size_t unread = 1 << 16;     // bytes kept while an earlier request is served
        std::size_t unwritten = 1 << 18;  // a client that reads nothing is asked nothing more beyond this
        // Patience with a client that is in the middle of something: a first request that does not come, one
        // that does not end, an answer that is not read.
        std::chrono::milliseconds client_timeout{2500};
        // With one that reads a long value: so long without reading anything of it.
        std::chrono::milliseconds reading{5000};
        std::size_t pieces = 32768;  // of a long value, unwritten: at this no more is taken in
    };

    Session(boost::asio::io_context& io, ClientListener& client_listener,
            routing::RequestAdmission& admission, Limits limits);
    virtual ~Session();

    void begin(boost::asio::ip::tcp::socket socket, std::string_view read = {});
    std::optional<routing::ClientHandover> release();  // the session is over then; nothing: not now
    // Before begin().
    virtual void restore(char, std::string_view) { has_begun_ = true; }
    bool between_requests();      // nothing is owed to this client, and nothing of it is unread
    void retire();                // closes if that is so and the listener wants it
    void give_way() { leave(); }  // between requests
    void close() { end_with(routing::RequestAdmission::Departure::closed_here); }  // at once
    // What its listener notes of it.
    std::uint64_t used = 0;                      // when it last had a request, or came, as a count
    std::chrono::steady_clock::time_point came;  // and the time that it came
    bool served = false;                         // it has had a request
    std::size_t granted = 0;                     // bytes that its listener lets it keep beyond the usual
    void try_again();                            // the listener may have capacity for what it waits for
    std::size_t memory_bytes() const;            // bytes that it keeps in memory, unread and unwritten
    std::size_t counted = 0;                     // and those that the listener knows of

  protected:
    // Takes one message from the buffer; false: more must come, or the session is asked() or over.
    virtual bool step(transport::Buffer& in) = 0;
    // More is owed by the client before it may stay for as long as it likes.
    virtual bool unfinished() const { return !has_begun_; }
    virtual char wire_state() const { return 0; }
    virtual std::string wire_note() const { return {}; }  // 256 bytes at most
    virtual void on_impatient() = 0;  // a request does not end, or no first one has come: leave()
    virtual void on_no_memory() = 0;  // what the clients hold together is too much: leave()

    // A message of that length is under way. False: there is no room for it yet, and no more is read until
    // there is.
    bool expect(std::size_t length);
    static constexpr auto kLongest = std::chrono::seconds(30);  // for one that is under way all the time
    // One request; on_answer() or on_final_error() follows. `unread`: of its message, bytes that are in the
    // buffer yet.
    void submit(routing::ClientRequest item, std::size_t unread = 0);
    bool has_capacity(std::size_t bytes) const { return admission_.has_capacity(bytes); }
    void answered(std::string bytes);
    bool pass_on(std::string bytes);  // part of the answer; false: resume() follows, when there is room
    void break_off();                 // the answer can't be finished: the client is to see that
    void write(std::string bytes) { connection_->write(std::move(bytes)); }
    bool is_open(const std::string& id) const { return admission_.is_open(id); }
    // What is written still goes out, and the connection is half-closed.
    void leave(transport::Connection::LateInput crossing = transport::Connection::LateInput::unread);
    // Of this client's connection: the same in the process that it is handed over to.
    std::string peer() const;
    bool serving() const { return state_ == State::serving; }
    bool over() const { return state_ == State::over; }
    bool retiring() const;  // to be closed after this request
    bool refusing() const;  // whoever asks whether to send clients here is to be told no

  private:
    enum class State { between, serving, over };

    void on_data(transport::Buffer& in) override;
    void on_written() override;
    void on_closed(const transport::error_code& ec) override;
    bool is_client_present() override { return !connection_->hung_up(); }
    void end_with(routing::RequestAdmission::Departure departure);
    void work();
    void watch();

    ClientListener& client_listener_;
    routing::RequestAdmission& admission_;
    Limits limits_;
    std::shared_ptr<transport::Connection> connection_;
    boost::asio::steady_timer timer_;
    transport::Buffer* in_ = nullptr;  // the connection's
    transport::Arrivals arrivals_;     // of what is in it
    State state_ = State::between;
    routing::RequestId request_{};
    std::size_t seen_ = 0;  // of a long message when the watch began
    std::chrono::steady_clock::time_point expected_since_;
    std::uint64_t sent_ = 0;     // by the connection when the watch began
    std::uint64_t watches_ = 0;  // begun so far: a ring of an earlier one says nothing
    bool passing_on_ = false;    // a long value has begun
    bool working_ = false, watching_ = false, progress_ = false, has_begun_ = false;
};

}  // namespace indigovane::adapters
