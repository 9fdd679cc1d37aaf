// Max-min fairness over tenants, and the order in which requests of a tenant are shed.
#include "site/tenant_admission.hpp"

#include <doctest/doctest.h>

namespace indigovane::site {
namespace {

TEST_CASE("fairness: the admitted share is divided among tenants by weight, and timely requests come first") {
    CHECK(fair_level({{10, 1}, {20, 1}}, 30) > 1e300);
    // 60 of 120 are admitted: all 5 of the smallest demand, and the other 55 in the ratio 8 to 1.
    std::vector<WeightedDemand> demands{{5, 1}, {80, 8}, {35, 1}};
    double level = fair_level(demands, 60);
    CHECK(satisfied_share(demands[0], level) == 1);
    CHECK(satisfied_share(demands[1], level) * 80 == doctest::Approx(55 * 8 / 9.0));
    CHECK(satisfied_share(demands[2], level) * 35 == doctest::Approx(55 / 9.0));
    CHECK(split_by_timeliness(0.5, 0.25).timely == doctest::Approx(2.0 / 3));
    CHECK(split_by_timeliness(0.5, 0.25).late == 0);
    CHECK(split_by_timeliness(0.9, 0.25).timely == 1);
    CHECK(split_by_timeliness(0.9, 0.25).late == doctest::Approx(0.6));
    CHECK(split_by_timeliness(0.3, 1).late == doctest::Approx(0.3));
}

// Guards against a tenant that takes capacity from others by sending more. One tenant sends nine times as
// many requests as the other. Without fairness, both would lose the same share.
TEST_CASE(
    "tenants: a tenant within its share is admitted, a tenant beyond its share is shed, its retries first") {
    for (bool is_fair : {true, false}) {
        Settings settings;
        settings.tenant_fairness = is_fair;
        settings.shed_late_first = is_fair;
        settings.starvation_interval = seconds(60);
        TenantAdmission admission;
        Time now(seconds(100));
        int small_admitted = 0;
        int large_admitted = 0;
        int retries_admitted = 0;
        for (int i = 0; i < 4000; ++i, now += milliseconds(10)) {
            std::string tenant = i % 10 == 0 ? "small" : "large";
            bool is_retry = i % 10 == 1;  // one in nine requests of the large tenant
            admission.record_arrival(tenant, is_retry, settings, now);
            if (i < 2000) continue;
            double share = admission.admitted_share(tenant, is_retry, 0.5, settings, now);
            bool admitted = double(i * 7919 % 1000) / 1000 < share;
            (tenant == "small" ? small_admitted : is_retry ? retries_admitted : large_admitted) += admitted;
        }
        if (is_fair) {
            CHECK(small_admitted == 200);
            CHECK(retries_admitted == 0);
            CHECK(large_admitted == doctest::Approx(800).epsilon(0.05));
        } else {
            CHECK(small_admitted == doctest::Approx(100).epsilon(0.15));
            CHECK(retries_admitted == doctest::Approx(100).epsilon(0.15));
        }
    }
    // Tenants beyond the limit are counted as one tenant and admitted like others.
    TenantAdmission many_tenants;
    Settings settings;
    for (int i = 0; i < 5000; ++i)
        many_tenants.record_arrival("t" + std::to_string(i), false, settings, Time(seconds(1)));
    CHECK(many_tenants.admitted_share("t4999", false, 0.5, settings, Time(seconds(1))) < 0.5);
    CHECK(many_tenants.tenant_count() <= TenantAdmission::kMaxTenants + 1);
}

}  // namespace
}  // namespace indigovane::site
