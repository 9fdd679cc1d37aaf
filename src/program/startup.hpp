// The steps of the start, in the order in which program/lifecycle.cpp calls them. All of them run before the
// loop does, except open_fronts(), which waits for a predecessor's state where there is one.
#pragma once

#include "program/services.hpp"

namespace indigovane::program {

// Divides descriptors and memory; then backend, core, statements and limits. Throws ConfigError where the
// descriptors don't suffice.
void create_core(Services& services);
void create_discovery_client(Services& services);
// What earlier processes have left: the store, excluded endpoints, cost of statement shapes, the endpoint
// list. Throws ConfigError where the store can't be used: rather no start than operators who believe in it.
void restore_state(Services& services);
// Serving does not depend on the peer link: where it can't be opened, the log says so.
void open_peer_link(Services& services);
// Follows the discovery service at once, or once the policy requests it, as the settings say.
void follow_discovery(Services& services);
// Throws boost::system::system_error where the address can't be bound.
void open_control_front(Services& services, adapters::Operations& operations);
void open_syslog(Services& services);
// Each commit goes to the store and to the other process, where there are such.
void record_commits(Services& services);

// Clients' listeners; on inherited sockets, where a predecessor has sent them. Throws
// boost::system::system_error where an address can't be bound.
void open_fronts(Services& services);

}  // namespace indigovane::program
