// Decides when to call the discovery service, what to ask for and how long to wait for the answer. It has no
// socket, clock or randomness of its own: its owner reports the outcome of each call and supplies random
// draws.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace indigovane::routing {

class WatchSchedule {
  public:
    using Millis = std::chrono::milliseconds;

    struct Timing {
        // Discovery answers a watch after this time if nothing has changed. It is short because an
        // unresponsive connection shows only by a missing answer.
        Millis hold{2000};
        // How long after `hold` the answer to a watch may arrive.
        Millis slack{1000};
        // How long the answer may take to a call for the complete list, or, after its hold, to the first
        // watch after a failure.
        Millis whole{1000};
        // The pause after a failed watch, or after any call that was not answered. It is below the 200 ms
        // within which a watch has to continue.
        Millis retry{40};
        // The first pause after another call that was rejected or broke. It doubles with each further one, up
        // to `retry_most`. The pause that is used is drawn from 0.5 to 1.5 times this value.
        Millis again{80};
        Millis retry_most{160};
        Millis connect{500};
        // The first call asks only for changes since the cached list instead of the complete list.
        bool from_known = false;
        // The first call after a failure is a watch with the usual hold. Off where calls are cheap: a call
        // that discovery answers at once reveals an unresponsive agent sooner.
        bool resume_with_watch = false;

        // The longest time from a change in a reachable discovery service until the change is known here,
        // whatever the watch is doing at that moment (docs/acceptance.md, "Told", requires 6 s).
        Millis max_propagation() const;
    };
    // The timing for a fleet of poolers that share one discovery service of limited capacity. The service
    // gets (poolers / hold) calls per second while nothing fails, and a call from every pooler within
    // `retry_most` after an outage.
    static Timing shared(std::size_t poolers);

    explicit WatchSchedule(Timing timing) : timing_(timing) {}
    const Timing& timing() const { return timing_; }

    struct Call {
        // Asks for the changes since this revision; nullopt asks for the complete list.
        std::optional<std::int64_t> from;
        Millis hold{};            // how long discovery may wait for a change
        Millis client_timeout{};  // how long the client waits for the answer
    };
    // The call to make now.
    Call next() const;
    // The call was answered with the list or the changes of this revision.
    void answered(std::int64_t revision);
    enum class Failure {
        no_response,  // no answer arrived in time
        refused,      // discovery rejected the call
        cut,          // the connection broke, or the answer was malformed
    };
    // The call failed. Returns the pause until the next call. `draw` is a random number in [0, 1].
    Millis failed(Failure failure, double draw);
    // A cached list of this revision is in use. The next call asks only for newer changes.
    void know(std::int64_t revision) { revision_ = revision; }
    // The next call asks for the complete list.
    void forget() { revision_.reset(); }
    // The address has changed. The next call asks for the complete list, and the backoff starts anew.
    void restart();
    // The revision of the list in use; nullopt: the next call asks for the complete list.
    std::optional<std::int64_t> revision() const { return revision_; }

  private:
    Timing timing_;
    bool watching_ = false;  // the last call was answered, so the next one is a watch
    std::optional<std::int64_t> revision_;
    Millis backoff_{};  // the next pause; zero: no call was rejected since the last answer
};

}  // namespace indigovane::routing
