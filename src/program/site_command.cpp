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
        throw ConfigError(path,
                          "[[demand]]: the platform's settings have no class '" + demand.request_class + "'");
    return *found;
}

// Adds the demand to its group, or evenly to all groups if it names none.
void add_demand(const SiteDemand& demand, const site::Demand& request_class,
                const std::set<std::uint32_t>& groups, site::PlanInput& input) {
    for (std::uint32_t group : groups) {
        if (demand.group && *demand.group != group) continue;
        double fraction = demand.group ? 1 : 1 / double(groups.size());
        site::Demand group_demand = request_class;
        group_demand.group = site::GroupId{group};
        group_demand.rate = demand.per_second * fraction;
        for (const auto& [name, rate] : demand.tenants) group_demand.tenants[name] = rate * fraction;
        group_demand.cost = double(demand.work.count()) / 1e6;  // seconds
        input.demands.push_back(std::move(group_demand));
    }
}

// Combines the hosts of the platform's configuration with the demand of the operator's file.
site::PlanInput plan_input(const Config& config, const SiteConfig& sites, const std::string& path) {
    site::PlanInput input;
    std::set<std::uint32_t> groups;
    for (std::size_t i = 0; i < config.known_endpoints.members.size(); ++i) {
        groups.insert(config.known_endpoints.members[i].group);
        input.hosts.push_back(planned_host(config.known_endpoints.members[i], i, sites.cores));
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
        if (!zone) throw ConfigError("--lose: no zone '" + name + "' in the configuration's settings.azs");
        lost.insert(site::SiteId{*zone});
    }
    return lost;
}

options::variables_map parse_site_arguments(const std::vector<std::string>& arguments) {
    options::options_description description("options");
    description.add_options()("call", options::value<std::string>(), "plan")(
        "settings", options::value<std::string>(), "the platform's configuration file")(
        "sites", options::value<std::string>(), "the operator's file of sites, with [[demand]] tables")(
        "lose", options::value<std::vector<std::string>>()->composing(),
        "a zone to plan the loss of; may be given more than once")("json", options::bool_switch(),
                                                                   "print the plan as JSON");
    return parse_arguments(arguments, description, "call", 1);
}

bool is_plan(const options::variables_map& values) {
    return values.count("call") && values["call"].as<std::string>() == "plan" && values.count("settings") &&
           values.count("sites") && values.count("lose");
}

site::Plan make_plan(const options::variables_map& values, const Config& config) {
    std::string path = values["sites"].as<std::string>();
    SiteConfig sites = read_site_config(path);
    if (sites.demand.empty())
        throw ConfigError(
            path,
            "a plan needs [[demand]] tables, which give each class's requests per second and their cost");
    site::PlanInput input = plan_input(config, sites, path);
    input.lost_sites = lost_sites(config, values["lose"].as<std::vector<std::string>>());
    return site::make_plan(input);
}

}  // namespace

int run_site_command(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err) {
    options::variables_map values = parse_site_arguments(arguments);
    if (!is_plan(values)) {
        err << "usage: indigovane site plan --settings FILE --sites FILE --lose ZONE [--lose ZONE] "
               "[--json]\n";
        return kUsage;
    }
    Config config = read_platform_config(values["settings"].as<std::string>());
    site::Plan plan = make_plan(values, config);
    auto host_name = [&](site::HostId id) { return config.known_endpoints.members[std::size_t(id)].uid; };
    if (values["json"].as<bool>())
        out << plan_json(plan, config.zones, host_name)
                   .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
            << "\n";
    else
        out << plan_text(plan, config.zones, host_name);
    return kSuccess;
}

}  // namespace indigovane::program
