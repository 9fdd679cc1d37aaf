// How a request comes to its end: the final answer to its client, by whatever caused it, and what follows
// once nothing of the request is owed or in flight any more. Each client gets exactly one final answer from
// here.
#pragma once

#include <functional>

#include "routing/event_inbox.hpp"
#include "routing/request_guard.hpp"
#include "routing/request_log.hpp"
#include "routing/request_statistics.hpp"
#include "routing/request_table.hpp"
#include "routing/site_controller.hpp"

namespace indigovane::routing {

class RequestCompletion {
  public:
    using WriteObserver = std::function<void(std::uint64_t session, bool begins)>;

    // All references must outlive this object.
    RequestCompletion(const Clock& clock, const policy::Settings& settings, RequestTable& requests,
                      EventInbox& inbox, RequestGuard& guard, RequestLog& log, RequestStatistics& statistics);

    // Told when a session's write is taken in, and when nothing of it is owed or in flight any more.
    void set_write_observer(WriteObserver observer) { write_observer_ = std::move(observer); }
    // None: sites are not watched.
    void set_sites(const SiteController* sites) { sites_ = sites; }

    // A request has been added to the table.
    void began(const PendingRequest& pending);
    // Gives an answer to the client, where it still waits.
    void answer(PendingRequest& pending, const Answer& answer, Time now);
    // Ends a response of which only a part has been passed on.
    void break_off(PendingRequest& pending);
    // Rejects or fails a request. A rejection that could do harm becomes a failure. Does nothing where the
    // request has its answer, or a part of it.
    void end(RequestId id, FinalError ending, const char* why);
    // Its site is given up, or its retry budget spent: rejected where asking again is harmless, else failed.
    void end_by_site(RequestId id);
    // Nobody waits for the answer any more.
    void withdraw(RequestId id, RequestAdmission::Departure departure);
    // The process ends: whatever is owed is rejected where asking again is harmless, else failed.
    void end_all();
    // To be called whenever an answer was given or an attempt has ended.
    void finish_if_done(RequestId id);

  private:
    void count(const PendingRequest& pending, const FinalError& ending, Time now);

    const Clock& clock_;
    const policy::Settings& settings_;
    RequestTable& requests_;
    EventInbox& inbox_;
    RequestGuard& guard_;
    RequestLog& log_;
    RequestStatistics& statistics_;
    const SiteController* sites_ = nullptr;
    WriteObserver write_observer_;
};

}  // namespace indigovane::routing
