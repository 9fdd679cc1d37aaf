#include "statement/rules.hpp"

namespace indigovane::statement {

namespace {

std::string qualified_name(std::string_view schema, std::string_view name) {
    return schema.empty() ? std::string(name) : std::string(schema) + "." + std::string(name);
}

std::optional<Effect> find(const std::map<std::string, Effect>& effects, std::string_view schema,
                           std::string_view name) {
    auto it = effects.find(qualified_name(schema, name));
    return it == effects.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace

void Rules::declare_function(const std::string& name, Effect effect) {
    functions_[name] = effect;
    if (effect != Effect::reads) names_with_effects_.insert(name.substr(name.rfind('.') + 1));
}

void Rules::add_class(ClassRule rule) {
    auto index = std::int32_t(classes_.size());
    for (const Shape& shape : rule.shapes) class_by_shape_.emplace(shape, index);
    for (const std::string& table : rule.tables) class_by_table_.emplace(table, index);
    for (Kind kind : rule.kinds)
        if (class_by_kind_[std::size_t(kind)] < 0) class_by_kind_[std::size_t(kind)] = index;
    classes_.push_back(std::move(rule));
}

std::optional<Effect> Rules::function_effect(std::string_view schema, std::string_view name) const {
    return find(functions_, schema, name);
}
std::optional<Effect> Rules::operator_effect(std::string_view schema, std::string_view name) const {
    return find(operators_, schema, name);
}

// An unqualified name also matches a relation that is declared with a schema, because the search path may
// resolve to it. A qualified name also matches a declaration without a schema.
std::optional<Effect> Rules::relation_effect(std::string_view schema, std::string_view name) const {
    if (auto effect = find(relations_, schema, name)) return effect;
    if (!schema.empty()) return find(relations_, {}, name);
    for (const auto& [declared, effect] : relations_)
        if (declared.size() > name.size() && declared.ends_with(name) &&
            declared[declared.size() - name.size() - 1] == '.')
            return effect;
    return std::nullopt;
}

bool Rules::has_type(std::string_view schema, std::string_view name) const {
    return types_.count(qualified_name(schema, name)) > 0;
}

std::int32_t Rules::find_class(const StatementProfile& profile) const {
    if (auto it = class_by_shape_.find(profile.shape); it != class_by_shape_.end()) return it->second;
    for (const std::string& table : profile.tables) {
        if (auto it = class_by_table_.find(table); it != class_by_table_.end()) return it->second;
        std::size_t dot = table.rfind('.');
        if (dot == std::string::npos) continue;
        if (auto it = class_by_table_.find(table.substr(dot + 1)); it != class_by_table_.end())
            return it->second;
    }
    return class_by_kind_[std::size_t(profile.kind)];
}

}  // namespace indigovane::statement
