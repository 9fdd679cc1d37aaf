// What a front must know of the classes of request to read an item from its wire.
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
    routing::Duration deadline{};
    bool write = false, session = false, needs_idempotency_key = false;
};

class Classes {
  public:
    Classes() = default;
    explicit Classes(std::vector<ClassInfo> all) : all_(std::move(all)) {}
    const ClassInfo* find(std::string_view name) const {
        for (const ClassInfo& c : all_)
            if (c.name == name) return &c;
        return nullptr;
    }

    const std::vector<ClassInfo>& all() const { return all_; }

  private:
    std::vector<ClassInfo> all_;
};

// The number of a session: the key read as hex digits, or a hash of it where it is none.
inline std::uint64_t session_number(std::string_view key) {
    std::uint64_t value = 0, hash = 14695981039346656037u;
    bool hex = !key.empty() && key.size() <= 16;
    for (char c : key) {
        int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
        hex = hex && digit >= 0;
        value = value << 4 | std::uint64_t(digit & 15);
        hash = (hash ^ std::uint8_t(c)) * 1099511628211u;
    }
    return hex ? value : hash;
}

}  // namespace indigovane::adapters
