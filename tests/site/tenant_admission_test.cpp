// Max-min fairness over tenants, and which requests of a tenant are shed first.
#include "site/tenant_admission.hpp"

#include <doctest/doctest.h>

namespace indigovane::site {
namespace {

TEST_CASE("fairness: the admitted part goes to tenants by their weights, and to timely requests first") {
    CHECK(fair_level({{10, 1}, {20, 1}}, 30) > 1e300);
    // 60 of 120: the smallest gets all of its 5, the others 8 and 1 parts of the rest.
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

// One tenant sends nine times as much as another: by chance alone both would lose the same part.
TEST_CASE("tenants: one within its share is admitted, the one beyond it is shed, its retries first") {
    for (bool fair : {true, false}) {
        Settings settings;
        settings.tenant_fairness = fair;
        settings.shed_late_first = fair;
        settings.starvation_interval = seconds(60);
        TenantAdmission admission;
        Time now(seconds(100));
        int small = 0;
        int large = 0;
        int retries = 0;
        for (int i = 0; i < 4000; ++i, now += milliseconds(10)) {
            std::string tenant = i % 10 == 0 ? "small" : "large";
            bool retry = i % 10 == 1;  // a ninth of the large tenant's
            admission.record_arrival(tenant, retry, settings, now);
            if (i < 2000) continue;
            double share = admission.admitted_share(tenant, retry, 0.5, settings, now);
            bool admitted = double(i * 7919 % 1000) / 1000 < share;
            (tenant == "small" ? small : retry ? retries : large) += admitted;
        }
        if (fair) {
            CHECK(small == 200);
            CHECK(retries == 0);
            CHECK(large == doctest::Approx(800).epsilon(0.05));
        } else {
            CHECK(small == doctest::Approx(100).epsilon(0.15));
            CHECK(retries == doctest::Approx(100).epsilon(0.15));
        }
    }
    // Beyond the bound, tenants are counted as one, and admitted like any.
    TenantAdmission many;
    Settings settings;
    for (int i = 0; i < 5000; ++i)
        many.record_arrival("t" + std::to_string(i), false, settings, Time(seconds(1)));
    CHECK(many.admitted_share("t4999", false, 0.5, settings, Time(seconds(1))) < 0.5);
    CHECK(many.tenant_count() <= TenantAdmission::kMaxTenants + 1);
}

}  // namespace
}  // namespace indigovane::site
