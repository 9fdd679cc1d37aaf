#include "adapters/statements.hpp"

namespace indigovane::adapters {

using namespace statement;

namespace {
// Texts are cut to the second limit, in bytes.
constexpr std::size_t kMaxRecordedShapes = 2048, kMaxShapeTextBytes = 160;
}  // namespace

Statements::Statements(Rules rules, StatementAnalyzer::Options analyzer_options, StatementOptions options)
    : analyzer_(std::move(rules), analyzer_options), options_(std::move(options)) {}

void Statements::set(Rules rules, StatementOptions options) {
    analyzer_.set_rules(std::move(rules));
    options_ = std::move(options);
    descriptions_.clear();
    recorded_shapes_.clear();
}

const StatementProfile& Statements::analyze(std::string_view sql, routing::Time now) {
    const StatementProfile& profile = analyzer_.analyze(sql, StatementAnalyzer::Time(now.time_since_epoch()));
    if (analyzer_.counts().parsed != last_parsed_count_) {
        last_parsed_count_ = analyzer_.counts().parsed;
        remember(profile, analyzer_.scanner().text());
    }
    return profile;
}

void Statements::remember(const StatementProfile& profile, std::string_view canonical) {
    auto [it, is_new] = descriptions_.try_emplace(profile.shape);
    if (!is_new) return;
    it->second.text = printable(canonical, kMaxShapeTextBytes);
    it->second.kind = profile.kind;
    if (profile.request_class >= 0)
        it->second.request_class = analyzer_.rules().classes()[std::size_t(profile.request_class)].name;
    recorded_shapes_.push_front(profile.shape);
    if (recorded_shapes_.size() > kMaxRecordedShapes) {
        descriptions_.erase(recorded_shapes_.back());
        recorded_shapes_.pop_back();
    }
}

const Statements::ShapeDescription* Statements::known(const Shape& shape) const {
    auto it = descriptions_.find(shape);
    return it == descriptions_.end() ? nullptr : &it->second;
}

const ClassInfo* Statements::choose(const Classes& classes, std::optional<std::string_view> named_class,
                                    const StatementProfile& profile, std::string& why) const {
    const ClassInfo* request_class = nullptr;
    std::string class_by_rule = profile.request_class >= 0
                                    ? analyzer_.rules().classes()[std::size_t(profile.request_class)].name
                                    : std::string();
    if (named_class) {
        request_class = classes.find(*named_class);
        if (!request_class) {
            why = "class '" + std::string(named_class->substr(0, 64)) + "' is unknown";
            return nullptr;
        }
    } else {
        if (!class_by_rule.empty()) request_class = classes.find(class_by_rule);
        if (!request_class && profile.route == Route::replica)
            request_class = classes.find(options_.read_class);
    }
    if (profile.route == Route::replica) {
        if (!request_class)
            why = "the statement has no class: name one in its comment (c), in a rule or in read_class";
        return request_class;
    }
    // The statement must run on the primary, which only a class of writes guarantees.
    if (request_class && request_class->is_write) return request_class;
    const std::string& fallback_name = profile.kind == Kind::read && !options_.primary_class.empty()
                                           ? options_.primary_class
                                           : options_.write_class;
    const ClassInfo* fallback_class = classes.find(fallback_name);
    if (fallback_class && fallback_class->is_write) return fallback_class;
    why = std::string("the statement must run on the primary (") + profile.reason + "), and " +
          (request_class ? "class '" + request_class->name + "' is not a class of writes"
                         : "it has no class of writes");
    return nullptr;
}

Shape fixed_shape(routing::ClientRequest::Verb verb) {
    using Verb = routing::ClientRequest::Verb;
    auto shape = [](const char* sql) {
        Scanner scanner;
        scanner.scan(sql);
        return shape_of(scanner.text());
    };
    static const Shape lookup = shape("SELECT content FROM kv WHERE name = ''");
    static const Shape write = shape("INSERT INTO kv (name, content) VALUES ('', '') RETURNING content");
    static const Shape page = shape("SELECT name, content FROM kv WHERE name > '' ORDER BY name LIMIT 1");
    return verb == Verb::lookup ? lookup : verb == Verb::write ? write : verb == Verb::page ? page : Shape{};
}

}  // namespace indigovane::adapters
