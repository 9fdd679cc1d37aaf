// Ends requests: gives each client exactly one final answer, whatever caused it, and finishes the request
// once no answer is owed and no attempt is in flight.
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
    // `is_started`: true when a write arrives, false when it is finished.
    using WriteObserver = std::function<void(std::uint64_t session, bool is_started)>;

    // All references must outlive this object.
    RequestCompletion(const Clock& clock, const policy::Settings& settings, RequestTable& requests,
                      EventInbox& inbox, RequestGuard& guard, RequestLog& log, RequestStatistics& statistics);

    // Called when a write of a session arrives, and again once no answer to it is owed and no attempt of it
    // is in flight.
    void set_write_observer(WriteObserver observer) { write_observer_ = std::move(observer); }
    // nullptr: sites are not watched.
    void set_sites(const SiteController* sites) { sites_ = sites; }

    // Counts a request that has just been added to the table and tells the write observer.
    void record_arrival(const PendingRequest& pending);
    // Gives an answer to the client if the client still waits for one.
    void deliver_answer(PendingRequest& pending, const Answer& answer, Time now);
    // Aborts an answer of which only a part has been passed on to the client.
    void abort_answer(PendingRequest& pending);
    // Rejects or fails a request. A rejection becomes a failure if a retry by the client could do harm. Does
    // nothing if the client has received its answer or a part of it. `why` is the text of the log line.
    void end_with_error(RequestId id, FinalError ending, const char* why);
    // Ends a request because its site is lost or the retry budget is spent. The request is rejected if a
    // retry by the client is harmless, and fails otherwise.
    void end_for_lost_site(RequestId id);
    // The client no longer waits for the answer.
    void withdraw(RequestId id, RequestAdmission::Departure departure);
    // Ends all unanswered requests because the process ends. Each is rejected if a retry by the client is
    // harmless, and fails otherwise. Answers that have been started are left alone.
    void end_all();
    // Must be called whenever an answer has been given or an attempt has ended.
    void finish_if_done(RequestId id);

  private:
    void count_final_error(const PendingRequest& pending, const FinalError& ending, Time now);

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
