// Clients that ask by paged REST.
//
//   GET /v1/clusters/{cluster}/kv?class=C[&session=K][&tenant=T][&prefix=P][&limit=N][&cursor=X][&wait_ms=W]
//   GET /v1/clusters/{cluster}/kv/{name}?class=C[&session=K][&tenant=T][&wait_ms=W]
//   GET /health
#pragma once

#include "adapters/classes.hpp"
#include "adapters/client_listener.hpp"

namespace indigovane::adapters {

struct RestOptions {
    std::uint32_t page_size = 50, page_size_most = 500;
    std::chrono::milliseconds half_request{1500};  // for a first request to come, and for one to end
};

class RestFront : public ClientListener {
  public:
    RestFront(boost::asio::io_context& io, const transport::ListenAt& at, std::size_t most,
              const Classes& classes, RestOptions options, routing::RequestAdmission& admission,
              routing::Logger& logger)
        : ClientListener(io, at, most),
          io_(io),
          classes_(classes),
          options_(options),
          admission_(admission),
          logger_(logger) {}

    const Classes& classes() const { return classes_; }
    const RestOptions& options() const { return options_; }
    routing::Logger& logger() { return logger_; }
    std::string next_id();  // of a request that names none

    std::string name() const override { return "rest"; }

  protected:
    std::shared_ptr<Session> open() override;

  private:
    boost::asio::io_context& io_;
    const Classes& classes_;
    RestOptions options_;
    routing::RequestAdmission& admission_;
    routing::Logger& logger_;
    std::uint64_t ids_ = 0;
};

}  // namespace indigovane::adapters
