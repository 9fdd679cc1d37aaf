// A client's connection to any front. Requests are read and answered one at a time, in their order.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

#include "adapters/client_memory.hpp"
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
        /// Received bytes that are kept unread while an earlier request is served.
        std::size_t unread_bytes = 1 << 16;
        /// No further request is read while more than this is unwritten: the client does not read its
        /// answers.
        std::size_t unwritten_bytes = 1 << 18;
        /// Time without progress for a first request to arrive, for a request to be completed, and for an
        /// answer to be read.
        std::chrono::milliseconds client_timeout{2500};
        /// Time without progress for a client that reads a long value.
        std::chrono::milliseconds read_timeout{5000};
        /// Unwritten bytes of a long value at which no further piece of it is accepted.
        std::size_t streamed_bytes = 32768;
    };

    Session(boost::asio::io_context& io, ClientListener& client_listener,
            routing::RequestAdmission& admission, Limits limits);
    virtual ~Session();

    /// Starts to serve the connected socket. `received_bytes` were read from it by its previous owner.
    void begin(boost::asio::ip::tcp::socket socket, std::string_view received_bytes = {});
    /// Closes this session and returns its socket and state for another process. Returns std::nullopt, and
    /// changes nothing, while a request is served or too much is unread; returns it also when the socket
    /// can't be released because an answer is unwritten.
    std::optional<routing::ClientHandover> release();
    /// Restores what `wire_state()` and `wire_note()` gave in the previous process. Called before begin().
    virtual void restore(char, std::string_view) { has_received_message_ = true; }
    /// Whether no request is served, nothing received is unread and the client has all answers.
    bool is_idle();
    /// Closes the connection if the listener retires this session and no answer is owed to its client.
    void close_if_retiring();
    /// Called when the listener serves its clients again after it had retired them.
    void resume_service();
    /// Closes an idle session to make room for another one.
    void evict() { close_gracefully(); }
    /// Closes at once and withdraws a request in flight.
    void close() { end_with(routing::RequestAdmission::Departure::closed_here); }

    // The listener's record of this session.

    /// Position in the order of use: set when the session is accepted and whenever it is used.
    std::uint64_t last_use_sequence = 0;
    std::chrono::steady_clock::time_point accepted_at;
    /// Whether the session has had a request.
    bool has_been_served = false;
    /// Called when a message has waited too long for capacity: rejects its request and continues behind it.
    virtual void on_capacity_timeout() {}
    /// Bytes that the listener has granted for a long message, beyond `Limits::unread_bytes`.
    std::size_t granted_bytes = 0;
    /// Continues to process what is unread: the listener may have capacity for a long message, or no longer
    /// hands sessions over.
    void resume_reading();
    /// This session's part of the listener's sum of memory.
    ClientMemory::Account memory;

  protected:
    /// Consumes one message of the buffer. Returns false if the message is incomplete or the session is
    /// closed.
    virtual bool process_next_message(transport::Buffer& in) = 0;
    /// Whether the client has yet to send its first message. An idle client has no timeout after that.
    virtual bool is_awaiting_first_message() const { return !has_received_message_; }
    /// Whether the rest of a message that was rejected is still to come. Such a session is not handed over.
    virtual bool is_skipping_message() const { return false; }
    /// State of the wire protocol, for a handover.
    virtual char wire_state() const { return 0; }
    /// What a handover has to carry beside the state: at most 256 bytes.
    virtual std::string wire_note() const { return {}; }
    /// Called when the first request or the rest of a request is late: reports it and closes the connection.
    virtual void on_client_timeout() = 0;
    /// Called between two requests when all clients together use too much memory, and this one more than its
    /// share: reports it and closes the connection.
    virtual void on_memory_limit() = 0;

    /// Reserves memory for an incomplete message of `length` bytes. Returns false if there is no capacity
    /// yet; nothing more is read until there is.
    bool reserve_long_message(std::size_t length);
    /// Time limit for a long message whose bytes keep arriving.
    static constexpr auto kLongMessageTimeout = std::chrono::seconds(30);
    /// Passes one request on; on_answer() or on_final_error() follows. `unread` is the number of bytes of its
    /// message that are still in the buffer.
    void submit(routing::ClientRequest client_request, std::size_t unread = 0);
    /// Whether the admission has capacity for a request of that many bytes.
    bool has_capacity(std::size_t bytes) const { return admission_.has_capacity(bytes); }
    /// Whether there is memory for an answer of that many bytes. If not, the front gives an error in its
    /// place.
    bool has_memory_for_answer(std::size_t bytes);
    /// Writes the answer, or its end, and reads the next request.
    void finish_response(std::string bytes);
    /// Writes a part of the answer. Returns false if the client has too much of it unread: no more may be
    /// written until this session calls the admission's resume().
    bool stream_response(std::string bytes);
    /// Closes the connection at once because the answer can't be completed: the client sees it cut off.
    void abort_response();
    void write(std::string bytes) { connection_->write(std::move(bytes)); }
    bool is_open(const std::string& id) const { return admission_.is_open(id); }
    /// Withdraws a request in flight, sends what is already written and half-closes the connection.
    void close_gracefully(
        transport::Connection::LateInput crossing = transport::Connection::LateInput::unread);
    /// The client's address and port. It stays the same after a handover to another process.
    std::string peer_address() const;
    bool is_serving() const { return state_ == State::serving; }
    bool is_closed() const { return state_ == State::closed; }
    /// Whether the listener retires this session and no answer is owed beyond that to the message consumed
    /// last: the connection is to be closed after it.
    ///
    /// Answers are owed to what had arrived, here or in the kernel, when the session was retired first, and
    /// to each message that was read completely since. What arrives later stays in the kernel, unread, so
    /// that its client can send it again elsewhere. Without that bound a client that always has a further
    /// request in flight is served until the process is killed.
    bool is_last_answer();
    /// Whether health checks are to fail, so that load balancers send clients elsewhere.
    bool is_failing_checks() const;

  private:
    enum class State { idle, serving, closed };
    // What a retired session still reads.
    enum class OwedInput {
        arrived,       // the bytes that had arrived when it was retired
        last_message,  // the rest of the message in which those bytes end
        none,
    };

    void on_data(transport::Buffer& in) override;
    void on_written() override;
    void on_closed(const transport::error_code& ec) override;
    bool is_client_present() override { return !connection_->hung_up(); }
    void end_with(routing::RequestAdmission::Departure departure);
    bool may_process_message();
    bool awaits_handover() const;
    void on_incomplete_message();
    bool is_held_back() const;
    void record_memory();
    std::size_t unread_limit() const;
    void process_input();
    void update_timeout();

    ClientListener& client_listener_;
    routing::RequestAdmission& admission_;
    Limits limits_;
    std::shared_ptr<transport::Connection> connection_;
    boost::asio::steady_timer timer_;
    transport::Buffer* input_ = nullptr;  // owned by the connection
    transport::Arrivals arrivals_;        // arrival times of the bytes in `input_`
    State state_ = State::idle;
    // Position in the stream up to which answers are owed; nullopt: the listener has not retired this
    // session.
    std::optional<std::uint64_t> owed_until_;
    OwedInput owed_input_ = OwedInput::arrived;
    routing::RequestId request_id_{};
    std::size_t unread_at_timer_start_ = 0;  // bytes in `input_` when the timer was started
    std::chrono::steady_clock::time_point long_message_since_;
    std::uint64_t sent_at_timer_start_ = 0;  // bytes that the connection had sent when the timer was started
    std::uint64_t timer_generation_ = 0;     // an expiry of an earlier generation is ignored
    bool is_streaming_ = false;              // a part of a long value has been written
    bool is_processing_ = false, is_timer_running_ = false, has_progressed_ = false,
         has_received_message_ = false;
};

}  // namespace indigovane::adapters
