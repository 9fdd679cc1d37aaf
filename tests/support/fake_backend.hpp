// A backend whose connections have no network: a test drives their owners itself.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "routing/interfaces.hpp"

namespace indigovane::testing {

struct FakeLink : routing::BackendConnection {
    void submit(const routing::ClientRequest&, routing::Duration, std::optional<std::int64_t>) override {
        busy = true;
    }
    void probe() override { busy = true; }
    bool may_be_reused() override { return !noisy; }
    void close() override { closed = true; }
    Owner* owner = nullptr;
    bool up = false, busy = false, closed = false, noisy = false;
    int used = 0;
};

struct FakeBackend : routing::Backend {
    std::shared_ptr<routing::BackendConnection> open(const std::string& address, routing::Duration,
                                                     routing::BackendConnection::Owner& owner) override {
        opened.push_back(address);
        links.push_back(std::make_shared<FakeLink>());
        links.back()->owner = &owner;
        return links.back();
    }
    std::vector<std::shared_ptr<FakeLink>> links;
    std::vector<std::string> opened;
};

}  // namespace indigovane::testing
