// Requests that the limiter has queued while new settings renumber the classes.
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

routing::ClientRequest make_request(const char* id, std::uint32_t class_number) {
    routing::ClientRequest request;
    request.id = id;
    request.request_class = routing::ClassId{class_number};
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
        limits::Settings limiter_settings;
        limiter_settings.work = 1us;
        limiter_settings.wait = 20s;
        limiter_settings.reserve = 0;
        adapters::LimitedAdmission limited(loop.io, clock, limiter_settings, core);
        RecordedOutcome first;
        RecordedOutcome second;
        limited.accept(make_request("1", 0), first);
        limited.accept(make_request("2", 2), second);
        loop.settle();
        REQUIRE(core.requests.size() == 1);  // "2" is queued
        // The classes 2 and 0 swap their numbers. If request "2" kept its number, it would run as a write
        // with other effects.
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
