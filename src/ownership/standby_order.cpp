#include "ownership/standby_order.hpp"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace indigovane::ownership {

namespace {
struct WeightedMember {
    std::uint64_t weight = 0;
    NodeId node{};
};

std::uint64_t rendezvous_weight(LeaseId lease, NodeId node) {
    std::uint64_t key[2] = {std::uint64_t(lease), std::uint64_t(node)};
    return XXH3_64bits(key, sizeof key);
}
}  // namespace

LeaseId lease_id(std::string_view name) {
    return LeaseId{XXH3_64bits(name.data(), name.size())};
}

std::vector<NodeId> standby_order(LeaseId lease, const std::vector<NodeId>& members, std::size_t count) {
    std::vector<WeightedMember> weighted;
    weighted.reserve(members.size());
    for (NodeId node : members) weighted.push_back({rendezvous_weight(lease, node), node});
    auto first = std::ptrdiff_t(std::min(count, weighted.size()));
    std::partial_sort(weighted.begin(), weighted.begin() + first, weighted.end(),
                      [](const WeightedMember& a, const WeightedMember& b) {
                          return a.weight != b.weight ? a.weight > b.weight : a.node < b.node;
                      });
    std::vector<NodeId> order;
    for (std::ptrdiff_t i = 0; i < first; ++i) order.push_back(weighted[std::size_t(i)].node);
    return order;
}

}  // namespace indigovane::ownership
