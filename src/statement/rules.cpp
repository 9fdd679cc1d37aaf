#include "statement/rules.hpp"

namespace indigovane::statement {

namespace {

std::string full(std::string_view schema, std::string_view name) {
    return schema.empty() ? std::string(name) : std::string(schema) + "." + std::string(name);
}

std::optional<Effect> find(const std::map<std::string, Effect>& in, std::string_view schema,
                           std::string_view name) {
    auto it = in.find(full(schema, name));
    return it == in.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace

void Rules::declare_function(const std::string& name, Effect effect) {
    functions_[name] = effect;
    if (effect != Effect::reads) feared_.insert(name.substr(name.rfind('.') + 1));
}

void Rules::add_class(ClassRule rule) {
    auto index = std::int32_t(classes_.size());
    for (const Shape& s : rule.shapes) by_shape_.emplace(s, index);
    for (const std::string& t : rule.tables) by_table_.emplace(t, index);
    for (Kind k : rule.kinds)
        if (by_kind_[std::size_t(k)] < 0) by_kind_[std::size_t(k)] = index;
    classes_.push_back(std::move(rule));
}

std::optional<Effect> Rules::function(std::string_view schema, std::string_view name) const {
    return find(functions_, schema, name);
}
std::optional<Effect> Rules::op(std::string_view schema, std::string_view name) const {
    return find(operators_, schema, name);
}

// A relation declared with a schema is feared under its bare name too: the search path may find it.
std::optional<Effect> Rules::relation(std::string_view schema, std::string_view name) const {
    if (auto e = find(relations_, schema, name)) return e;
    if (!schema.empty()) return find(relations_, {}, name);
    for (const auto& [declared, effect] : relations_)
        if (declared.size() > name.size() && declared.ends_with(name) &&
            declared[declared.size() - name.size() - 1] == '.')
            return effect;
    return std::nullopt;
}

bool Rules::type(std::string_view schema, std::string_view name) const {
    return types_.count(full(schema, name)) > 0;
}

std::int32_t Rules::class_of(const StatementProfile& j) const {
    if (auto it = by_shape_.find(j.shape); it != by_shape_.end()) return it->second;
    for (const std::string& table : j.tables) {
        if (auto it = by_table_.find(table); it != by_table_.end()) return it->second;
        std::size_t dot = table.rfind('.');
        if (dot == std::string::npos) continue;
        if (auto it = by_table_.find(table.substr(dot + 1)); it != by_table_.end()) return it->second;
    }
    return by_kind_[std::size_t(j.kind)];
}

}  // namespace indigovane::statement
