// The front for clients that read rows and pages of rows by HTTP.
//
//   GET /v1/clusters/{cluster}/kv?class=C[&session=K][&tenant=T][&prefix=P][&limit=N][&cursor=X][&wait_ms=W]
//   GET /v1/clusters/{cluster}/kv/{name}?class=C[&session=K][&tenant=T][&wait_ms=W]
//   GET /health
#pragma once

#include "adapters/classes.hpp"
#include "adapters/client_listener.hpp"

namespace indigovane::adapters {

struct RestOptions {
    /// Rows of a page without a `limit`, and the largest `limit` accepted.
    std::uint32_t page_size = 50, max_page_size = 500;
    /// Time without progress for a first request to arrive and for a request to be completed.
    std::chrono::milliseconds request_timeout{1500};
};

class RestFront : public ClientListener {
  public:
    RestFront(boost::asio::io_context& io, const transport::ListenAt& at, std::size_t max_connections,
              const Classes& classes, RestOptions options, routing::RequestAdmission& admission,
              routing::Logger& logger)
        : ClientListener(io, at, max_connections),
          io_(io),
          classes_(classes),
          options_(options),
          admission_(admission),
          logger_(logger) {}

    const Classes& classes() const { return classes_; }
    const RestOptions& options() const { return options_; }
    routing::Logger& logger() { return logger_; }
    /// Returns an id for a request whose client gives none.
    std::string next_request_id();

    std::string name() const override { return "rest"; }

  protected:
    std::shared_ptr<Session> create_session() override;

  private:
    boost::asio::io_context& io_;
    const Classes& classes_;
    RestOptions options_;
    routing::RequestAdmission& admission_;
    routing::Logger& logger_;
    std::uint64_t last_request_number_ = 0;
};

}  // namespace indigovane::adapters
