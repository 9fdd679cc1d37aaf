// When discovery is called, for what, and how long its answer is waited for. No socket, clock or randomness
// of its own: whoever drives it says what came of each call and draws.
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
        // Discovery answers a watch after so long where nothing changes. Short, since an unresponsive
        // connection shows only by the lack of an answer.
        Millis hold{2000};
        Millis slack{1000};  // for the answer after that
        Millis whole{1000};  // for the complete list, or a watch that begins
        Millis retry{
            40};  // after a watch that broke, or no answer; under the 200 ms in which a watch goes on
        Millis again{80};  // after a rejection or a broken call, doubling; drawn from half to one and a half
        Millis retry_most{160};
        Millis connect{500};
        // The first call asks for what is newer than the cached list, not for the complete one.
        bool from_known = false;
        // The first call after a failure is a watch as any other. Not where a call costs nothing: an
        // unresponsive agent shows sooner by a call that it would answer at once.
        bool resume_with_watch = false;

        // How long after a change in a discovery that can be reached the change is known here at the latest,
        // whatever the watch is doing at that moment (docs/acceptance.md, "Told": 6 s).
        Millis max_propagation() const;
    };
    // Where all poolers ask one discovery of limited capacity: poolers / hold calls a second while nothing
    // fails, and all of them within a retry_most once it is back.
    static Timing shared(std::size_t poolers);

    explicit WatchSchedule(Timing timing) : timing_(timing) {}
    const Timing& timing() const { return timing_; }

    struct Call {
        std::optional<std::int64_t> from;  // changes since that revision; none: the complete list
        Millis hold{};                     // discovery may wait so long for a change
        Millis client_timeout{};           // how long the answer is waited for
    };
    // The call to make now.
    Call next() const;
    // It was answered with the list of that revision.
    void answered(std::int64_t revision);
    enum class Failure {
        no_response,  // nothing came in time
        refused,      // discovery rejected the call
        cut,          // the connection or its answer broke
    };
    // It failed. Returns how long to wait until the next one; `draw` lies in [0, 1].
    Millis failed(Failure failure, double draw);
    // A cached list of that revision is in use: what is newer comes next.
    void know(std::int64_t revision) { revision_ = revision; }
    // The complete list comes next.
    void forget() { revision_.reset(); }
    // As forget(), at another address and without backoff.
    void restart();
    // Of the list in use; none: the complete list comes next.
    std::optional<std::int64_t> revision() const { return revision_; }

  private:
    Timing timing_;
    bool watching_ = false;  // the last call was answered: the next goes on from it
    std::optional<std::int64_t> revision_;
    Millis backoff_{};  // zero: nothing has been rejected since the last answer
};

}  // namespace indigovane::routing
