// The interfaces between the core and its adapters: connections to hosts, the fronts that clients connect to,
// request admission and the log. Nothing here depends on a wire protocol. All calls are made on the event
// loop's thread.
#pragma once

#include <memory>
#include <string>

#include "routing/types.hpp"

namespace indigovane::routing {

// A connection to a host. It carries one task at a time.
class BackendConnection {
  public:
    // How a connection ended that its owner did not close.
    enum class End {
        unreachable,  // the connection was never established
        unopened,     // this machine had no file descriptor for it, which says nothing about the host
        rejected,     // the host reported that it has no capacity
        unwritten,    // the connection broke before the last byte of its task was written
        written,      // the connection broke after that, so the task may have run
    };
    class Owner {
      public:
        virtual void on_ready(BackendConnection& connection) = 0;  // the connection is established
        virtual void on_result(BackendConnection& connection, AttemptResult result) = 0;
        // A long value of `length` bytes has started. Calls of on_piece() follow, and then on_result()
        // without rows.
        virtual void on_begun(BackendConnection& connection, const Answer& head, std::size_t length) = 0;
        // False: the owner accepts no more until it calls resume().
        virtual bool on_piece(BackendConnection& connection, std::string_view bytes) = 0;
        // No byte of the answer has come for `pause`, after some had. Called again while the pause goes on.
        // The owner closes the connection if it does not wait any longer.
        virtual void on_pause(BackendConnection& connection, Duration pause) = 0;
        virtual void on_end(BackendConnection& connection, End end) = 0;

      protected:
        ~Owner() = default;
    };

    virtual ~BackendConnection() = default;
    // Sends a request. `remaining` is how long the answer is waited for. `required_position_unix_ms` is the
    // position that the answer's data must have reached.
    virtual void submit(const ClientRequest& request, Duration remaining,
                        std::optional<std::int64_t> required_position_unix_ms) = 0;
    // Starts a health check.
    virtual void probe() = 0;
    // The owner has room for pieces of a long value again.
    virtual void resume() {}
    // Whether an idle connection is fit for another task: it is open, and no bytes that no task asked for and
    // no end of the stream have arrived on it.
    virtual bool may_be_reused() = 0;
    // Closes the connection at once. The owner is not called any more.
    virtual void close() = 0;
};

class Backend {
  public:
    virtual ~Backend() = default;
    // Starts to connect and gives up after `timeout`. The owner must outlive the connection or close it.
    virtual std::shared_ptr<BackendConnection> open(const std::string& address, Duration timeout,
                                                    BackendConnection::Owner& owner) = 0;
};

// A client connection that is handed over to another process of this program, with all of its state. The
// connection is between two requests.
struct ClientHandover {
    int socket = -1;
    char state = 0;    // the state of the front's protocol
    std::string read;  // bytes that were read from the client and are not answered yet
    std::string note;  // further state of the front, such as the user as whom the client authenticated
};

// A listener for clients that speaks one protocol.
class Front {
  public:
    virtual ~Front() = default;
    virtual void start() = 0;
    // Stops listening. Connections that the kernel has already accepted are still served.
    virtual void stop_accepting() = 0;
    // Closes connections that are between requests, now and until resume_service().
    virtual void close_idle() = 0;
    // Tells load balancers that ask to send no more clients here.
    virtual void fail_checks() = 0;
    // Undoes close_idle() and fail_checks().
    virtual void resume_service() = 0;
    virtual std::size_t connections() const = 0;
    // The number of half-closed connections whose clients have not closed their end yet.
    virtual std::size_t lingering() const { return 0; }
    // The listening socket, for the process that takes over. Both processes share it, so closing it here
    // resets no connection.
    virtual int listening_socket() = 0;
    // Passes on the connections on which no answer is owed and returns their number.
    virtual std::size_t hand_over(const std::function<void(ClientHandover)>& to) = 0;
    virtual void take_over(ClientHandover handover) = 0;
    virtual std::string name() const = 0;     // the protocol's name
    virtual std::string address() const = 0;  // where the front listens
};

// Accepts the requests of the fronts' clients.
class RequestAdmission {
  public:
    // The responder must live until the request is answered or withdrawn.
    virtual RequestId accept(ClientRequest request, Responder& responder) = 0;
    // Whether a request of that many bytes fits into the memory budget. If not, the front rejects it.
    virtual bool has_capacity(std::size_t bytes) const = 0;
    // Whether a request with that client-chosen id is pending, or may have run and must not run again. A host
    // could not tell two of them apart.
    virtual bool is_open(const std::string& id) const = 0;
    // The request's responder has room for pieces of a long value again.
    virtual void resume(RequestId id) = 0;
    enum class Departure {
        client_left,
        closed_here,  // this process has closed the connection although an answer is owed on it
    };
    // The client no longer waits for the answer. The responder is not called again.
    virtual void withdraw(RequestId id, Departure departure) = 0;

  protected:
    ~RequestAdmission() = default;
};

// The operators' log.
enum class Level { error, warning, notice, info };
class Logger {
  public:
    using Data = std::vector<std::pair<std::string, std::string>>;
    // `id` is the message id, `text` the message and `data` its structured fields.
    virtual void log(Level level, const char* id, const std::string& text, const Data& data = {}) = 0;
    // Whether a line with that message id would be written now, so that the caller can skip formatting one
    // that would be dropped. A line that is not wanted counts as dropped.
    virtual bool wants(const char*) { return true; }

  protected:
    ~Logger() = default;
};

}  // namespace indigovane::routing
