#include "program/site_command.hpp"

#include <algorithm>
#include <ostream>
#include <set>

#include "program/command_line.hpp"
#include "program/site_text.hpp"

namespace indigovane::program {

namespace options = boost::program_options;

namespace {

constexpr int kSuccess = 0;
constexpr int kUsage = 2;

site::Host planned_host(const routing::EndpointInfo& endpoint, std::size_t index, double cores) {
    site::Host host;
    host.id = site::HostId{std::uint32_t(index)};
    host.site = site::SiteId{endpoint.zone};
    host.group = site::GroupId{endpoint.group};
    host.ready = endpoint.state == policy::EndpointState::ready;
    host.primary = endpoint.primary;
    host.capacity = cores;
    return host;
}

const site::Demand& find_class(const std::vector<site::Demand>& classes, const SiteDemand& demand,
                               const std::string& path) {
    auto found = std::find_if(classes.begin(), classes.end(), [&](const site::Demand& request_class) {
        return request_class.request_class == demand.request_class;
    });
    if (found == classes.end())
        throw ConfigError(path, "[[demand]]: no class is named '" + demand.request_class + "'");
    return *found;
}

// A demand of no group is spread evenly over all.
void add_demand(const SiteDemand& demand, const site::Demand& request_class,
                const std::set<std::uint32_t>& groups, site::PlanInput& input) {
    for (std::uint32_t group : groups) {
        if (demand.group && *demand.group != group) continue;
        double part = demand.group ? 1 : 1 / double(groups.size());
        site::Demand of_group = request_class;
        of_group.group = site::GroupId{group};
        of_group.rate = demand.per_second * part;
        for (const auto& [name, rate] : demand.tenants) of_group.tenants[name] = rate * part;
        of_group.cost = double(demand.work.count()) / 1e6;  // seconds
        input.demands.push_back(std::move(of_group));
    }
}

// The hosts as the configuration has them, and the demand as the operator's file states it.
site::PlanInput plan_input(const Config& config, const SiteConfig& sites, const std::string& path) {
    site::PlanInput input;
    std::set<std::uint32_t> groups;
    for (std::size_t i = 0; i < config.known.members.size(); ++i) {
        groups.insert(config.known.members[i].group);
        input.hosts.push_back(planned_host(config.known.members[i], i, sites.cores));
    }
    std::vector<site::Demand> classes = site_classes(config);
    for (const SiteDemand& demand : sites.demand) {
        const site::Demand& request_class = find_class(classes, demand, path);
        if (demand.group && !groups.count(*demand.group))
            throw ConfigError(path, "[[demand]]: no host belongs to group " + std::to_string(*demand.group));
        add_demand(demand, request_class, groups, input);
    }
    input.protected_classes = sites.settings.protected_classes;
    input.tenant_shares = sites.settings.tenant_shares;
    input.max_utilization = sites.settings.max_utilization;
    input.min_class_share = sites.settings.min_class_share;
    return input;
}

std::set<site::SiteId> lost_sites(const Config& config, const std::vector<std::string>& zone_names) {
    std::set<site::SiteId> lost;
    for (const std::string& name : zone_names) {
        auto zone = zone_number(config.zones, name);
        if (!zone) throw ConfigError("no zone is named '" + name + "' in the configuration's settings.azs");
        lost.insert(site::SiteId{*zone});
    }
    return lost;
}

options::variables_map parse_site_arguments(const std::vector<std::string>& arguments) {
    options::options_description described("options");
    described.add_options()("call", options::value<std::string>(), "plan")(
        "settings", options::value<std::string>(), "the platform's configuration")(
        "sites", options::value<std::string>(), "the operator's file of sites, with [[demand]]")(
        "lose", options::value<std::vector<std::string>>()->composing(), "a zone that is lost")(
        "json", options::bool_switch(), "as JSON");
    return parse_arguments(arguments, described, "call", 1);
}

bool is_plan(const options::variables_map& values) {
    return values.count("call") && values["call"].as<std::string>() == "plan" && values.count("settings") &&
           values.count("sites") && values.count("lose");
}

site::Plan make_plan(const options::variables_map& values, const Config& config) {
    std::string path = values["sites"].as<std::string>();
    SiteConfig sites = read_site_config(path);
    if (sites.demand.empty())
        throw ConfigError(path, "a plan needs [[demand]]: what each class asks for, and what it costs");
    site::PlanInput input = plan_input(config, sites, path);
    input.lost_sites = lost_sites(config, values["lose"].as<std::vector<std::string>>());
    return site::make_plan(input);
}

}  // namespace

int site(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err) {
    options::variables_map values = parse_site_arguments(arguments);
    if (!is_plan(values)) {
        err << "usage: indigovane site plan --settings FILE --sites FILE --lose ZONE [--lose ZONE] "
               "[--json]\n";
        return kUsage;
    }
    Config config = read_platform_config(values["settings"].as<std::string>());
    site::Plan plan = make_plan(values, config);
    auto host_name = [&](site::HostId id) { return config.known.members[std::size_t(id)].uid; };
    if (values["json"].as<bool>())
        out << plan_json(plan, config.zones, host_name)
                   .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
            << "\n";
    else
        out << plan_text(plan, config.zones, host_name);
    return kSuccess;
}

}  // namespace indigovane::program
