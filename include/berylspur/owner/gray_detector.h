// Judges one endpoint by its real requests and decides when it leaves the rotation and how it
// returns.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"
#include "berylspur/owner/slot_scheduler.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylspur {

enum class DetectionMode { Gray, Probes, ConsecutiveErrors };

/// How much evidence of errors ejects an endpoint, and how it returns.
struct DetectorPolicy
{
    double errorThreshold = 12; ///< natural logarithm of a likelihood ratio
    double resetHit = 4; ///< evidence of one reset
    Duration firstDelay = std::chrono::seconds(2); ///< from the ejection to the first trial
    Duration longestDelay = std::chrono::seconds(120); ///< the delay doubles up to this
    std::uint32_t trialRequests = 5; ///< that a trial must pass
    bool probes = true; ///< a passed probe opens the trial; idle endpoints are probed
    bool admitsSuspect = true; ///< the owner leaves it to the gates to avoid a suspect
    bool ramp = true; ///< the share of requests grows step by step after the trial

    /// For services with a few requests a second at each endpoint, where gray failures last
    /// seconds: waiting for more evidence would cost more requests than a wrong ejection does.
    /// Health answers say nothing about such failures, so real requests that may be repeated are
    /// the trial.
    static DetectorPolicy sparse();
};

/// How a real request at the endpoint ended.
enum class WorkOutcome {
    Answered, ///< whole answer, status below 500
    ServerError, ///< status 500 or above, but not a shed request
    Shed, ///< the endpoint refused by its own load control
    Reset, ///< connection refused, reset, or answer cut short
    TimedOut,
    Cancelled, ///< by the caller; says nothing about the endpoint
    DependencyFailed, ///< an error after a call of the request failed; says nothing either
};

enum class DetectorPhase {
    Trusted,
    Suspect, ///< out of rotation if the floor allows it
    Trial, ///< gets a few idempotent requests only
    Ramp, ///< gets a growing share
};

/// A figure that decided, for the decision record.
struct DetectorFigure
{
    std::string name;
    double value = 0;
};

/// A change of phase with the rule and the figures that decided.
struct DetectorChange
{
    DetectorPhase from = DetectorPhase::Trusted;
    DetectorPhase to = DetectorPhase::Trusted;
    std::string rule;
    std::vector<DetectorFigure> figures;
    bool isForErrors = false; ///< requests failed; otherwise they were slow, or it is no ejection
};

/// Per-endpoint state machine. All judgement is relative to the baseline of the same service and
/// class, so a slowdown of the whole service suspects nobody.
class GrayDetector
{
public:
    explicit GrayDetector(DetectionMode mode = DetectionMode::Gray, DetectorPolicy policy = {});

    /// A real request was sent to the endpoint.
    void started(const RequestId &id, WorkClass workClass, TimePoint now,
                 const std::string &route = {});
    /// The first byte of its answer arrived (stall detection ends here for long answers).
    void firstByte(const RequestId &id, TimePoint now);
    void finished(const RequestId &id, WorkOutcome outcome, TimePoint now);

    /// A recent time to first byte at another endpoint of the service, as a dispatch carried it.
    /// The baseline is the median of the last 32; fewer than 4 judge nothing. Routes have baselines
    /// of their own: requests of one route would make those of a slower one look stalled.
    void baseline(WorkClass workClass, Duration time, TimePoint now, const std::string &route = {});

    /// A probe ended. It never clears suspicion about real requests; it only opens the way to a
    /// trial.
    void probed(bool passed, TimePoint now);

    /// A cold start of the endpoint: slow answers before \a until are not held against it.
    void coldUntil(TimePoint until);

    /// Evaluates stalls and timers. Call at least every 50 ms.
    void tick(TimePoint now);

    /// Phase changes since the last call, oldest first.
    std::vector<DetectorChange> takeChanges();

    DetectorPhase phase() const;
    /// 0: trusted. Higher is worse; ranks suspects for rotation().
    std::uint32_t severity() const;
    const std::string &rule() const;
    /// True if requests that failed made the endpoint a suspect, and it has not returned since.
    bool failsRequests() const;
    /// Share of the slots to use, 0 to 100 (Trial: a single slot, Ramp: growing).
    std::uint32_t rampPercent() const;
    /// True if a probe is due now: idle endpoint, or suspect waiting for its way back.
    bool wantsProbe(TimePoint now) const;
    /// True if the phase lets a request start; Trial admits a few idempotent ones only.
    bool admits(bool idempotent, std::uint32_t running) const;
    /// Median time to first byte seen here for \a workClass; zero: unknown.
    Duration median(WorkClass workClass) const;

    /// Tells whether the floor keeps the endpoint in rotation although it is suspect. While it
    /// does, admits() and rampPercent() restrict nothing, or ejection by the owner alone would
    /// reduce the capacity below the floor.
    void heldByFloor(bool held);

private:
    /// Index of the baseline of a class and route.
    using Kind = std::size_t;

    struct InFlight
    {
        RequestId id;
        WorkClass workClass = WorkClass::Short;
        Kind kind = 0;
        TimePoint started;
        bool answering = false; ///< first byte seen
        bool exempt = false; ///< started during a cold start, or before the last change of phase
        bool countedStalled = false; ///< already in m_stalls
    };
    /// Cumulative sum test: the sum of log likelihood ratios, never below zero.
    struct Evidence
    {
        double sum = 0;
        std::uint32_t events = 0; ///< since the sum was last zero
        void add(double ratio);
    };
    /// Times at other endpoints as the last dispatches carried them.
    struct Baseline
    {
        static constexpr std::size_t Size = 32;
        struct Value
        {
            double us = 0;
            TimePoint time;
        };
        /// Median of the values received since \a since; 0 if there are too few.
        double median(TimePoint since) const;

        std::array<Value, Size> received {};
        std::size_t count = 0;
        double us = 0; ///< median of all values; 0: unknown
    };
    /// A time to first byte, or an age at which a request was given up.
    struct Judged
    {
        double us = 0;
        double baselineUs = 0; ///< when it was judged first
        Kind kind = 0;
        bool ended = false;
    };
    /// Recent times to first byte of one class.
    struct Samples
    {
        static constexpr std::size_t Size = 32;
        std::array<std::uint32_t, Size> us {};
        std::size_t count = 0;
    };

    void finishGray(const InFlight &request, WorkOutcome outcome, TimePoint now);
    void finishTrial(WorkOutcome outcome, double slowness, TimePoint now);
    void judgeTime(const InFlight &request, bool ended, TimePoint now);
    void judgeTimes(TimePoint now);
    double judgeInFlight(TimePoint now);
    double judgeAgain(TimePoint now);
    static double evidenceInFlight(const InFlight &request, double baselineUs, TimePoint now);
    Kind kindOf(WorkClass workClass, const std::string &route);
    double strictBaselineUs(Kind kind, TimePoint now) const;
    static double slowRatio(const Judged &judged, double baselineUs);
    double slowness(const InFlight &request, TimePoint now) const;
    void suspect(const std::string &rule, std::uint32_t severity,
                 std::vector<DetectorFigure> figures, TimePoint now, bool isForErrors = false);
    void changeTo(DetectorPhase phase, const std::string &rule, std::vector<DetectorFigure> figures,
                  TimePoint now);
    void clearEvidence();
    double bar(double evidence) const;

    DetectionMode m_mode;
    DetectorPolicy m_policy;
    DetectorPhase m_phase = DetectorPhase::Trusted;
    std::string m_rule;
    std::uint32_t m_severity = 0;
    bool m_failsRequests = false; ///< the last suspicion was for errors
    bool m_heldByFloor = false;
    std::vector<DetectorChange> m_changes;

    std::vector<InFlight> m_inFlight; ///< at most the slots, so a linear search is cheap
    std::vector<Baseline> m_baselines; ///< by kind; the first two are the classes without a route
    std::unordered_map<std::string, Kind> m_kinds; ///< by class and route; bounded by MaxKinds
    std::array<Samples, 2> m_samples;
    std::array<Judged, 64> m_judged; ///< ring; the evidence on times comes from these
    std::size_t m_judgedCount = 0;
    std::optional<TimePoint> m_doubtSince; ///< the evidence on times is above its threshold
    Evidence m_slow;
    Evidence m_stalls;
    Evidence m_errors;

    TimePoint m_coldUntil = TimePoint::min();
    TimePoint m_phaseSince;
    TimePoint m_lastWork = TimePoint::min(); ///< last start or end of a request
    TimePoint m_lastProbe = TimePoint::min();
    Duration m_delay; ///< from Suspect to the first probe; doubles for an endpoint that flaps
    std::uint32_t m_probeFailures = 0; ///< in a row
    std::uint32_t m_probePasses = 0; ///< in a row
    std::uint32_t m_errorsInRow = 0; ///< for ConsecutiveErrors
    std::uint32_t m_trialStarted = 0;
    std::uint32_t m_trialPassed = 0;
    std::uint32_t m_trialSlow = 0;
    std::uint32_t m_rampStep = 0;
    bool m_trialPatienceOver = false;
    bool m_hasFlapped = false; ///< ejected within FlapMemory of being trusted again
};

} // namespace berylspur
