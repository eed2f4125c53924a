// Gray failure detection from real requests, and the return into the rotation.
//
// The test statistic is the logarithm of the latency over the baseline, which is the median of the
// other endpoints. Service times are modelled as log-normal.
#include "berylspur/owner/gray_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylspur {

namespace {

/// Log-likelihood ratio at which an endpoint becomes suspect. In the model, exp(18), about 6e7,
/// requests pass between two false positives.
constexpr double SuspicionThreshold = 18;
/// Threshold during recovery. It is lower because a recently suspect endpoint is more likely to be
/// faulty.
constexpr double RecoveryThreshold = 8;

/// Slowdown test: a latency of NeutralSlowdown times the baseline contributes zero, so hosts that
/// are up to twice as slow as others do not become suspect. LogTestedSlowdown divided by the
/// variance is the contribution per unit of the logarithm, as in the log-likelihood ratio for a
/// slowdown by a factor of 3. The variance is 1: p99 is 10 times the median.
constexpr double NeutralSlowdown = 2.0;
constexpr double LogTestedSlowdown = 1.1; // ln 3
/// Bounds for the contribution of one request, so that no single request makes an endpoint suspect.
constexpr double MaxSlowdownEvidence = 4;
constexpr double MinSlowdownEvidence = -3;

/// Stall test: 0.3% of requests to a healthy endpoint exceed StallFactor times the baseline.
constexpr double StallFactor = 16;
constexpr double StallEvidence = 3.5; // ln(0.1 / 0.003)
constexpr double NoStallEvidence = -0.1; // ln(0.9 / 0.997)

/// Test of requests in flight. A request is observed more often the longer it takes, which
/// InFlightAgeBias compensates. The limit per request is below the threshold of the default policy,
/// so a single request can't make a trusted endpoint suspect there. During recovery, where the
/// threshold is RecoveryThreshold, it can.
constexpr double InFlightAgeBias = 2;
constexpr double MaxInFlightEvidence = 8;

/// Time for which the evidence must stay above the threshold. If the whole service slows down, the
/// baselines sent with dispatches follow within this time, and recent samples are scored again.
constexpr Duration SlowdownConfirmation = std::chrono::milliseconds(300);
/// The same for the in-flight test, whose evidence lasts only while the requests are in flight.
constexpr Duration InFlightConfirmation = std::chrono::milliseconds(100);

/// A request without a first byte after this many times the usual time is evidence of a failure if
/// it is cancelled. Few responses of a healthy endpoint take longer.
constexpr double SilentFactor = 3;

/// Minimum age of a stall, regardless of the baseline. OS scheduling delays and garbage collection
/// pauses can take this long.
constexpr Duration MinStallAge = std::chrono::milliseconds(100);

/// Error test: an error rate of 30% against 1%.
constexpr double ErrorEvidence = 3.4;
constexpr double SuccessEvidence = -0.35;
/// For a request that times out after the first byte of its response. Lower than ErrorEvidence,
/// because the caller may read too slowly.
constexpr double IncompleteResponseEvidence = 1.7;

/// Time in phase Trusted after which the recovery delay is reset.
constexpr Duration BackoffResetTime = std::chrono::seconds(120);

constexpr Duration ProbeInterval = std::chrono::seconds(1);
constexpr Duration IdleProbeInterval = std::chrono::seconds(5);
constexpr std::uint32_t ProbeFailureThreshold = 3;

/// Time without a request in a trial after which non-idempotent requests are admitted too, one at a
/// time. Otherwise a service without idempotent requests would never pass a trial.
constexpr Duration TrialIdempotentOnlyTime = std::chrono::seconds(30);
constexpr double TrialSlowFactor = 8;
/// Time after which an open trial request no longer delays the next one. A request that hangs, or
/// waits for its own nested calls, would otherwise close the endpoint until its deadline.
constexpr Duration TrialRequestPatience = std::chrono::milliseconds(500);
/// Limits the requests that an endpoint which still hangs takes in one trial.
constexpr std::uint32_t MaxOpenTrialRequests = 4;

/// The owner publishes at least 50, so the first step has the effect of 50.
constexpr std::array<std::uint32_t, 3> RampPercents {25, 50, 75};
constexpr Duration RampStepTime = std::chrono::seconds(2);

constexpr std::uint32_t ConsecutiveErrorThreshold = 5;
constexpr Duration ConsecutiveErrorEjectionTime = std::chrono::seconds(10);

/// Maximum number of routes with a separate baseline. Other routes share that of their class.
constexpr std::size_t MaxRouteBaselines = 256;

std::size_t classIndex(RequestClass requestClass)
{
    return requestClass == RequestClass::Short ? 0 : 1;
}

std::string baselineKey(RequestClass requestClass, const std::string &route)
{
    return (requestClass == RequestClass::Short ? "s " : "l ") + route;
}

/// Negative logarithm of the probability that a request takes more than \a slowdownFactor medians.
double surprisal(double slowdownFactor, double logStdDev)
{
    const double z = std::log(slowdownFactor) / logStdDev;
    return -std::log(0.5 * std::erfc(z / std::sqrt(2.0)));
}

bool countsAsEvidence(RequestOutcome outcome)
{
    return outcome != RequestOutcome::Cancelled && outcome != RequestOutcome::DependencyFailed;
}

bool isFailure(RequestOutcome outcome)
{
    return outcome == RequestOutcome::ServerError || outcome == RequestOutcome::Reset
           || outcome == RequestOutcome::TimedOut || outcome == RequestOutcome::Silent;
}

} // namespace

void GrayDetector::CusumStatistic::add(double ratio)
{
    sum = std::max(0.0, sum + ratio);
    contributions = sum == 0 ? 0 : contributions + 1;
}

DetectorPolicy DetectorPolicy::sparse()
{
    DetectorPolicy policy;
    // Suspect after one reset, or after two server errors with at most two successful requests
    // between them.
    policy.errorThreshold = 6;
    policy.resetEvidence = 6;
    // Above a shed share of 78%. A refused request costs one repeat at another endpoint, the
    // ejection of an endpoint all its slots, and under a peak all endpoints of a service shed.
    policy.shedEvidence = 0.1;
    // p99 is 4 times the median. At three slots, an endpoint that hangs holds three requests at
    // most.
    policy.logServiceTimeStdDev = 0.6;
    policy.inFlightThreshold = 6;
    policy.initialRecoveryDelay = std::chrono::seconds(1);
    policy.maxRecoveryDelay = std::chrono::seconds(2);
    policy.requiredTrialSuccesses = 2;
    policy.probes = false;
    policy.ramp = false;
    policy.admitsWhileSuspect = false;
    return policy;
}

GrayDetector::GrayDetector(DetectionMode mode, DetectorPolicy policy)
    : m_mode(mode), m_policy(policy), m_baselines(2), m_recoveryDelay(policy.initialRecoveryDelay)
{
}

GrayDetector::BaselineIndex GrayDetector::findBaseline(RequestClass requestClass,
                                                       const std::string &route) const
{
    const auto found = m_routeBaselines.find(baselineKey(requestClass, route));
    return found != m_routeBaselines.end() ? found->second : classIndex(requestClass);
}

GrayDetector::BaselineIndex GrayDetector::baselineIndexOf(RequestClass requestClass,
                                                          const std::string &route)
{
    if (!route.empty() && m_routeBaselines.size() < MaxRouteBaselines) {
        const auto added =
                m_routeBaselines.emplace(baselineKey(requestClass, route), m_baselines.size());
        if (added.second)
            m_baselines.emplace_back();
    }
    return findBaseline(requestClass, route);
}

void GrayDetector::onRequestStarted(const RequestId &id, RequestClass requestClass, TimePoint now,
                                    const std::string &route)
{
    m_inFlight.push_back({id, requestClass, baselineIndexOf(requestClass, route), now, false,
                          now < m_coldUntil, false});
    m_lastRequestActivity = now;
    if (m_phase == DetectorPhase::Trial)
        ++m_trialStarted;
}

void GrayDetector::onFirstByte(const RequestId &id, TimePoint now)
{
    const auto request = std::find_if(m_inFlight.begin(), m_inFlight.end(),
                                      [&](const InFlight &entry) { return entry.id == id; });
    if (request == m_inFlight.end() || request->hasFirstByte)
        return;
    request->hasFirstByte = true;
    FirstByteTimes &samples = m_firstByteTimes[classIndex(request->requestClass)];
    samples.us[samples.count++ % FirstByteTimes::Size] = static_cast<std::uint32_t>(
            std::clamp<std::int64_t>((now - request->started).count(), 1, UINT32_MAX));
    if (m_mode == DetectionMode::Gray)
        recordLatency(*request, true, now);
}

void GrayDetector::onRequestFinished(const RequestId &id, RequestOutcome outcome, TimePoint now)
{
    if (outcome == RequestOutcome::Answered)
        onFirstByte(id, now);
    const auto found = std::find_if(m_inFlight.begin(), m_inFlight.end(),
                                    [&](const InFlight &entry) { return entry.id == id; });
    if (found == m_inFlight.end())
        return;
    const InFlight request = *found;
    *found = m_inFlight.back();
    m_inFlight.pop_back();
    m_lastRequestActivity = now;
    if (m_mode == DetectionMode::Gray) {
        recordOutcome(request, outcome, now);
    } else if (m_mode == DetectionMode::ConsecutiveErrors && countsAsEvidence(outcome)) {
        m_consecutiveErrors = isFailure(outcome) ? m_consecutiveErrors + 1 : 0;
        if (m_consecutiveErrors >= ConsecutiveErrorThreshold && m_phase == DetectorPhase::Trusted)
            suspect("consecutive-errors", 100, {{"errors in a row", double(m_consecutiveErrors)}},
                    now);
    }
}

void GrayDetector::addBaselineSample(RequestClass requestClass, Duration time, TimePoint now,
                                     const std::string &route)
{
    if (time <= Duration::zero())
        return;
    m_baselines[baselineIndexOf(requestClass, route)].add(time, now);
}

void GrayDetector::recordProbe(bool passed, TimePoint now)
{
    m_lastProbe = now;
    m_probeFailures = passed ? 0 : m_probeFailures + 1;
    m_probePasses = passed ? m_probePasses + 1 : 0;
    if (m_mode == DetectionMode::ConsecutiveErrors)
        return;
    if (m_phase == DetectorPhase::Suspect && passed) {
        if (m_mode == DetectionMode::Probes && m_probePasses >= 2)
            changeTo(DetectorPhase::Trusted, "probes-passed", {}, now);
        else if (m_mode == DetectionMode::Gray && now - m_phaseSince >= m_recoveryDelay)
            changeTo(DetectorPhase::Trial, "probe-passed",
                     {{"delay s", toMs(m_recoveryDelay) / 1e3}}, now);
    } else if (m_phase != DetectorPhase::Suspect && m_probeFailures >= ProbeFailureThreshold) {
        suspect("probes-failed", 90, {{"failed probes", double(m_probeFailures)}}, now);
    }
}

void GrayDetector::setColdUntil(TimePoint until)
{
    m_coldUntil = until;
}

void GrayDetector::tick(TimePoint now)
{
    if (m_mode == DetectionMode::ConsecutiveErrors) {
        if (m_phase == DetectorPhase::Suspect && now - m_phaseSince >= ConsecutiveErrorEjectionTime)
            changeTo(DetectorPhase::Trusted, "ejection-ended", {}, now);
        return;
    }
    if (m_mode != DetectionMode::Gray)
        return;
    evaluateLatency(now);
    if (m_phase == DetectorPhase::Suspect && !m_policy.probes
        && now - m_phaseSince >= m_recoveryDelay)
        changeTo(DetectorPhase::Trial, "delay-ended", {{"delay ms", double(toMs(m_recoveryDelay))}},
                 now);
    if (m_phase == DetectorPhase::Ramp && now - m_phaseSince >= (m_rampStep + 1) * RampStepTime) {
        if (++m_rampStep >= RampPercents.size())
            changeTo(DetectorPhase::Trusted, "ramp-complete", {}, now);
    }
    if (m_phase == DetectorPhase::Trusted && now - m_phaseSince >= BackoffResetTime) {
        m_recoveryDelay = m_policy.initialRecoveryDelay;
        m_wasSuspectRecently = false;
    }
    m_trialAdmitsNonIdempotent =
            m_phase == DetectorPhase::Trial
            && (m_trialAdmitsNonIdempotent
                || (m_trialStarted == 0 && now - m_phaseSince >= TrialIdempotentOnlyTime));
}

std::vector<DetectorPhaseChange> GrayDetector::takeChanges()
{
    return std::exchange(m_changes, {});
}

DetectorPhase GrayDetector::phase() const
{
    return m_phase;
}

std::uint32_t GrayDetector::severity() const
{
    return m_severity;
}

bool GrayDetector::failsRequests() const
{
    return m_severity > 0 && m_failsRequests;
}

const std::string &GrayDetector::rule() const
{
    return m_rule;
}

std::uint32_t GrayDetector::rampPercent() const
{
    if (m_isHeldByFloor)
        return 100;
    switch (m_phase) {
    case DetectorPhase::Trusted:
        return 100;
    case DetectorPhase::Ramp:
        return RampPercents[std::min<std::size_t>(m_rampStep, RampPercents.size() - 1)];
    case DetectorPhase::Suspect:
    case DetectorPhase::Trial:
        break;
    }
    return 0;
}

bool GrayDetector::isProbeDue(TimePoint now) const
{
    if (m_mode == DetectionMode::ConsecutiveErrors || !m_policy.probes)
        return false;
    const bool due = m_lastProbe == TimePoint::min() || now - m_lastProbe >= ProbeInterval;
    if (m_mode == DetectionMode::Probes)
        return due;
    if (m_phase == DetectorPhase::Suspect)
        return due && now - m_phaseSince >= m_recoveryDelay;
    const TimePoint last = std::max(m_lastRequestActivity, m_lastProbe);
    const bool failing = m_probeFailures > 0;
    return m_inFlight.empty()
           && (last == TimePoint::min() || now - last >= IdleProbeInterval || (failing && due));
}

bool GrayDetector::admits(bool idempotent, const TrialLoad &trial, TimePoint now) const
{
    if (m_isHeldByFloor)
        return true;
    // Gates learn of a suspicion slightly later than the owner.
    if (m_phase == DetectorPhase::Suspect)
        return m_policy.admitsWhileSuspect;
    if (m_phase != DetectorPhase::Trial)
        return true;
    if (!idempotent && !m_trialAdmitsNonIdempotent)
        return false;
    return trial.open == 0
           || (trial.open < MaxOpenTrialRequests
               && now - trial.lastAdmitted >= TrialRequestPatience);
}

std::optional<Duration> GrayDetector::trialDelay() const
{
    if (m_mode != DetectionMode::Gray || m_policy.probes)
        return std::nullopt;
    return m_recoveryDelay;
}

Duration GrayDetector::usualFirstByte(RequestClass requestClass, const std::string &route,
                                      TimePoint now) const
{
    const double us = m_baselines[findBaseline(requestClass, route)].conservativeUs(now);
    if (us > 0)
        return Duration(static_cast<Duration::rep>(us));
    const bool hasOwnSamples =
            m_firstByteTimes[classIndex(requestClass)].count >= LatencyBaseline::MinSamples;
    return hasOwnSamples ? median(requestClass) : Duration::zero();
}

bool GrayDetector::isSilent(const RequestId &id, TimePoint now) const
{
    const auto request = std::find_if(m_inFlight.begin(), m_inFlight.end(),
                                      [&](const InFlight &entry) { return entry.id == id; });
    if (request == m_inFlight.end() || request->hasFirstByte || request->started < m_coldUntil)
        return false;
    const double usualUs = m_baselines[request->baselineIndex].conservativeUs(now);
    const Duration age = now - request->started;
    return usualUs > 0 && age >= MinStallAge
           && static_cast<double>(age.count()) >= SilentFactor * usualUs;
}

Duration GrayDetector::median(RequestClass requestClass) const
{
    const FirstByteTimes &samples = m_firstByteTimes[classIndex(requestClass)];
    const std::size_t count = std::min(samples.count, FirstByteTimes::Size);
    if (count == 0)
        return Duration::zero();
    auto sorted = samples.us;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(count));
    return Duration(*middle);
}

void GrayDetector::setHeldByFloor(bool held)
{
    m_isHeldByFloor = held;
}

bool GrayDetector::isOpenedByFloor() const
{
    return m_isHeldByFloor && m_phase == DetectorPhase::Trial;
}

void GrayDetector::recordOutcome(const InFlight &request, RequestOutcome outcome, TimePoint now)
{
    // Requests that started before the last phase change are no evidence for the current phase.
    if (!countsAsEvidence(outcome) || request.started < m_phaseSince)
        return;
    switch (outcome) {
    case RequestOutcome::Answered:
        m_errorEvidence.add(SuccessEvidence);
        break;
    case RequestOutcome::ServerError:
    case RequestOutcome::Silent:
        m_errorEvidence.add(ErrorEvidence);
        break;
    case RequestOutcome::Reset:
        m_errorEvidence.add(m_policy.resetEvidence);
        break;
    case RequestOutcome::Shed:
        m_errorEvidence.add(m_policy.shedEvidence);
        break;
    case RequestOutcome::TimedOut:
        // The deadline may have been short, so only the elapsed time counts, as a latency sample.
        if (!request.hasFirstByte)
            recordLatency(request, false, now);
        else
            m_errorEvidence.add(IncompleteResponseEvidence);
        break;
    case RequestOutcome::Cancelled:
    case RequestOutcome::DependencyFailed:
        break;
    }
    if (m_phase == DetectorPhase::Trial) {
        recordTrialOutcome(outcome, slowdownFactor(request, now), now);
        return;
    }
    if (m_phase != DetectorPhase::Suspect
        && m_errorEvidence.sum >= effectiveThreshold(m_policy.errorThreshold)) {
        suspect("errors", 80,
                {{"evidence", m_errorEvidence.sum},
                 {"requests", double(m_errorEvidence.contributions)}},
                now, true);
    }
}

void GrayDetector::recordTrialOutcome(RequestOutcome outcome, double slowdownFactor, TimePoint now)
{
    if (outcome != RequestOutcome::Answered) {
        if (isFailure(outcome))
            suspect("trial-failed", 70, {{"passed", double(m_trialPassed)}}, now, true);
        return;
    }
    ++m_trialPassed;
    m_trialSlow += slowdownFactor > TrialSlowFactor ? 1 : 0;
    // A healthy endpoint has one slow request in five now and then, but rarely two.
    if (m_trialSlow >= 2) {
        suspect("trial-slow", 70, {{"slow", double(m_trialSlow)}}, now);
    } else if (m_trialPassed >= m_policy.requiredTrialSuccesses) {
        changeTo(m_policy.ramp ? DetectorPhase::Ramp : DetectorPhase::Trusted, "trial-passed",
                 {{"requests", double(m_trialPassed)}}, now);
    }
}

void GrayDetector::recordLatency(const InFlight &request, bool hasFirstByte, TimePoint now)
{
    const double baselineUs = m_baselines[request.baselineIndex].us();
    if (baselineUs == 0 || request.isExemptFromLatencyChecks)
        return;
    const double us = std::max<double>(1, static_cast<double>((now - request.started).count()));
    const LatencySample sample {us, baselineUs, request.baselineIndex, hasFirstByte};
    m_latencySamples[m_latencySampleCount++ % m_latencySamples.size()] = sample;
    m_slowdownEvidence.add(slowdownEvidence(sample, baselineUs));
    if (!request.isCountedAsStall && us < StallFactor * baselineUs)
        m_stallEvidence.add(NoStallEvidence);
}

double GrayDetector::slowdownEvidence(const LatencySample &sample, double baselineUs)
{
    const double ratio = LogTestedSlowdown * std::log(sample.us / baselineUs / NeutralSlowdown);
    // The latency of a request without a first byte is only a lower bound.
    return std::clamp(ratio, sample.hasFirstByte ? MinSlowdownEvidence : 0, MaxSlowdownEvidence);
}

double GrayDetector::rescoreLatency(TimePoint now)
{
    std::vector<double> conservative;
    for (const LatencyBaseline &baseline : m_baselines)
        conservative.push_back(baseline.conservativeUs(now));
    m_slowdownEvidence = m_stallEvidence = {};
    const std::size_t count = std::min(m_latencySampleCount, m_latencySamples.size());
    for (std::size_t i = m_latencySampleCount - count; i < m_latencySampleCount; ++i) {
        const LatencySample &sample = m_latencySamples[i % m_latencySamples.size()];
        const double baselineUs = std::max(sample.baselineUs, conservative[sample.baselineIndex]);
        m_slowdownEvidence.add(slowdownEvidence(sample, baselineUs));
        const bool isStall = sample.us >= StallFactor * baselineUs;
        m_stallEvidence.add(isStall ? StallEvidence : NoStallEvidence);
    }
    double inFlight = 0;
    for (const InFlight &request : m_inFlight)
        inFlight += inFlightEvidence(request, conservative[request.baselineIndex], now);
    return inFlight;
}

double GrayDetector::scoreInFlight(TimePoint now)
{
    double evidence = 0;
    for (InFlight &request : m_inFlight) {
        const double baselineUs = m_baselines[request.baselineIndex].us();
        const double share = inFlightEvidence(request, baselineUs, now);
        evidence += share;
        if (share > 0 && !request.isCountedAsStall && slowdownFactor(request, now) >= StallFactor) {
            request.isCountedAsStall = true;
            m_stallEvidence.add(StallEvidence);
        }
    }
    return evidence;
}

double GrayDetector::inFlightEvidence(const InFlight &request, double baselineUs,
                                      TimePoint now) const
{
    const Duration age = now - request.started;
    if (request.hasFirstByte || request.isExemptFromLatencyChecks || age < MinStallAge
        || baselineUs == 0)
        return 0;
    const double factor = static_cast<double>(age.count()) / baselineUs;
    return std::clamp(surprisal(factor, m_policy.logServiceTimeStdDev) - InFlightAgeBias, 0.0,
                      MaxInFlightEvidence);
}

void GrayDetector::evaluateLatency(TimePoint now)
{
    double inFlight = scoreInFlight(now);
    // m_slowdownEvidence does not include requests in flight, so both are added.
    const auto maxEvidence = [&] {
        return std::max(m_stallEvidence.sum, m_slowdownEvidence.sum + inFlight);
    };
    const auto isBelowThreshold = [&] {
        return maxEvidence() < effectiveThreshold(SuspicionThreshold)
               && inFlight < effectiveThreshold(m_policy.inFlightThreshold);
    };
    // recordTrialOutcome() handles slow requests in a trial. Only stalls can end it here.
    if (m_phase == DetectorPhase::Trial)
        m_slowdownEvidence = {};
    if (m_phase == DetectorPhase::Suspect || isBelowThreshold()) {
        m_aboveThresholdSince.reset();
        return;
    }
    if (!m_aboveThresholdSince)
        m_aboveThresholdSince = now;
    const bool isInFlightAboveThreshold =
            inFlight >= effectiveThreshold(m_policy.inFlightThreshold);
    if (now - *m_aboveThresholdSince
        < (isInFlightAboveThreshold ? InFlightConfirmation : SlowdownConfirmation))
        return;
    m_aboveThresholdSince.reset();
    inFlight = rescoreLatency(now);
    if (isBelowThreshold())
        return;
    const bool isSlow = m_slowdownEvidence.sum >= std::max(m_stallEvidence.sum, inFlight);
    // "stalled": requests in flight now; "stalls": accumulated over recent requests.
    const char *rule = isSlow ? "slow" : inFlight >= m_stallEvidence.sum ? "stalled" : "stalls";
    Duration oldest {};
    for (const InFlight &request : m_inFlight) {
        if (!request.hasFirstByte)
            oldest = std::max(oldest, now - request.started);
    }
    // The median and the baseline are those of short requests (the baseline: without a route),
    // whichever class or route caused the suspicion.
    suspect(rule, isSlow ? 60 : 100,
            {{"evidence", maxEvidence()},
             {"requests in flight", static_cast<double>(m_inFlight.size())},
             {"oldest ms", static_cast<double>(toMs(oldest))},
             {"median ms", static_cast<double>(toMs(median(RequestClass::Short)))},
             {"baseline ms", m_baselines[0].us() / 1e3}},
            now);
}

double GrayDetector::slowdownFactor(const InFlight &request, TimePoint now) const
{
    const double baselineUs = m_baselines[request.baselineIndex].us();
    const double us = std::max<double>(1, static_cast<double>((now - request.started).count()));
    return baselineUs == 0 ? 1 : us / baselineUs;
}

void GrayDetector::suspect(const std::string &rule, std::uint32_t severity,
                           std::vector<DetectorFigure> figures, TimePoint now,
                           bool isCausedByErrors)
{
    if (m_phase == DetectorPhase::Suspect)
        return;
    // Each suspicion soon after the previous one doubles the recovery delay.
    if (m_phase == DetectorPhase::Trial || m_phase == DetectorPhase::Ramp || m_wasSuspectRecently)
        m_recoveryDelay = std::min(m_policy.maxRecoveryDelay, 2 * m_recoveryDelay);
    m_wasSuspectRecently = true;
    m_severity = severity;
    m_failsRequests = isCausedByErrors;
    m_suspicionRule = rule;
    ++m_suspicionCount;
    changeTo(DetectorPhase::Suspect, rule, std::move(figures), now);
    m_changes.back().isCausedByErrors = isCausedByErrors;
}

void GrayDetector::changeTo(DetectorPhase phase, const std::string &rule,
                            std::vector<DetectorFigure> figures, TimePoint now)
{
    m_changes.push_back({m_phase, phase, rule, std::move(figures)});
    m_phase = phase;
    m_phaseSince = now;
    m_rule = rule;
    clearEvidence();
    m_trialStarted = m_trialPassed = m_trialSlow = m_rampStep = 0;
    m_trialAdmitsNonIdempotent = false;
    m_consecutiveErrors = 0;
    if (phase == DetectorPhase::Trusted || phase == DetectorPhase::Ramp)
        m_severity = 0;
}

void GrayDetector::clearEvidence()
{
    m_slowdownEvidence = m_stallEvidence = m_errorEvidence = {};
    m_latencySampleCount = 0;
    m_aboveThresholdSince.reset();
    // Requests that started before the phase change have already contributed to it.
    for (InFlight &request : m_inFlight)
        request.isExemptFromLatencyChecks = true;
}

double GrayDetector::effectiveThreshold(double threshold) const
{
    return m_phase == DetectorPhase::Trusted ? threshold : std::min(threshold, RecoveryThreshold);
}

} // namespace berylspur
