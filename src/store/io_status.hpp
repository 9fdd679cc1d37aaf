// The result of a file operation. This module reports all disk errors with it.
#pragma once

#include <string>
#include <system_error>
#include <utility>

namespace indigovane::store {

class [[nodiscard]] IoStatus {
  public:
    IoStatus() = default;  // success
    // `error`: an errno value. `operation`: readable description of what failed, with the call and the file.
    IoStatus(int error, std::string operation)
        : error_(error, std::generic_category()), operation_(std::move(operation)) {}

    bool ok() const { return !error_; }
    const std::error_code& error() const { return error_; }
    bool is(std::errc condition) const { return error_ == condition; }
    // "OPERATION: ERROR", or "well" on success.
    std::string text() const { return ok() ? "well" : operation_ + ": " + error_.message(); }

  private:
    std::error_code error_;
    std::string operation_;
};

}  // namespace indigovane::store
