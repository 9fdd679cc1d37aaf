// Connections to database hosts that speak REST over HTTP. docs/rest.md describes the requests and responses.
#pragma once

#include <boost/asio/io_context.hpp>

#include "routing/interfaces.hpp"

namespace indigovane::adapters {

class RestBackend : public routing::Backend {
  public:
    explicit RestBackend(boost::asio::io_context& io) : io_(io) {}
    std::shared_ptr<routing::BackendConnection> open(const std::string& address, routing::Duration timeout,
                                                     routing::BackendConnection::Owner& owner) override;

  private:
    boost::asio::io_context& io_;
};

}  // namespace indigovane::adapters
