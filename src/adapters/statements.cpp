#include "adapters/statements.hpp"

namespace indigovane::adapters {

using namespace statement;

namespace {
constexpr std::size_t kKnown = 2048, kKnownText = 160;
}

Statements::Statements(Rules rules, Judge::Options judge, StatementOptions options)
    : judge_(std::move(rules), judge), options_(std::move(options)) {}

void Statements::set(Rules rules, StatementOptions options) {
    judge_.set_rules(std::move(rules));
    options_ = std::move(options);
    known_.clear();
    order_.clear();
}

const Judgement& Statements::judge(std::string_view sql, routing::Time now) {
    const Judgement& j = judge_.judge(sql, Judge::Time(now.time_since_epoch()));
    if (judge_.counts().parsed != parsed_) {
        parsed_ = judge_.counts().parsed;
        remember(j, judge_.scanner().text());
    }
    return j;
}

void Statements::remember(const Judgement& j, std::string_view canonical) {
    auto [it, fresh] = known_.try_emplace(j.shape);
    if (!fresh) return;
    it->second.text = printable(canonical, kKnownText);
    it->second.kind = j.kind;
    if (j.cls >= 0) it->second.cls = judge_.rules().classes()[std::size_t(j.cls)].name;
    order_.push_front(j.shape);
    if (order_.size() > kKnown) {
        known_.erase(order_.back());
        order_.pop_back();
    }
}

const Statements::Known* Statements::known(const Shape& shape) const {
    auto it = known_.find(shape);
    return it == known_.end() ? nullptr : &it->second;
}

const ClassInfo* Statements::choose(const Classes& classes, std::optional<std::string_view> named,
                                    const Judgement& j, std::string& why) const {
    const ClassInfo* cls = nullptr;
    std::string ruled = j.cls >= 0 ? judge_.rules().classes()[std::size_t(j.cls)].name : std::string();
    if (named) {
        cls = classes.find(*named);
        if (!cls) {
            why = "class '" + std::string(named->substr(0, 64)) + "' is unknown";
            return nullptr;
        }
    } else {
        if (!ruled.empty()) cls = classes.find(ruled);
        if (!cls && j.route == Route::replica) cls = classes.find(options_.read_class);
    }
    if (j.route == Route::replica) {
        if (!cls) why = "the statement has no class: none is named (c), ruled or set (read_class)";
        return cls;
    }
    // It must reach the primary. Only a class of writes does that for certain.
    if (cls && cls->write) return cls;
    const std::string& fallback = j.kind == Kind::read && !options_.primary_class.empty()
                                      ? options_.primary_class
                                      : options_.write_class;
    const ClassInfo* safe = classes.find(fallback);
    if (safe && safe->write) return safe;
    why = std::string("it must go to the primary (") + j.reason + "), and " +
          (cls ? "class '" + cls->name + "' does not" : "it has no class that does");
    return nullptr;
}

Shape fixed_shape(routing::Item::Verb verb) {
    using Verb = routing::Item::Verb;
    auto shape = [](const char* sql) {
        Scanner s;
        s.scan(sql);
        return shape_of(s.text());
    };
    static const Shape lookup = shape("SELECT content FROM kv WHERE name = ''");
    static const Shape write = shape("INSERT INTO kv (name, content) VALUES ('', '') RETURNING content");
    static const Shape page = shape("SELECT name, content FROM kv WHERE name > '' ORDER BY name LIMIT 1");
    return verb == Verb::lookup ? lookup : verb == Verb::write ? write : verb == Verb::page ? page : Shape{};
}

}  // namespace indigovane::adapters
