// When discovery is called, for what, and how long its answer is waited for. No socket, clock or randomness
// of its own: whoever drives it says what came of each call and draws.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

namespace indigovane::routing {

class WatchSchedule {
  public:
    using Millis = std::chrono::milliseconds;
    struct Timing {
        // A call is held so long. Short, since a silent connection shows only by the lack of an answer.
        Millis hold{2000};
        Millis slack{1000};  // for the answer after that
        Millis whole{1000};  // for the whole list, or a watch that begins
        Millis retry{40};    // a broken watch, and after silence; under the 200 ms in which a watch goes on
        Millis again{80};  // after a refusal or a cut, doubling; drawn from half of it to half as much again
        Millis retry_most{160};
        Millis connect{500};
        bool from_known = false;  // the first call asks for what is newer than the list held, not for all
        // The first call after a failure is held as any other. Not where a call costs nothing: an agent that
        // says nothing shows sooner by a call that it would answer at once.
        bool resume_held = false;

        // Discovery has a change and can be reached: by then it is told here, whatever the watch is doing at
        // that moment (docs/acceptance.md, "Told"). It counts as told after 6 s.
        Millis told_within() const {
            Millis silent = std::max(hold + slack, (resume_held ? hold : Millis(0)) + whole);  // unnoticed
            Millis refused = std::max(whole, connect);
            Millis pause = retry_most * 3 / 2;
            return std::max(silent + retry * 3 / 2, refused + pause) + connect + whole;
        }
    };
    // Where all poolers ask one discovery, which has only so much room: poolers / hold calls a second while
    // nothing fails, and all of them within a retry_most once it is back.
    static Timing shared(std::size_t poolers) {
        Timing t;
        t.hold = Millis(2500);
        t.slack = t.whole = Millis(1200);  // it gives a call up that has waited in turn for a second
        t.connect = Millis(300);
        t.from_known = t.resume_held = true;
        // Of a fleet that is refused at once each asks again at a moment of its own.
        t.retry_most = std::clamp(Millis(60 * std::int64_t(poolers)), Millis(400), Millis(1800));
        t.again = t.retry_most;
        return t;
    }

    explicit WatchSchedule(Timing timing) : timing_(timing) {}
    const Timing& timing() const { return timing_; }

    struct Call {
        std::optional<std::int64_t> from;  // none: the whole list
        Millis hold{}, client_timeout{};
    };
    Call next() const {
        if (!revision_) return {std::nullopt, Millis(0), timing_.whole};
        Millis hold = watching_ || timing_.resume_held ? timing_.hold : Millis(0);
        return {revision_, hold, hold + (watching_ ? timing_.slack : timing_.whole)};
    }
    void answered(std::int64_t revision) {
        revision_ = revision;
        watching_ = true;
        backoff_ = {};
    }
    enum class Failure { silent, refused, cut };
    // How long to wait until the next call; `draw` lies in [0, 1]. Guards a discovery that is short of room
    // against all poolers that ask again at once, and in step. Silence is no sign of that: it refuses then.
    Millis failed(Failure how, double draw) {
        bool watched = std::exchange(watching_, false);
        auto spread = [&](Millis about) {
            return about / 2 + Millis(std::int64_t(draw * double(about.count())));
        };
        if (watched) return timing_.retry;
        if (how == Failure::silent) return spread(timing_.retry);
        if (backoff_.count() == 0) backoff_ = timing_.again;
        Millis wait = spread(backoff_);
        backoff_ = std::min(backoff_ * 2, timing_.retry_most);
        return wait;
    }
    void know(std::int64_t revision) { revision_ = revision; }  // of the list held: what is newer comes next
    void forget() { revision_.reset(); }                        // the whole list comes next
    void restart() {                                            // at another address, at once
        forget();
        watching_ = false;
        backoff_ = {};
    }
    std::optional<std::int64_t> revision() const { return revision_; }

  private:
    Timing timing_;
    bool watching_ = false;  // the last call was answered: the next goes on from it
    std::optional<std::int64_t> revision_;
    Millis backoff_{};  // none: nothing has been refused since the last answer
};

}  // namespace indigovane::routing
