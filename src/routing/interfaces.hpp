// The interfaces between the core and the adapters: connections to hosts, fronts where clients come in, and
// the log. Adapters implement or call them; no wire is known here. All calls come from the loop's thread.
#pragma once

#include <memory>
#include <string>

#include "routing/types.hpp"

namespace indigovane::routing {

// A connection to a host. It carries one task at a time.
class BackendConnection {
  public:
    // How a connection that nobody closed came to its end.
    enum class End {
        unreachable,  // it was never established
        unopened,     // this machine had no descriptor for it, which says nothing of the host
        rejected,     // the host said that it has no capacity
        unwritten,    // it broke before the last byte of its task was written
        written,      // it broke after that: the task may have run
    };
    class Owner {
      public:
        virtual void on_ready(BackendConnection& connection) = 0;  // it is established
        virtual void on_result(BackendConnection& connection, AttemptResult result) = 0;
        // A long value has begun; its pieces follow, then on_result() with no rows.
        virtual void on_begun(BackendConnection& connection, const Answer& head, std::size_t length) = 0;
        // False: no more for now.
        virtual bool on_piece(BackendConnection& connection, std::string_view bytes) = 0;
        virtual void on_end(BackendConnection& connection, End end) = 0;

      protected:
        ~Owner() = default;
    };

    virtual ~BackendConnection() = default;
    // `remaining`: how long the answer is waited for. `needs`: the position, a Unix time in milliseconds,
    // that the answer's data must have reached.
    virtual void submit(const ClientRequest& request, Duration remaining,
                        std::optional<std::int64_t> needs) = 0;
    // Starts a health check.
    virtual void probe() = 0;
    // There is room for pieces again.
    virtual void resume() {}
    // Whether nothing has come on it that no task asked for, its end neither.
    virtual bool may_be_reused() = 0;
    // At once; the owner is not called any more.
    virtual void close() = 0;
};

class Backend {
  public:
    virtual ~Backend() = default;
    // Starts to connect; gives up after `timeout`. The owner outlives the connection, or closes it.
    virtual std::shared_ptr<BackendConnection> open(const std::string& address, Duration timeout,
                                                    BackendConnection::Owner& owner) = 0;
};

// A client's connection on its way to another process of this program: all of its state between requests.
struct ClientHandover {
    int socket = -1;
    char state = 0;    // of the front's wire
    std::string read;  // what the client has sent that is not answered
    std::string note;  // what the front knows beside that: as whom the client authenticated
};

// Where clients come in.
class Front {
  public:
    virtual ~Front() = default;
    virtual void start() = 0;
    // Connections that the kernel has accepted are still taken in.
    virtual void stop_accepting() = 0;
    // Closes connections between requests, now and from now on.
    virtual void close_idle() = 0;
    // Answers no where a load balancer asks whether to send clients here.
    virtual void fail_checks() = 0;
    // Undoes close_idle() and fail_checks().
    virtual void resume_service() = 0;
    virtual std::size_t connections() const = 0;
    // Half-closed connections, whose clients' end is yet to come.
    virtual std::size_t lingering() const { return 0; }
    // For the process that takes over: it listens by the same socket, so that closing it here resets nothing.
    virtual int listening_socket() = 0;
    // Gives away the connections on which nothing is owed; returns how many.
    virtual std::size_t hand_over(const std::function<void(ClientHandover)>& to) = 0;
    virtual void take_over(ClientHandover handover) = 0;
    virtual std::string name() const = 0;     // of its wire
    virtual std::string address() const = 0;  // where it listens
};

// Where a front hands its clients' requests in.
class RequestAdmission {
  public:
    // The responder must live until it is answered or the request withdrawn.
    virtual RequestId accept(ClientRequest request, Responder& responder) = 0;
    // Whether a request of that many bytes may be taken in: beyond the memory budget a front rejects it.
    virtual bool has_capacity(std::size_t bytes) const = 0;
    // Whether a request of that client's id is pending: a host could not tell two of them apart.
    virtual bool is_open(const std::string& id) const = 0;
    // Its responder has room for pieces again.
    virtual void resume(RequestId id) = 0;
    enum class Departure {
        client_left,
        closed_here,  // this process has ended the connection, though an answer is owed on it
    };
    // Nobody waits for the answer any more: the responder is not called again.
    virtual void withdraw(RequestId id, Departure departure) = 0;

  protected:
    ~RequestAdmission() = default;
};

// The operators' log.
enum class Level { error, warning, notice, info };
class Logger {
  public:
    using Data = std::vector<std::pair<std::string, std::string>>;
    virtual void log(Level level, const char* id, const std::string& text, const Data& data = {}) = 0;
    // Whether a line of that message id would be written now. Saves wording one that would be left out; a
    // line that is not wanted is counted as left out.
    virtual bool wants(const char*) { return true; }

  protected:
    ~Logger() = default;
};

}  // namespace indigovane::routing
