// Logs the settings in force. The guarantees of each class decide whether its requests may be retried;
// reports of incidents need them.
#pragma once

#include "program/config.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::program {

// Logs one line for each class (message id "class"). Called at the start and after each successful reload.
void log_classes(const Config& config, routing::Logger& logger);

}  // namespace indigovane::program
