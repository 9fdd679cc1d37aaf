// What the operator's statements file declares: the effects of functions, operators and relations, the known
// types, and classes by shape, table or kind. The program module reads the file.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "statement/classifier.hpp"

namespace indigovane::statement {

// Assigns a class to the statements with any of the shapes, tables or kinds.
struct ClassRule {
    std::string name;  // of the class, as in the platform's settings
    std::vector<Shape> shapes;
    std::vector<std::string> tables;
    std::vector<Kind> kinds;
    std::uint32_t cost_us = 0;  // cost of a statement of this class, in microseconds; 0: not declared
    // Maximum age of the data that may be read, in microseconds. It can only shorten the bound of the
    // platform's settings. 0: not declared.
    std::uint64_t bound_us = 0;
};

class Rules : public Declarations {
  public:
    // `name` is "schema.name" or "name". A name without a schema declares what an unqualified name refers to;
    // qualified names do not match it. A function with effects in a schema also makes its unqualified name
    // suspect, because the search path may resolve to it.
    void declare_function(const std::string& name, Effect effect);
    void declare_operator(const std::string& name, Effect effect) { operators_[name] = effect; }
    void declare_relation(const std::string& name, Effect effect) { relations_[name] = effect; }
    void declare_type(const std::string& name) { types_.insert(name); }
    void add_class(ClassRule rule);

    std::optional<Effect> function_effect(std::string_view schema, std::string_view name) const override;
    std::optional<Effect> operator_effect(std::string_view schema, std::string_view name) const override;
    std::optional<Effect> relation_effect(std::string_view schema, std::string_view name) const override;
    bool has_type(std::string_view schema, std::string_view name) const override;
    bool may_have_effects(std::string_view name) const override {
        return names_with_effects_.count(std::string(name)) > 0;
    }

    const std::vector<ClassRule>& classes() const { return classes_; }
    // Index in classes() of the rule that matches: by shape, else by table, else by kind. Of several rules
    // that match in the same way the first one counts. -1: none matches.
    std::int32_t find_class(const StatementProfile& profile) const;

    RoutePolicy policy;

  private:
    std::map<std::string, Effect> functions_, operators_, relations_;
    std::unordered_set<std::string> types_, names_with_effects_;
    std::vector<ClassRule> classes_;
    std::unordered_map<Shape, std::int32_t, ShapeHash> class_by_shape_;
    std::unordered_map<std::string, std::int32_t> class_by_table_;
    std::int32_t class_by_kind_[8] = {-1, -1, -1, -1, -1, -1, -1, -1};
};

}  // namespace indigovane::statement
