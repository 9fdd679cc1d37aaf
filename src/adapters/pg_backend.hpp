// Members that speak PostgreSQL's protocol.
#pragma once

#include <boost/asio/io_context.hpp>

#include "routing/interfaces.hpp"

namespace indigovane::adapters {

class PgBackend : public routing::Backend {
  public:
    explicit PgBackend(boost::asio::io_context& io) : io_(io) {}
    std::shared_ptr<routing::Link> open(const std::string& endpoint, routing::Duration timeout,
                                        routing::Link::Owner& owner) override;

  private:
    boost::asio::io_context& io_;
};

}  // namespace indigovane::adapters
