#include "program/services.hpp"

#include <cstdlib>

namespace indigovane::program {

Services::Services(const Config& configuration, Log& logger)
    : config(configuration),
      log(logger),
      phases(logger),
      excluded_endpoints(scratch_folder(), configuration.name) {}

routing::RequestAdmission& Services::admission() {
    if (limited_admission) return *limited_admission;
    return *core;
}

limits::Settings Services::shared_limits() const {
    limits::Settings limits = config.statements->limits;
    if (process_handover->has_other_process()) limits.work /= 2;
    return limits;
}

void Services::apply_shared_limits() {
    if (limited_admission) limited_admission->set(shared_limits());
}

std::string scratch_folder() {
    const char* folder = std::getenv("TMPDIR");
    return folder ? folder : "";
}

adapters::StatementOptions statement_options(const StatementConfig& config) {
    return {config.open, config.group, config.read_class, config.primary_class, config.write_class};
}

std::string address_text(const transport::SocketAddress& socket_address) {
    return socket_address.address().to_string() + ":" + std::to_string(socket_address.port());
}

}  // namespace indigovane::program
