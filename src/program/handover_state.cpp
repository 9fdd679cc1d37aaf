#include "program/handover_state.hpp"

namespace indigovane::program {

std::vector<std::pair<std::string, int>> HandoverState::listening_sockets() {
    std::vector<std::pair<std::string, int>> sockets;
    for (auto& front : services_.fronts) sockets.emplace_back(front->name(), front->listening_socket());
    return sockets;
}

void HandoverState::inherit_socket(const std::string& front, transport::Descriptor socket) {
    services_.inherited_sockets[front] = std::move(socket);
}

void HandoverState::inherit_tokens(policy::SessionTokens tokens) {
    if (services_.persistent_state) services_.persistent_state->inherit(tokens);
    services_.core->take_over(std::move(tokens));
}

void HandoverState::inherit_readmission(const std::string& uid, routing::Time at) {
    services_.core->merge_readmission(uid, at);
}

// A client of a front that this process doesn't have is closed.
void HandoverState::inherit_client(const std::string& front_name, routing::ClientHandover client) {
    for (auto& front : services_.fronts)
        if (front->name() == front_name) return front->take_over(std::move(client));
    transport::Descriptor closed(client.socket);
}

// Two processes count as one pooler: each has half of its resources while there are two.
void HandoverState::on_process_change() {
    bool shared = services_.process_handover->another_process();
    std::size_t processes = shared ? 2 : 1;
    services_.core->limit(services_.budget.core.max_connections / processes,
                          services_.budget.core.max_request_bytes / processes);
    services_.apply_shared_limits();
    services_.log.log(routing::Level::notice, "handover",
                      shared ? "another process serves as well" : "this process serves alone", {});
    if (!shared) shutdown_.on_successor_lost();
}

}  // namespace indigovane::program
