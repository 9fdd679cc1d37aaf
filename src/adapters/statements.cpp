#include "adapters/statements.hpp"

namespace indigovane::adapters {

using namespace statement;

namespace {
constexpr std::size_t kKnown = 2048, kKnownText = 160;
}

Statements::Statements(Rules rules, StatementAnalyzer::Options analyzer_options, StatementOptions options)
    : analyzer_(std::move(rules), analyzer_options), options_(std::move(options)) {}

void Statements::set(Rules rules, StatementOptions options) {
    analyzer_.set_rules(std::move(rules));
    options_ = std::move(options);
    known_.clear();
    order_.clear();
}

const StatementProfile& Statements::analyze(std::string_view sql, routing::Time now) {
    const StatementProfile& j = analyzer_.analyze(sql, StatementAnalyzer::Time(now.time_since_epoch()));
    if (analyzer_.counts().parsed != parsed_) {
        parsed_ = analyzer_.counts().parsed;
        remember(j, analyzer_.scanner().text());
    }
    return j;
}

void Statements::remember(const StatementProfile& j, std::string_view canonical) {
    auto [it, fresh] = known_.try_emplace(j.shape);
    if (!fresh) return;
    it->second.text = printable(canonical, kKnownText);
    it->second.kind = j.kind;
    if (j.request_class >= 0)
        it->second.request_class = analyzer_.rules().classes()[std::size_t(j.request_class)].name;
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
                                    const StatementProfile& j, std::string& why) const {
    const ClassInfo* request_class = nullptr;
    std::string ruled =
        j.request_class >= 0 ? analyzer_.rules().classes()[std::size_t(j.request_class)].name : std::string();
    if (named) {
        request_class = classes.find(*named);
        if (!request_class) {
            why = "class '" + std::string(named->substr(0, 64)) + "' is unknown";
            return nullptr;
        }
    } else {
        if (!ruled.empty()) request_class = classes.find(ruled);
        if (!request_class && j.route == Route::replica) request_class = classes.find(options_.read_class);
    }
    if (j.route == Route::replica) {
        if (!request_class) why = "the statement has no class: none is named (c), ruled or set (read_class)";
        return request_class;
    }
    // It must reach the primary. Only a class of writes does that for certain.
    if (request_class && request_class->is_write) return request_class;
    const std::string& fallback = j.kind == Kind::read && !options_.primary_class.empty()
                                      ? options_.primary_class
                                      : options_.write_class;
    const ClassInfo* safe = classes.find(fallback);
    if (safe && safe->is_write) return safe;
    why = std::string("it must go to the primary (") + j.reason + "), and " +
          (request_class ? "class '" + request_class->name + "' does not" : "it has no class that does");
    return nullptr;
}

Shape fixed_shape(routing::ClientRequest::Verb verb) {
    using Verb = routing::ClientRequest::Verb;
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
