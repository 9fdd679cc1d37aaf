#include "routing/retry_rule.hpp"

namespace indigovane::routing {

RetryRule RetryRule::of(const policy::Settings& settings, ClassId request_class) {
    RetryRule rule;
    if (std::size_t(request_class) >= settings.classes.size()) return rule;
    const policy::ClassSettings& class_settings = settings.classes[std::size_t(request_class)];
    rule.idempotency = class_settings.idempotency.value_or(rule.idempotency);
    rule.scope = class_settings.deduplication_scope.value_or(rule.scope);
    rule.window = class_settings.deduplication_window.value_or(rule.window);
    return rule;
}

}  // namespace indigovane::routing
