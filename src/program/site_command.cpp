#include "program/site_command.hpp"

#include <boost/program_options.hpp>
#include <iostream>

#include "program/site_text.hpp"

namespace indigovane::program {

namespace options = boost::program_options;

namespace {

// The hosts as the configuration knows them, and the demand as the operator's file tells it.
site::PlanInput input_of(const Config& config, const SiteConfig& sites, const std::string& path) {
    site::PlanInput in;
    std::set<std::uint32_t> groups;
    for (std::size_t i = 0; i < config.known.members.size(); ++i) {
        const routing::EndpointInfo& m = config.known.members[i];
        site::Host h;
        h.id = site::HostId{std::uint32_t(i)};
        h.site = site::SiteId{m.zone};
        h.group = site::GroupId{m.group};
        h.ready = m.state == policy::EndpointState::ready;
        h.primary = m.primary;
        h.capacity = sites.cores;
        groups.insert(m.group);
        in.hosts.push_back(h);
    }
    std::vector<site::Demand> classes = site_classes(config);
    for (const SiteDemand& d : sites.demand) {
        auto request_class = std::find_if(classes.begin(), classes.end(),
                                          [&](auto& c) { return c.request_class == d.request_class; });
        if (request_class == classes.end())
            throw ConfigError(path, "[[demand]]: no class is named '" + d.request_class + "'");
        if (d.group && !groups.count(*d.group))
            throw ConfigError(path, "[[demand]]: no host belongs to group " + std::to_string(*d.group));
        for (std::uint32_t g : groups) {
            if (d.group && *d.group != g) continue;
            site::Demand each = *request_class;
            each.group = site::GroupId{g};
            double part = d.group ? 1 : 1 / double(groups.size());
            each.rate = d.per_second * part;
            for (const auto& [name, rate] : d.tenants) each.tenants[name] = rate * part;
            each.cost = double(d.work.count()) / 1e6;
            in.demand.push_back(std::move(each));
        }
    }
    in.last = sites.settings.last;
    in.shares = sites.settings.shares;
    in.ceiling = sites.settings.ceiling;
    in.floor = sites.settings.floor;
    return in;
}

}  // namespace

int site(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err) {
    options::options_description described("options");
    described.add_options()("call", options::value<std::string>(), "plan")(
        "settings", options::value<std::string>(), "the platform's configuration")(
        "sites", options::value<std::string>(), "the operator's file of sites, with [[demand]]")(
        "lose", options::value<std::vector<std::string>>()->composing(), "a zone that is lost")(
        "json", options::bool_switch(), "as JSON");
    options::positional_options_description places;
    places.add("call", 1);
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(described).positional(places).run(),
                   values);
    options::notify(values);
    if (!values.count("call") || values["call"].as<std::string>() != "plan" || !values.count("settings") ||
        !values.count("sites") || !values.count("lose")) {
        err << "usage: indigovane site plan --settings FILE --sites FILE --lose ZONE [--lose ZONE] "
               "[--json]\n";
        return 2;
    }
    Config config = read_platform_config(values["settings"].as<std::string>());
    std::string path = values["sites"].as<std::string>();
    SiteConfig sites = read_site_config(path);
    if (sites.demand.empty())
        throw ConfigError(path, "a plan needs [[demand]]: what each class asks for, and what it costs");
    site::PlanInput in = input_of(config, sites, path);
    for (const std::string& name : values["lose"].as<std::vector<std::string>>()) {
        auto zone = zone_number(config.zones, name);
        if (!zone) throw ConfigError("no zone is named '" + name + "' in the configuration's settings.azs");
        in.lost.insert(site::SiteId{*zone});
    }
    auto host = [&](site::HostId id) { return config.known.members[std::size_t(id)].uid; };
    site::Plan plan = site::make_plan(in);
    if (values["json"].as<bool>())
        out << plan_json(plan, config.zones, host)
                   .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
            << "\n";
    else
        out << plan_text(plan, config.zones, host);
    return 0;
}

}  // namespace indigovane::program
