// Several real processes of the program on loopback, stand-in hosts, and relays between them that inject
// scripted faults. No result depends on the clock: what is waited for happens, or the test fails.
#pragma once

#include "processes/datagram_relay.hpp"
#include "processes/poolers.hpp"
#include "processes/process.hpp"
#include "support/harness.hpp"
#include "transport/socket_address.hpp"
