// The admission by cost across a reload of its classes.
#include "adapters/limited_admission.hpp"

#include "adapters/pending_admission.hpp"

namespace indigovane::testing {
namespace {

struct RecordedOutcome : routing::Responder {
    void on_answer(const routing::Answer&) override { ++answers; }
    void on_final_error(const routing::FinalError& error) override {
        ++answers;
        rejected = error.kind == routing::FinalError::Kind::rejected;
    }
    int answers = 0;
    bool rejected = false;
};

routing::ClientRequest request(const char* id, std::uint32_t request_class) {
    routing::ClientRequest request;
    request.id = id;
    request.request_class = routing::ClassId{request_class};
    request.group = routing::GroupId{1};
    request.client_timeout = 30s;
    return request;
}

TEST_CASE(
    "a request queued in the limiter keeps its class across a reload, or is rejected if the class is gone") {
    for (bool class_exists : {true, false}) {
        Loop loop;
        routing::Clock clock;
        PendingAdmission core;
        limits::Settings by_cost;
        by_cost.work = 1us;
        by_cost.wait = 20s;
        by_cost.reserve = 0;
        adapters::LimitedAdmission limited(loop.io, clock, by_cost, core);
        RecordedOutcome first;
        RecordedOutcome second;
        limited.accept(request("1", 0), first);
        limited.accept(request("2", 2), second);
        loop.settle();
        REQUIRE(core.requests.size() == 1);  // "2" is queued
        // Class 2 is 0 from now on, what was 0 is 2: as "0" of before it would be a write of another effect.
        using Ids = std::vector<std::optional<routing::ClassId>>;
        limited.renumber(class_exists ? Ids{routing::ClassId{2}, routing::ClassId{1}, routing::ClassId{0}}
                                      : Ids{routing::ClassId{0}, routing::ClassId{1}});
        core.responders[0]->on_answer({});
        loop.settle();
        CHECK(core.requests.size() == (class_exists ? 2 : 1));
        if (class_exists) CHECK(core.requests.back().request_class == routing::ClassId{0});
        CHECK(second.answers == (class_exists ? 0 : 1));
        CHECK(second.rejected != class_exists);
    }
}

}  // namespace
}  // namespace indigovane::testing
