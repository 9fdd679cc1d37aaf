// Connections to database hosts that speak REST over HTTP. docs/rest.md describes the requests and responses.
#pragma once

#include <boost/asio/io_context.hpp>

#include "adapters/answer_memory.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::adapters {

class RestBackend : public routing::Backend {
  public:
    explicit RestBackend(boost::asio::io_context& io) : io_(io) {}
    std::shared_ptr<routing::BackendConnection> open(const std::string& address, routing::Duration timeout,
                                                     routing::BackendConnection::Owner& owner) override;
    /// Limits the bytes of all answers that hosts are sending.
    void limit_answer_bytes(std::size_t bytes) { answer_memory_->set_limit(bytes); }

  private:
    boost::asio::io_context& io_;
    std::shared_ptr<AnswerMemory> answer_memory_ = std::make_shared<AnswerMemory>();
};

}  // namespace indigovane::adapters
