// Gray failure detection for one endpoint, based on real requests: decides when the endpoint
// becomes suspect, so that rotation() may eject it, and how it becomes trusted again.
#pragma once

#include "berylspur/admission/slot_scheduler.h"
#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"
#include "berylspur/owner/latency_baseline.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylspur {

enum class DetectionMode {
    Gray, ///< statistics of real requests, and probes
    Probes, ///< health probes only, once per second
    ConsecutiveErrors, ///< suspect after five failed requests in a row, for 10 s
};

/// Thresholds for suspicion because of errors, and parameters of the recovery.
struct DetectorPolicy
{
    double errorThreshold = 12; ///< log-likelihood ratio that makes the endpoint suspect
    double resetEvidence = 4; ///< log-likelihood ratio of one reset
    /// The same of a request that the load control of the endpoint refused. Low, because occasional
    /// shedding is normal, but not zero, because an endpoint that sheds nearly all requests does
    /// not serve. Beside answered requests the evidence accumulates above a shed share of 37%.
    double shedEvidence = 0.6;
    /// Standard deviation of the logarithm of service times in the model. The tests of requests in
    /// flight and of stalls are the more sensitive the less service times vary.
    double logServiceTimeStdDev = 1.0;
    /// Evidence from the requests in flight that makes the endpoint suspect.
    double inFlightThreshold = 12;
    /// Minimum time from suspicion to the first trial.
    Duration initialRecoveryDelay = std::chrono::seconds(2);
    Duration maxRecoveryDelay = std::chrono::seconds(120); ///< limit of the exponential backoff
    std::uint32_t requiredTrialSuccesses = 5; ///< successful requests that end a trial
    bool probes = true; ///< probe idle endpoints, and before a trial
    /// True: the owner accepts requests for a suspect endpoint, because gates learn of the
    /// suspicion later. False: it refuses them, and also the queued ones if requests failed.
    bool admitsWhileSuspect = true;
    bool ramp = true; ///< increase the share of requests in steps after a trial

    /// For services with a few requests per second at each endpoint and gray failures that last
    /// seconds: waiting for more evidence would cost more requests than a false ejection. Health
    /// checks don't reveal such failures, so idempotent real requests serve as the trial.
    static DetectorPolicy sparse();
};

/// Result of a real request at the endpoint.
enum class RequestOutcome {
    Answered, ///< complete response, status below 500
    ServerError, ///< status 500 or above, except Shed
    Shed, ///< refused by the load control of the endpoint
    Reset, ///< connection refused or reset, or response truncated
    TimedOut,
    Silent, ///< cancelled without a first byte, long after the usual time
    Cancelled, ///< by the caller; no evidence about the endpoint
    DependencyFailed, ///< server error after a nested call of the request failed; no evidence
};

enum class DetectorPhase {
    Trusted,
    Suspect, ///< failing or slow; rotation() ejects it, unless the floor retains it
    Trial, ///< receives a few requests, one at a time
    Ramp, ///< receives an increasing share of requests
};

/// Input of a decision, for the decision record.
struct DetectorFigure
{
    std::string name;
    double value = 0;
};

/// Phase change with the rule and the values that caused it.
struct DetectorPhaseChange
{
    DetectorPhase from = DetectorPhase::Trusted;
    DetectorPhase to = DetectorPhase::Trusted;
    std::string rule;
    std::vector<DetectorFigure> figures;
    bool isCausedByErrors = false; ///< suspect because of failed rather than slow requests
};

/// Requests of the current trial that are queued or running. Requests that were admitted before the
/// trial are not part of it.
struct TrialLoad
{
    std::uint32_t open = 0;
    TimePoint lastAdmitted = TimePoint::min(); ///< admission of the latest of them
};

/// Per-endpoint state machine. Latency is compared to the baseline of the same service, class and
/// route, so a slowdown of the whole service makes no endpoint suspect.
class GrayDetector
{
public:
    explicit GrayDetector(DetectionMode mode = DetectionMode::Gray, DetectorPolicy policy = {});

    /// Records that a real request was sent to the endpoint.
    void onRequestStarted(const RequestId &id, RequestClass requestClass, TimePoint now,
                          const std::string &route = {});
    /// Records the first byte of the response. Ends stall detection for this request.
    void onFirstByte(const RequestId &id, TimePoint now);
    /// Records the end of the request.
    void onRequestFinished(const RequestId &id, RequestOutcome outcome, TimePoint now);

    /// Adds a recent time to first byte at another endpoint of the service, as sent with a
    /// dispatch. The first 256 routes have separate baselines, since fast routes
    /// would make requests of slow routes look stalled; the others share that of their class.
    void addBaselineSample(RequestClass requestClass, Duration time, TimePoint now,
                           const std::string &route = {});

    /// Records the result of a health probe. Three consecutive failures make the endpoint suspect.
    /// For a suspect endpoint, mode Gray starts a trial on a probe that passes after the recovery
    /// delay; mode Probes returns to Trusted after two consecutive passes. Mode ConsecutiveErrors
    /// ignores probes. In mode Gray a passed probe never clears a suspicion; it only allows a trial
    /// with real requests.
    void recordProbe(bool passed, TimePoint now);

    /// Excludes requests that start before \a until from latency checks, for a cold start.
    void setColdUntil(TimePoint until);

    /// Evaluates stalls and timers. Call at least every 50 ms.
    void tick(TimePoint now);

    /// Phase changes since the last call, oldest first.
    std::vector<DetectorPhaseChange> takeChanges();

    DetectorPhase phase() const;
    /// 0 if trusted. Higher values are worse; rotation() ranks suspect endpoints by severity.
    std::uint32_t severity() const;
    const std::string &rule() const;
    /// True if the endpoint is suspect because of failed requests, or in the trial that follows.
    bool failsRequests() const;
    /// Share of requests in percent: 100 if trusted or held by the floor; 25, 50 and 75 in the
    /// steps of Ramp; otherwise 0. The owner publishes at least 50 for Trial and Ramp.
    std::uint32_t rampPercent() const;
    /// True if a probe is due. Mode Gray probes an idle endpoint, and a suspect one after the
    /// recovery delay; mode Probes probes once per second.
    bool isProbeDue(TimePoint now) const;
    /// True if the phase allows another request to start. Trial admits idempotent requests, or any
    /// if none started within 30 s: the next one when the previous one has ended or has been open
    /// for 500 ms, and at most four at a time.
    bool admits(bool idempotent, const TrialLoad &trial, TimePoint now) const;
    /// Time from the start of a suspicion to its trial; nothing if a passed probe starts the trial.
    std::optional<Duration> trialDelay() const;
    /// Rule that raised the last suspicion.
    const std::string &suspicionRule() const { return m_suspicionRule; }
    /// Number of suspicions so far.
    std::uint32_t suspicionCount() const { return m_suspicionCount; }
    /// Start of the current phase.
    TimePoint phaseSince() const { return m_phaseSince; }
    /// Usual time to first byte at the other endpoints, or at this one if gates have not reported
    /// the times of others; zero if unknown.
    Duration usualFirstByte(RequestClass requestClass, const std::string &route,
                            TimePoint now) const;
    /// True if the response to the request \a id has not begun although it is long overdue. False
    /// for a request that started during a cold start.
    bool isSilent(const RequestId &id, TimePoint now) const;
    /// Median time to first byte for \a requestClass at this endpoint; zero if unknown.
    Duration median(RequestClass requestClass) const;

    /// Sets whether the floor retains the endpoint in rotation although it is suspect. While it
    /// does, admits() and rampPercent() are unrestricted. Otherwise the owner could reduce the
    /// capacity below the floor.
    void setHeldByFloor(bool held);
    /// True in a trial that admits requests without restriction, because the floor needs the slots.
    bool isOpenedByFloor() const;

private:
    /// Index into m_baselines for a class and route.
    using BaselineIndex = std::size_t;

    struct InFlight
    {
        RequestId id;
        RequestClass requestClass = RequestClass::Short;
        BaselineIndex baselineIndex = 0;
        TimePoint started;
        bool hasFirstByte = false;
        bool isExemptFromLatencyChecks =
                false; ///< started during a cold start or before the last phase change
        bool isCountedAsStall = false; ///< already part of m_stallEvidence
    };
    /// CUSUM test: sum of log-likelihood ratios with a lower bound of zero.
    struct CusumStatistic
    {
        double sum = 0;
        std::uint32_t contributions = 0; ///< since the sum was last zero
        void add(double ratio);
    };
    /// Time to first byte, or the age at which a request timed out without one.
    struct LatencySample
    {
        double us = 0;
        double baselineUs = 0; ///< at the time of recording
        BaselineIndex baselineIndex = 0;
        bool hasFirstByte = false;
    };
    /// Recent times to first byte of one class.
    struct FirstByteTimes
    {
        static constexpr std::size_t Size = 32;
        std::array<std::uint32_t, Size> us {};
        std::size_t count = 0;
    };

    void recordOutcome(const InFlight &request, RequestOutcome outcome, TimePoint now);
    void recordTrialOutcome(RequestOutcome outcome, double slowdownFactor, TimePoint now);
    void recordLatency(const InFlight &request, bool hasFirstByte, TimePoint now);
    void evaluateLatency(TimePoint now);
    /// Evidence from requests in flight against the current baselines. Also updates
    /// m_stallEvidence.
    double scoreInFlight(TimePoint now);
    /// Recomputes m_slowdownEvidence and m_stallEvidence with conservativeBaselineUs() and returns
    /// the evidence from requests in flight.
    double rescoreLatency(TimePoint now);
    double inFlightEvidence(const InFlight &request, double baselineUs, TimePoint now) const;
    /// Index of the baseline of the route, which is added if there is room.
    BaselineIndex baselineIndexOf(RequestClass requestClass, const std::string &route);
    /// The same without adding one: that of the class if the route has none.
    BaselineIndex findBaseline(RequestClass requestClass, const std::string &route) const;
    /// Log-likelihood ratio of one sample for a slow endpoint.
    static double slowdownEvidence(const LatencySample &sample, double baselineUs);
    /// Age of \a request in units of the baseline; 1 if there is no baseline.
    double slowdownFactor(const InFlight &request, TimePoint now) const;
    void suspect(const std::string &rule, std::uint32_t severity,
                 std::vector<DetectorFigure> figures, TimePoint now, bool isCausedByErrors = false);
    void changeTo(DetectorPhase phase, const std::string &rule, std::vector<DetectorFigure> figures,
                  TimePoint now);
    void clearEvidence();
    /// Threshold in the current phase: at most RecoveryThreshold unless trusted.
    double effectiveThreshold(double threshold) const;

    DetectionMode m_mode;
    DetectorPolicy m_policy;
    DetectorPhase m_phase = DetectorPhase::Trusted;
    std::string m_rule;
    std::string m_suspicionRule;
    std::uint32_t m_suspicionCount = 0;
    std::uint32_t m_severity = 0;
    bool m_failsRequests = false; ///< the last suspicion was because of errors
    bool m_isHeldByFloor = false;
    std::vector<DetectorPhaseChange> m_changes;

    std::vector<InFlight> m_inFlight; ///< bounded by the slots, so linear search is cheap
    std::vector<LatencyBaseline> m_baselines; ///< the first two are for the classes without a route
    std::unordered_map<std::string, BaselineIndex> m_routeBaselines; ///< by class and route
    std::array<FirstByteTimes, 2> m_firstByteTimes;
    std::array<LatencySample, 64> m_latencySamples; ///< ring buffer
    std::size_t m_latencySampleCount = 0;
    /// Time since which the latency evidence is above its threshold.
    std::optional<TimePoint> m_aboveThresholdSince;
    CusumStatistic m_slowdownEvidence;
    CusumStatistic m_stallEvidence;
    CusumStatistic m_errorEvidence;

    TimePoint m_coldUntil = TimePoint::min();
    TimePoint m_phaseSince;
    TimePoint m_lastRequestActivity = TimePoint::min(); ///< last start or end of a request
    TimePoint m_lastProbe = TimePoint::min();
    /// Time in Suspect before the first probe, or before the trial if the policy has no probes;
    /// doubles for a flapping endpoint.
    Duration m_recoveryDelay;
    std::uint32_t m_probeFailures = 0; ///< consecutive
    std::uint32_t m_probePasses = 0; ///< consecutive
    std::uint32_t m_consecutiveErrors = 0; ///< for DetectionMode::ConsecutiveErrors
    std::uint32_t m_trialStarted = 0;
    std::uint32_t m_trialPassed = 0;
    std::uint32_t m_trialSlow = 0;
    std::uint32_t m_rampStep = 0;
    bool m_trialAdmitsNonIdempotent = false;
    /// The endpoint has not been in phase Trusted for BackoffResetTime since its last suspicion.
    bool m_wasSuspectRecently = false;
};

} // namespace berylspur
