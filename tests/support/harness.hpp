// What the network tests share, one concern a header. Everything listens on loopback ports that the system
// picks.
#pragma once

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "routing/loop_core.hpp"
#include "support/client.hpp"
#include "support/dice.hpp"
#include "support/event_loop.hpp"
#include "support/fake_backend.hpp"
#include "support/folder.hpp"
#include "support/loopback.hpp"
#include "support/null_logger.hpp"
#include "support/pg_host.hpp"
#include "support/rest_host.hpp"
#include "support/settings.hpp"
#include "support/stand_in_host.hpp"

namespace indigovane::testing {

namespace http = protocol::http;
namespace pg = protocol::pg;
using nlohmann::json;
using namespace std::chrono_literals;

}  // namespace indigovane::testing
