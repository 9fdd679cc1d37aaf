// The front for clients that speak PostgreSQL's protocol, version 3.
#pragma once

#include "adapters/classes.hpp"
#include "adapters/client_listener.hpp"
#include "adapters/statements.hpp"

namespace indigovane::adapters {

struct PgOptions {
    /// Time without progress for a startup packet or a message to be completed.
    std::chrono::milliseconds client_timeout{2500};
    /// Time without progress for a client that reads a long value.
    std::chrono::milliseconds read_timeout{5000};
};

class PgFront : public ClientListener {
  public:
    PgFront(boost::asio::io_context& io, const transport::ListenAt& at, std::size_t max_connections,
            const Classes& classes, PgOptions options, routing::RequestAdmission& admission,
            routing::Logger& logger, Statements* statements = nullptr)
        : ClientListener(io, at, max_connections),
          io_(io),
          classes_(classes),
          options_(options),
          admission_(admission),
          logger_(logger),
          statements_(statements) {}

    std::string name() const override { return "pg"; }
    /// Returns an id for a request whose client gives none.
    std::string next_request_id();

  protected:
    std::shared_ptr<Session> create_session() override;

  private:
    boost::asio::io_context& io_;
    const Classes& classes_;
    PgOptions options_;
    routing::RequestAdmission& admission_;
    routing::Logger& logger_;
    Statements* statements_;  // nullptr: only statements of the known forms are served
    std::uint64_t last_request_number_ = 0;
};

}  // namespace indigovane::adapters
