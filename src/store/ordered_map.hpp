// String keys in order: a treap whose nodes are shared with snapshots and copied on the way to a change. A
// snapshot is one pointer; it sees the map as it was, for as long as it lives, and holds up nobody.
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
        root_ = put(root_, key, std::move(value), fresh);
        size_ += fresh ? 1 : 0;
    }
    bool erase(std::string_view key) {
        if (!find(key)) return false;
        root_ = erase(root_, key);
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
    static std::shared_ptr<Node> copy(const Link& n) { return std::make_shared<Node>(*n); }
    static Link put(const Link& n, std::string_view key, Value&& value, bool& fresh) {
        if (!n) {
            fresh = true;
            auto made = std::make_shared<Node>();
            made->key = key;
            made->value = std::move(value);
            made->priority = priority(key);
            return made;
        }
        auto c = copy(n);
        if (key == n->key) {
            c->value = std::move(value);
            return c;
        }
        bool left = key < n->key;
        Link child = put(left ? n->left : n->right, key, std::move(value), fresh);
        (left ? c->left : c->right) = child;
        if (child->priority <= c->priority) return c;
        auto top = copy(child);  // it rises
        (left ? c->left : c->right) = left ? top->right : top->left;
        (left ? top->right : top->left) = c;
        return top;
    }
    static Link merge(const Link& a, const Link& b) {
        if (!a) return b;
        if (!b) return a;
        if (a->priority > b->priority) {
            auto c = copy(a);
            c->right = merge(a->right, b);
            return c;
        }
        auto c = copy(b);
        c->left = merge(a, b->left);
        return c;
    }
    static Link erase(const Link& n, std::string_view key) {
        if (key == n->key) return merge(n->left, n->right);
        auto c = copy(n);
        if (key < n->key)
            c->left = erase(n->left, key);
        else
            c->right = erase(n->right, key);
        return c;
    }

    Link root_;
    std::size_t size_ = 0;
};

}  // namespace indigovane::store
