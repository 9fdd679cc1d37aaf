#include "program/settings_log.hpp"

namespace indigovane::program {

using policy::ClassSettings;
using policy::Consistency;
using policy::DeduplicationScope;
using policy::Idempotency;

namespace {

const char* name_of(std::optional<Consistency> consistency) {
    switch (consistency.value_or(Consistency::write)) {
        case Consistency::write:
            return "write";
        case Consistency::fresh:
            return "fresh";
        case Consistency::session:
            return "session";
        case Consistency::bounded:
            return "bounded";
        case Consistency::any:
            return "any";
    }
    return "unknown";
}

const char* name_of(std::optional<Idempotency> idempotency) {
    switch (idempotency.value_or(Idempotency::not_idempotent)) {
        case Idempotency::idempotent:
            return "safe";
        case Idempotency::idempotency_key:
            return "keyed";
        case Idempotency::not_idempotent:
            return "unsafe";
    }
    return "unknown";
}

const char* name_of(std::optional<DeduplicationScope> scope) {
    switch (scope.value_or(DeduplicationScope::group)) {
        case DeduplicationScope::all:
            return "all";
        case DeduplicationScope::zone:
            return "zone";
        case DeduplicationScope::group:
            return "group";
    }
    return "unknown";
}

std::string milliseconds(std::optional<policy::Duration> duration) {
    return std::to_string(duration.value_or(policy::Duration::zero()).count() / 1000);
}

}  // namespace

void log_classes(const Config& config, routing::Logger& logger) {
    for (const adapters::ClassInfo& info : config.classes.all()) {
        const ClassSettings& settings = config.settings.classes.at(std::size_t(info.id));
        routing::Logger::Data data{{"class", info.name},
                                   {"consistency", name_of(settings.consistency)},
                                   {"effect", name_of(settings.idempotency)},
                                   {"deadline_ms", milliseconds(settings.deadline)}};
        if (settings.idempotency == Idempotency::idempotency_key) {
            data.push_back({"repeat_scope", name_of(settings.deduplication_scope)});
            data.push_back({"repeat_window_ms", milliseconds(settings.deduplication_window)});
        }
        logger.log(routing::Level::notice, "class", "class settings in force", data);
    }
}

}  // namespace indigovane::program
