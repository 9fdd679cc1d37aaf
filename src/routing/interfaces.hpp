// What stands between the core and the wires.
#pragma once

#include <memory>
#include <string>

#include "routing/types.hpp"

namespace indigovane::routing {

// A connection to a member. It carries one job at a time.
class BackendConnection {
  public:
    // How a link that nobody closed came to its end.
    enum class End {
        unreachable,  // it never came up
        unopened,     // this machine had no means to open it, which says nothing of the member
        rejected,     // the member said that it has no room
        unwritten,    // it broke before the last byte of its job was written
        written,      // it broke after that: the job may have run
    };
    class Owner {
      public:
        virtual void on_ready(BackendConnection& link) = 0;  // it came up
        virtual void on_result(BackendConnection& link, AttemptResult result) = 0;
        // A long value has begun; its pieces follow, then on_result() with no rows. False: no more for now.
        virtual void on_begun(BackendConnection& link, const Answer& head, std::size_t length) = 0;
        virtual bool on_piece(BackendConnection& link, std::string_view bytes) = 0;
        virtual void on_end(BackendConnection& link, End end) = 0;

      protected:
        ~Owner() = default;
    };

    virtual ~BackendConnection() = default;
    // `remaining`: how long the answer is waited for. `needs`: the position, a Unix time in milliseconds,
    // that the answer's data must have reached.
    virtual void submit(const ClientRequest& item, Duration remaining, std::optional<std::int64_t> needs) = 0;
    virtual void probe() = 0;
    virtual void resume() {}  // there is room for pieces again
    // Nothing has come on it that no job asked for, its end neither.
    virtual bool quiet() = 0;
    virtual void close() = 0;  // at once; the owner hears nothing more
};

class Backend {
  public:
    virtual ~Backend() = default;
    // Starts to connect. The owner outlives the link, or closes it.
    virtual std::shared_ptr<BackendConnection> open(const std::string& address, Duration timeout,
                                                    BackendConnection::Owner& owner) = 0;
};

// A client's connection on its way to another process of this program: all that there is to it between
// requests.
struct ClientHandover {
    int socket = -1;
    char state = 0;    // of the front's wire
    std::string read;  // of what the client has sent, and nobody has answered
    std::string note;  // what the front knows of it beside that: as whom it came
};

// Where clients come in.
class Front {
  public:
    virtual ~Front() = default;
    virtual void start() = 0;
    virtual void stop_accepting() = 0;  // what the machine has accepted is still taken in
    virtual void close_idle() = 0;      // closes between requests, now and from now on
    virtual void refuse_checks() = 0;   // says no where it is asked whether to send clients here
    virtual void welcome() = 0;         // undoes the last two
    virtual std::size_t connections() const = 0;
    virtual std::size_t lingering() const { return 0; }  // half-closed, their clients' end yet to come
    // For the process that takes over: it listens by the same socket, so that closing it here resets nothing.
    virtual int listening_socket() = 0;
    // Gives away the connections on which nothing is owed; says how many.
    virtual std::size_t hand_over(const std::function<void(ClientHandover)>& to) = 0;
    virtual void take_over(ClientHandover handover) = 0;
    virtual std::string name() const = 0;     // of its wire
    virtual std::string address() const = 0;  // where it listens
};

// The core's side of a front.
class RequestAdmission {
  public:
    virtual RequestId accept(ClientRequest item, Responder& responder) = 0;
    // Whether an item of that many bytes may be taken in: beyond the memory's budget a front turns it away.
    virtual bool has_capacity(std::size_t bytes) const = 0;
    // Whether a request of that client's id is in hand: two of them could not be told apart by a member.
    virtual bool is_open(const std::string& id) const = 0;
    virtual void resume(RequestId id) = 0;  // its responder has room for pieces again
    // Nobody waits for the answer any more: the responder hears nothing more.
    enum class Departure {
        client_left,
        closed_here,  // this process has ended the connection, though an answer is owed on it
    };
    virtual void withdraw(RequestId id, Departure departure) = 0;

  protected:
    ~RequestAdmission() = default;
};

// Lines for the operators.
enum class Level { error, warning, notice, info };
class Logger {
  public:
    using Data = std::vector<std::pair<std::string, std::string>>;
    virtual void log(Level level, const char* id, const std::string& text, const Data& data = {}) = 0;
    // Whether a line of that kind would be written now. Saves wording one that would be left out; a line that
    // is not wanted is counted as left out.
    virtual bool wants(const char*) { return true; }

  protected:
    ~Logger() = default;
};

}  // namespace indigovane::routing
