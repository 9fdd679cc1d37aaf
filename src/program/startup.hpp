// The steps of the start, in the order in which program/lifecycle.cpp calls them. All of them run before the
// event loop, except open_fronts(): if there is a predecessor, it is called once its state has arrived.
#pragma once

#include "program/services.hpp"

namespace indigovane::program {

// Divides descriptors and memory, then creates backend, core, statements and limits. Throws ConfigError if
// there are too few descriptors.
void create_core(Services& services);
void create_discovery_client(Services& services);
// Opens the store and loads what earlier processes have stored: excluded endpoints, costs of statement shapes
// and the endpoint list. Throws ConfigError if the store can't be used: a process that started without it
// would leave operators to believe that state is stored.
void restore_state(Services& services);
// Opens the link to other poolers. Serving does not depend on it: a failure is only logged.
void open_peer_link(Services& services);
// Follows the discovery service at once or, if the settings say so, when the routing policy requests it.
void follow_discovery(Services& services);
// Throws boost::system::system_error if the address can't be bound.
void open_control_front(Services& services, adapters::Operations& operations);
void open_syslog(Services& services);
// Sends each commit to the store, if there is one, and to the pooler's other process during an upgrade.
void record_commits(Services& services);

// Opens the client listeners, on a predecessor's sockets if it has sent them. Throws
// boost::system::system_error if an address can't be bound.
void open_fronts(Services& services);

}  // namespace indigovane::program
