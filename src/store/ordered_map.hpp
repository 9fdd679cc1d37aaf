// OrderedMap: a map with ordered string keys and cheap snapshots. It is a treap (Seidel and Aragon, 1996)
// whose nodes are shared with snapshots; a change copies the nodes on its path that a snapshot refers to. A
// snapshot is one pointer, shows the map as it was when the snapshot was taken, and blocks no other user. The
// map is used by one thread; a snapshot may be read by another.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace indigovane::store {

class OrderedMap {
  private:
    struct Node;
    using Link = std::shared_ptr<const Node>;

  public:
    struct Value {
        std::string bytes;
        std::uint64_t sequence = 0;    // sequence number of its record
        std::uint64_t expires_ms = 0;  // Unix time in milliseconds; 0 means never
    };

    // Returns null if the key does not exist. The pointer is valid until the next change.
    const Value* find(std::string_view key) const {
        const Node* node = root_.get();
        while (node) {
            if (key == node->key) return &node->value;
            node = key < node->key ? node->left.get() : node->right.get();
        }
        return nullptr;
    }
    void put(std::string_view key, Value value) {
        bool inserted = false;
        put(root_, true, key, std::move(value), inserted);
        size_ += inserted ? 1 : 0;
    }
    // Returns whether the key existed.
    bool erase(std::string_view key) {
        if (!find(key)) return false;
        erase(root_, true, key);
        --size_;
        return true;
    }
    std::size_t size() const { return size_; }

    class Snapshot {
      public:
        Snapshot() = default;
        // Calls visit(key, value) in the order of keys.
        template <typename Visitor>
        void each(Visitor&& visit) const {
            std::vector<const Node*> path;
            const Node* node = root_.get();
            while (node || !path.empty()) {
                for (; node; node = node->left.get()) path.push_back(node);
                node = path.back();
                path.pop_back();
                visit(std::string_view(node->key), node->value);
                node = node->right.get();
            }
        }

      private:
        friend class OrderedMap;
        explicit Snapshot(Link root) : root_(std::move(root)) {}
        Link root_;
    };
    Snapshot snapshot() const { return Snapshot(root_); }

    template <typename Visitor>
    void each(Visitor&& visit) const {
        snapshot().each(visit);
    }

  private:
    struct Node {
        std::string key;
        Value value;
        std::uint64_t priority = 0;
        Link left;
        Link right;
    };

    // Depends only on the key, so that the same keys give the same tree. FNV-1a with additional mixing.
    static std::uint64_t priority(std::string_view key) {
        std::uint64_t hash = 0xcbf29ce484222325u;
        for (char c : key) hash = (hash ^ std::uint8_t(c)) * 0x100000001b3u;
        hash ^= hash >> 29;
        return hash * 0xbf58476d1ce4e5b9u;
    }
    // Returns the node itself if no snapshot refers to it or to a node above it (`is_exclusive`). Otherwise
    // replaces it with a copy and returns the copy.
    static Node& writable(Link& link, bool& is_exclusive) {
        is_exclusive = is_exclusive && link.use_count() == 1;
        if (!is_exclusive) link = std::make_shared<Node>(*link);
        return const_cast<Node&>(*link);
    }
    static Link make_node(std::string_view key, Value&& value) {
        auto node = std::make_shared<Node>();
        node->key = key;
        node->value = std::move(value);
        node->priority = priority(key);
        return node;
    }
    static void put(Link& link, bool is_exclusive, std::string_view key, Value&& value, bool& inserted) {
        if (!link) {
            inserted = true;
            link = make_node(key, std::move(value));
            return;
        }
        Node& node = writable(link, is_exclusive);
        if (key == node.key) {
            node.value = std::move(value);
            return;
        }
        bool is_left = key < node.key;
        Link& child = is_left ? node.left : node.right;
        put(child, is_exclusive, key, std::move(value), inserted);
        if (child->priority > node.priority) rotate(link, node, is_left);
    }
    // Replaces `node` by its left or right child, which becomes its parent. The child has just been changed
    // or created, so no snapshot refers to it.
    static void rotate(Link& link, Node& node, bool is_left) {
        Link& child = is_left ? node.left : node.right;
        Link top = std::move(child);
        Node& new_parent = const_cast<Node&>(*top);
        Link& inner_subtree = is_left ? new_parent.right : new_parent.left;
        child = std::move(inner_subtree);
        inner_subtree = std::move(link);
        link = std::move(top);
    }
    static Link merge(Link left, Link right, bool is_exclusive) {
        if (!left) return right;
        if (!right) return left;
        bool is_left_on_top = left->priority > right->priority;
        Link& top = is_left_on_top ? left : right;
        Node& node = writable(top, is_exclusive);
        if (is_left_on_top)
            node.right = merge(std::move(node.right), std::move(right), is_exclusive);
        else
            node.left = merge(std::move(left), std::move(node.left), is_exclusive);
        return std::move(top);
    }
    static void erase(Link& link, bool is_exclusive, std::string_view key) {
        Node& node = writable(link, is_exclusive);
        if (key == node.key) {
            link = merge(node.left, node.right, false);
            return;
        }
        erase(key < node.key ? node.left : node.right, is_exclusive, key);
    }

    Link root_;
    std::size_t size_ = 0;
};

}  // namespace indigovane::store
