// Log lines that record which settings are in force: what each class promises decides whether a request of it
// may be retried, and a report of an incident needs it.
#pragma once

#include "program/config.hpp"
#include "routing/interfaces.hpp"

namespace indigovane::program {

// One line a class (message id "class"), at the start and after each reload that took effect.
void log_classes(const Config& config, routing::Logger& logger);

}  // namespace indigovane::program
