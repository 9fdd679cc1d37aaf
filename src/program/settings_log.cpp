#include "program/settings_log.hpp"

namespace indigovane::program {

using starlingpond::ClassSettings;
using starlingpond::Consistency;
using starlingpond::Effect;
using starlingpond::RepeatScope;

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

const char* name_of(std::optional<Effect> effect) {
    switch (effect.value_or(Effect::unsafe)) {
        case Effect::safe:
            return "safe";
        case Effect::keyed:
            return "keyed";
        case Effect::unsafe:
            return "unsafe";
    }
    return "unknown";
}

const char* name_of(std::optional<RepeatScope> scope) {
    switch (scope.value_or(RepeatScope::group)) {
        case RepeatScope::all:
            return "all";
        case RepeatScope::zone:
            return "zone";
        case RepeatScope::group:
            return "group";
    }
    return "unknown";
}

std::string milliseconds(std::optional<starlingpond::Duration> d) {
    return std::to_string(d.value_or(starlingpond::Duration::zero()).count() / 1000);
}

}  // namespace

void log_classes(const Config& config, routing::Logger& logger) {
    for (const adapters::ClassInfo& info : config.classes.all()) {
        const ClassSettings& c = config.settings.classes.at(std::size_t(info.id));
        routing::Logger::Data data{{"class", info.name},
                                   {"consistency", name_of(c.consistency)},
                                   {"effect", name_of(c.effect)},
                                   {"deadline_ms", milliseconds(c.deadline)}};
        if (c.effect == Effect::keyed) {
            data.push_back({"repeat_scope", name_of(c.repeat_scope)});
            data.push_back({"repeat_window_ms", milliseconds(c.repeat_window)});
        }
        logger.log(routing::Level::notice, "class", "settings in force", data);
    }
}

}  // namespace indigovane::program
