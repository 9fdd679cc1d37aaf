// What the operator's file declares of statements: functions, operators, relations, types, and classes by
// shape, table or kind. Reading the file is program's concern; this is what it amounts to.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "statement/classifier.hpp"

namespace indigovane::statement {

struct ClassRule {
    std::string name;  // as the platform's settings have it
    std::vector<Shape> shapes;
    std::vector<std::string> tables;
    std::vector<Kind> kinds;
    std::uint32_t cost_us = 0;   // of a statement that it matches; 0: not declared
    std::uint64_t bound_us = 0;  // oldest data; only ever tightens what the settings say; 0: not declared
};

class Rules : public Declarations {
  public:
    // "schema.name" or "name". A name without a schema stands for what the search path finds, and for no
    // qualified one; an effect of one with a schema is feared of the bare name too.
    void declare_function(const std::string& name, Effect effect);
    void declare_operator(const std::string& name, Effect effect) { operators_[name] = effect; }
    void declare_relation(const std::string& name, Effect effect) { relations_[name] = effect; }
    void declare_type(const std::string& name) { types_.insert(name); }
    void add_class(ClassRule rule);

    std::optional<Effect> function(std::string_view schema, std::string_view name) const override;
    std::optional<Effect> op(std::string_view schema, std::string_view name) const override;
    std::optional<Effect> relation(std::string_view schema, std::string_view name) const override;
    bool type(std::string_view schema, std::string_view name) const override;
    bool any_effect(std::string_view name) const override { return feared_.count(std::string(name)) > 0; }

    const std::vector<ClassRule>& classes() const { return classes_; }
    // The rule that a judgement falls under: by shape before table before kind, the first of each. -1: none.
    std::int32_t class_of(const StatementProfile& j) const;

    Policy policy;

  private:
    std::map<std::string, Effect> functions_, operators_, relations_;
    std::unordered_set<std::string> types_, feared_;
    std::vector<ClassRule> classes_;
    std::unordered_map<Shape, std::int32_t, ShapeHash> by_shape_;
    std::unordered_map<std::string, std::int32_t> by_table_;
    std::int32_t by_kind_[8] = {-1, -1, -1, -1, -1, -1, -1, -1};
};

}  // namespace indigovane::statement
