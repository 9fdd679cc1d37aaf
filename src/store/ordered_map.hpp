// String keys in order: a treap whose nodes are shared with snapshots and copied on the way to a change,
// where a snapshot holds them. A snapshot is one pointer; it sees the map as it was, for as long as it lives,
// and holds up nobody.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace indigovane::store {

class OrderedMap {
  public:
    struct Value {
        std::string bytes;
        std::uint64_t sequence = 0, expires_ms = 0;
    };
    const Value* find(std::string_view key) const {
        const Node* n = root_.get();
        while (n) {
            if (key == n->key) return &n->value;
            n = key < n->key ? n->left.get() : n->right.get();
        }
        return nullptr;
    }
    void put(std::string_view key, Value value) {
        bool fresh = false;
        put(root_, true, key, std::move(value), fresh);
        size_ += fresh ? 1 : 0;
    }
    bool erase(std::string_view key) {
        if (!find(key)) return false;
        erase(root_, true, key);
        --size_;
        return true;
    }
    std::size_t size() const { return size_; }

    template <typename F>
    void each(F&& f) const {
        Snapshot{root_}.each(f);
    }

  private:
    struct Node;
    using Link = std::shared_ptr<const Node>;
    struct Node {
        std::string key;
        Value value;
        std::uint64_t priority = 0;
        Link left, right;
    };

  public:
    struct Snapshot {
        Link root;
        template <typename F>
        void each(F&& f) const {  // in order of keys
            std::vector<const Node*> path;
            const Node* n = root.get();
            while (n || !path.empty()) {
                for (; n; n = n->left.get()) path.push_back(n);
                n = path.back();
                path.pop_back();
                f(std::string_view(n->key), n->value);
                n = n->right.get();
            }
        }
    };
    Snapshot snapshot() const { return {root_}; }

  private:
    static std::uint64_t priority(
        std::string_view key) {  // by the key alone: the same tree for the same keys
        std::uint64_t h = 0xcbf29ce484222325u;
        for (char c : key) h = (h ^ std::uint8_t(c)) * 0x100000001b3u;
        h ^= h >> 29;
        return h * 0xbf58476d1ce4e5b9u;
    }
    // The node itself where nobody else holds it, nor anything above it; else a copy in its place.
    static Node& own(Link& n, bool& alone) {
        alone = alone && n.use_count() == 1;
        if (!alone) n = std::make_shared<Node>(*n);
        return const_cast<Node&>(*n);
    }
    static void put(Link& n, bool alone, std::string_view key, Value&& value, bool& fresh) {
        if (!n) {
            fresh = true;
            auto made = std::make_shared<Node>();
            made->key = key;
            made->value = std::move(value);
            made->priority = priority(key);
            n = std::move(made);
            return;
        }
        Node& node = own(n, alone);
        if (key == node.key) {
            node.value = std::move(value);
            return;
        }
        bool left = key < node.key;
        Link& child = left ? node.left : node.right;
        put(child, alone, key, std::move(value), fresh);
        if (child->priority <= node.priority) return;
        Link top = std::move(child);  // it rises; it is ours, since it has just been changed or made
        Node& risen = const_cast<Node&>(*top);
        child = std::move(left ? risen.right : risen.left);
        (left ? risen.right : risen.left) = std::move(n);
        n = std::move(top);
    }
    static Link merge(Link a, Link b, bool alone) {
        if (!a) return b;
        if (!b) return a;
        bool first = a->priority > b->priority;
        Link& top = first ? a : b;
        bool mine = alone;
        Node& node = own(top, mine);
        if (first)
            node.right = merge(std::move(node.right), std::move(b), mine);
        else
            node.left = merge(std::move(a), std::move(node.left), mine);
        return std::move(top);
    }
    static void erase(Link& n, bool alone, std::string_view key) {
        Node& node = own(n, alone);
        if (key == node.key) {
            n = merge(node.left, node.right, false);
            return;
        }
        erase(key < node.key ? node.left : node.right, alone, key);
    }

    Link root_;
    std::size_t size_ = 0;
};

}  // namespace indigovane::store
