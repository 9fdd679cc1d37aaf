#include "program/operator_calls.hpp"

#include <nlohmann/json.hpp>

#include "program/site_text.hpp"

namespace indigovane::program {

using nlohmann::ordered_json;
using routing::SiteController;

namespace {

// The JSON on one line. Bytes that are not valid UTF-8 are replaced.
std::string one_line(const ordered_json& json) {
    return json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

// The name shown for a request without a statement text (the REST front's and the known forms), or an empty
// string for any other shape.
std::string fixed_shape_name(const limits::ShapeId& id) {
    using Verb = routing::ClientRequest::Verb;
    for (auto [verb, name] :
         {std::pair{Verb::lookup, "lookup"}, {Verb::write, "write"}, {Verb::page, "page"}}) {
        statement::Shape shape = adapters::fixed_shape(verb);
        if (shape.high == id.high && shape.low == id.low) return name;
    }
    return {};
}

template <typename ShapeLine>
ordered_json shape_json(const ShapeLine& line, const adapters::Statements& statements) {
    statement::Shape shape{line.shape.high, line.shape.low};
    const auto* known = statements.known(shape);
    ordered_json json;
    json["shape"] = shape.hex();
    json["tenant"] = line.tenant;
    json["text"] = known ? known->text : fixed_shape_name(line.shape);
    json["kind"] = known ? statement::name(known->kind) : "";
    json["class"] = known ? known->request_class : "";
    json["work_ms"] = line.work.count() / 1000;
    json["mean_ms"] = double(line.cost.mean.count()) / 1000;
    json["p95_ms"] = double(line.cost.p95.count()) / 1000;
    json["standing"] = limits::name(line.cost.state);
    json["cap"] = line.cap;
    json["in_flight"] = line.in_flight;
    return json;
}

}  // namespace

OperatorCalls::Reply OperatorCalls::check() {
    return {services_.phases.is_regular(), name(services_.phases.current())};
}

OperatorCalls::Reply OperatorCalls::set_excluded(const std::string& uid, bool excluded) {
    ExcludedEndpoints& excluded_endpoints = services_.excluded_endpoints;
    try {
        excluded_endpoints.refresh();
        // An excluded endpoint may be readmitted even if it has left the endpoint list.
        if (!services_.core->knows(uid) && !excluded_endpoints.uids().count(uid))
            return {false, "no host with this id is known"};
        excluded_endpoints.change(uid, excluded);
    } catch (const std::exception& error) {
        return {false, error.what()};
    }
    services_.core->set_excluded(excluded_endpoints.uids());
    Reply reply{true, excluded ? "taken out" : "in use", {}};
    if (services_.persistent_state && services_.persistent_state->is_open())
        reply.later = [this, text = reply.text](std::function<void(std::string)> answer) {
            services_.persistent_state->store_excluded_endpoints(
                services_.excluded_endpoints.uids(), services_.core->readmissions(),
                [text, answer = std::move(answer)](bool on_disk) {
                    answer(on_disk ? text : text + " (not written to disk: see the log)");
                });
        };
    return reply;
}

OperatorCalls::Reply OperatorCalls::shapes(std::size_t max_shapes) {
    if (!services_.limited_admission) return {false, "limits by cost are switched off"};
    limits::Time now(services_.clock.now().time_since_epoch());
    ordered_json lines = ordered_json::array();
    for (const auto& line : services_.limited_admission->limiter().top(max_shapes, now))
        lines.push_back(shape_json(line, *services_.statements));
    return {true, one_line(lines)};
}

OperatorCalls::Reply OperatorCalls::site_status() {
    const SiteController* sites = services_.core->sites();
    if (!sites) return Operations::site_status();
    auto now = SiteController::time(services_.clock.now());
    return {true, status_json(sites->manager(), services_.config.zones, now).dump(), {}};
}

// The plan is computed from the traffic that this pooler has seen.
OperatorCalls::Reply OperatorCalls::site_plan(const std::string& zone_name) {
    const SiteController* sites = services_.core->sites();
    if (!sites) return Operations::site_plan(zone_name);
    auto zone = zone_number(services_.config.zones, zone_name);
    if (!zone) return {false, "no zone has this name", {}};
    auto now = SiteController::time(services_.clock.now());
    site::Plan plan = site::make_plan(sites->manager().plan_input({site::SiteId{*zone}}, now));
    auto uid = [&](site::HostId id) { return services_.core->uid(routing::EndpointId(std::uint32_t(id))); };
    return {true, one_line(plan_json(plan, services_.config.zones, uid)), {}};
}

OperatorCalls::Reply OperatorCalls::site_drain(const std::string& zone_name, bool on) {
    if (!services_.core->sites()) return Operations::site_drain(zone_name, on);
    auto zone = zone_number(services_.config.zones, zone_name);
    if (!zone) return {false, "no zone has this name", {}};
    if (!services_.core->drain_site(*zone, on)) return {true, "nothing to do", {}};
    return {true, on ? "its load moves to other sites" : "its load returns", {}};
}

}  // namespace indigovane::program
