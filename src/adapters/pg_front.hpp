// Clients that speak PostgreSQL's protocol.
#pragma once

#include "adapters/classes.hpp"
#include "adapters/client_listener.hpp"
#include "adapters/statements.hpp"

namespace indigovane::adapters {

struct PgOptions {
    std::chrono::milliseconds client_timeout{2500};  // with a startup or a message that does not end
    std::chrono::milliseconds reading{5000};         // with a long value that is not read
};

class PgFront : public ClientListener {
  public:
    PgFront(boost::asio::io_context& io, const transport::ListenAt& at, std::size_t most,
            const Classes& classes, PgOptions options, routing::RequestAdmission& admission,
            routing::Logger& logger, Statements* statements = nullptr)
        : ClientListener(io, at, most),
          io_(io),
          classes_(classes),
          options_(options),
          admission_(admission),
          logger_(logger),
          statements_(statements) {}

    std::string name() const override { return "pg"; }
    std::string next_id();  // of a request that names none

  protected:
    std::shared_ptr<Session> open() override;

  private:
    boost::asio::io_context& io_;
    const Classes& classes_;
    PgOptions options_;
    routing::RequestAdmission& admission_;
    routing::Logger& logger_;
    Statements* statements_;  // none: only the known forms are served
    std::uint64_t ids_ = 0;
};

}  // namespace indigovane::adapters
