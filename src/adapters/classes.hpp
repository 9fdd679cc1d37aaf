// What a front needs to know about the request classes to read a client's request.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "routing/types.hpp"

namespace indigovane::adapters {

struct ClassInfo {
    std::string name;
    routing::ClassId id{};
    routing::Duration deadline{};  ///< Timeout of a request whose client names none.
    /// With `has_session_consistency` its reads see the writes of their own session.
    bool is_write = false, has_session_consistency = false, needs_idempotency_key = false;
};

class Classes {
  public:
    Classes() = default;
    explicit Classes(std::vector<ClassInfo> classes) : classes_(std::move(classes)) {}
    /// Returns nullptr if no class has that name.
    const ClassInfo* find(std::string_view name) const {
        for (const ClassInfo& info : classes_)
            if (info.name == name) return &info;
        return nullptr;
    }

    const std::vector<ClassInfo>& all() const { return classes_; }

  private:
    std::vector<ClassInfo> classes_;
};

/// Returns the number of a session: its key as a hexadecimal number if it consists of 1 to 16 lower-case
/// digits, otherwise the key's FNV-1a hash.
inline std::uint64_t session_number(std::string_view key) {
    std::uint64_t value = 0, hash = 14695981039346656037u;
    bool is_hex = !key.empty() && key.size() <= 16;
    for (char c : key) {
        int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
        is_hex = is_hex && digit >= 0;
        value = value << 4 | std::uint64_t(digit & 15);
        hash = (hash ^ std::uint8_t(c)) * 1099511628211u;
    }
    return is_hex ? value : hash;
}

}  // namespace indigovane::adapters
