// Detection of gray failures from real requests, and the way back into the rotation.
//
// A request is judged by the logarithm of its time over the baseline, the median of the other
// endpoints. Service times are modelled as log-normal with Spread as standard deviation; the model
// is wider than measured services, so false suspicion is rarer than the model says.
#include "berylspur/owner/gray_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylspur {

namespace {

/// Standard deviation of the logarithm of service times in the model. A service with a spread of
/// 0.8 has a p99 of 6.4 medians; the model allows 10.
constexpr double Spread = 1.0;

/// Evidence (natural logarithm of a likelihood ratio) that suspects an endpoint. exp(18) is about
/// 6e7 requests between two false alarms in the model.
constexpr double Threshold = 18;
/// After an ejection less evidence suffices: the prior is no longer that the endpoint is healthy.
constexpr double RampThreshold = 8;

/// Test of slowness: a time of NeutralSlowness medians moves the sum neither way, so that hosts up
/// to twice as slow as the others are not suspected; SlowStep scales the sum.
constexpr double NeutralSlowness = 2.0;
constexpr double SlowStep = 1.1; // ln 3
/// Bounds of what one request contributes, so that no single request decides.
constexpr double MostSlowPerRequest = 4;
constexpr double LeastSlowPerRequest = -3;

/// Test of single stalls: an age of StallSlowness medians is expected in 0.3% of requests.
constexpr double StallSlowness = 16;
constexpr double StallHit = 3.5; // ln(0.1 / 0.003)
constexpr double StallMiss = -0.1; // ln(0.9 / 0.997)

/// Test of requests in flight. Those seen in flight are older than requests on average;
/// InFlightBias allows for it. The cap means that at least three requests must agree.
constexpr double InFlightBias = 2;
constexpr double MostPerInFlight = 8;
constexpr double InFlightThreshold = 12;

/// Time for which the evidence must last. When the whole service slows down, the baselines that
/// dispatches carry follow within this time, and the recent requests are judged again by them.
constexpr Duration Confirmation = std::chrono::milliseconds(300);
/// The same for requests in flight alone, which count only while they are still in flight.
constexpr Duration StallConfirmation = std::chrono::milliseconds(100);

/// Ages below this are no stall, whatever the median: pauses of a host's scheduler or of a garbage
/// collector are that long.
constexpr Duration LeastStall = std::chrono::milliseconds(100);
/// Baselines below this are raised to it, for the same reason.
constexpr double LeastBaselineUs = 5000;

/// A baseline is the median of the values that the last dispatches carried, at least this many.
constexpr std::size_t LeastBaselineValues = 4;
/// Older values are not used: the service may have changed while this endpoint was idle.
constexpr Duration BaselineTerm = std::chrono::seconds(30);
/// Values received within this time show what the other endpoints did just now.
constexpr Duration RecentBaseline = std::chrono::milliseconds(400);

/// Test of errors: 30% errors against 1%.
constexpr double ErrorHit = 3.4;
constexpr double ErrorMiss = -0.35;
/// A response that stalls after its first byte may also be a slow reader's.
constexpr double CutHit = 1.7;
/// An endpoint that sheds now and then controls its load; one that sheds nearly all is not serving.
constexpr double ShedHit = 0.6;

/// Trusted for this long: the delay starts from the first one again.
constexpr Duration FlapMemory = std::chrono::seconds(120);

constexpr Duration ProbeInterval = std::chrono::seconds(1);
constexpr Duration IdleProbeInterval = std::chrono::seconds(5);
constexpr std::uint32_t ProbeFailures = 3;

/// A service without idempotent requests would never pass a trial; after this long without a
/// request in the trial any request is admitted, still one at a time.
constexpr Duration TrialPatience = std::chrono::seconds(30);
constexpr double TrialSlowness = 8;

constexpr std::array<std::uint32_t, 3> RampSteps {25, 50, 75};
constexpr Duration RampStep = std::chrono::seconds(2);

constexpr std::uint32_t ConsecutiveErrors = 5;
constexpr Duration ConsecutiveEjection = std::chrono::seconds(10);

/// Routes with a baseline of their own; the others share that of their class.
constexpr std::size_t MaxKinds = 256;

std::size_t indexOf(WorkClass workClass)
{
    return workClass == WorkClass::Short ? 0 : 1;
}

/// Negative logarithm of the share of requests that take more than \a slowness medians.
double surprise(double slowness)
{
    const double z = std::log(slowness) / Spread;
    return -std::log(0.5 * std::erfc(z / std::sqrt(2.0)));
}

bool isEvidence(WorkOutcome outcome)
{
    return outcome != WorkOutcome::Cancelled && outcome != WorkOutcome::DependencyFailed;
}

bool isFailure(WorkOutcome outcome)
{
    return outcome == WorkOutcome::ServerError || outcome == WorkOutcome::Reset
           || outcome == WorkOutcome::TimedOut;
}

} // namespace

void GrayDetector::Evidence::add(double ratio)
{
    sum = std::max(0.0, sum + ratio);
    events = sum == 0 ? 0 : events + 1;
}

DetectorPolicy DetectorPolicy::sparse()
{
    DetectorPolicy policy;
    // One reset, or two errors within about ten requests.
    policy.errorThreshold = 6;
    policy.resetHit = 6;
    policy.firstDelay = std::chrono::seconds(1);
    policy.longestDelay = std::chrono::seconds(2);
    policy.trialRequests = 2;
    policy.probes = false;
    policy.ramp = false;
    policy.admitsSuspect = false;
    return policy;
}

GrayDetector::GrayDetector(DetectionMode mode, DetectorPolicy policy)
    : m_mode(mode), m_policy(policy), m_baselines(2), m_delay(policy.firstDelay)
{
}

GrayDetector::Kind GrayDetector::kindOf(WorkClass workClass, const std::string &route)
{
    if (route.empty())
        return indexOf(workClass);
    const auto key = (workClass == WorkClass::Short ? "s " : "l ") + route;
    const auto found = m_kinds.find(key);
    if (found != m_kinds.end())
        return found->second;
    if (m_kinds.size() >= MaxKinds)
        return indexOf(workClass);
    m_baselines.emplace_back();
    m_kinds.emplace(key, m_baselines.size() - 1);
    return m_baselines.size() - 1;
}

void GrayDetector::started(const RequestId &id, WorkClass workClass, TimePoint now,
                           const std::string &route)
{
    m_inFlight.push_back(
            {id, workClass, kindOf(workClass, route), now, false, now < m_coldUntil, false});
    m_lastWork = now;
    if (m_phase == DetectorPhase::Trial)
        ++m_trialStarted;
}

void GrayDetector::firstByte(const RequestId &id, TimePoint now)
{
    const auto request = std::find_if(m_inFlight.begin(), m_inFlight.end(),
                                      [&](const InFlight &entry) { return entry.id == id; });
    if (request == m_inFlight.end() || request->answering)
        return;
    request->answering = true;
    Samples &samples = m_samples[indexOf(request->workClass)];
    samples.us[samples.count++ % Samples::Size] = static_cast<std::uint32_t>(
            std::clamp<std::int64_t>((now - request->started).count(), 1, UINT32_MAX));
    if (m_mode == DetectionMode::Gray)
        judgeTime(*request, true, now);
}

void GrayDetector::finished(const RequestId &id, WorkOutcome outcome, TimePoint now)
{
    if (outcome == WorkOutcome::Answered)
        firstByte(id, now);
    const auto found = std::find_if(m_inFlight.begin(), m_inFlight.end(),
                                    [&](const InFlight &entry) { return entry.id == id; });
    if (found == m_inFlight.end())
        return;
    const InFlight request = *found;
    *found = m_inFlight.back();
    m_inFlight.pop_back();
    m_lastWork = now;
    if (m_mode == DetectionMode::Gray) {
        finishGray(request, outcome, now);
    } else if (m_mode == DetectionMode::ConsecutiveErrors && isEvidence(outcome)) {
        m_errorsInRow = isFailure(outcome) ? m_errorsInRow + 1 : 0;
        if (m_errorsInRow >= ConsecutiveErrors && m_phase == DetectorPhase::Trusted)
            suspect("consecutive-errors", 100, {{"errors in a row", double(m_errorsInRow)}}, now);
    }
}

void GrayDetector::baseline(WorkClass workClass, Duration time, TimePoint now,
                            const std::string &route)
{
    if (time <= Duration::zero())
        return;
    Baseline &baseline = m_baselines[kindOf(workClass, route)];
    const auto us = static_cast<double>(time.count());
    // A gate repeats its last sample until it has another. The repeat shows that no newer one is
    // known, but counting it every time would take a few samples for a sound median.
    Baseline::Value *repeated = nullptr;
    std::size_t repeats = 0;
    std::size_t others = 0;
    for (std::size_t i = 0; i < std::min(baseline.count, Baseline::Size); ++i) {
        Baseline::Value &value = baseline.received[i];
        if (value.us != us) {
            others += value.time >= now - BaselineTerm ? 1 : 0;
            continue;
        }
        ++repeats;
        if (!repeated || value.time < repeated->time)
            repeated = &value;
    }
    // A service whose times are all equal needs repeats to have a median at all.
    const std::size_t most =
            std::max<std::size_t>(1, LeastBaselineValues - std::min(others, LeastBaselineValues));
    if (repeats >= most)
        repeated->time = now;
    else
        baseline.received[baseline.count++ % Baseline::Size] = {us, now};
    baseline.us = baseline.median(now - BaselineTerm);
}

double GrayDetector::Baseline::median(TimePoint since) const
{
    std::array<double, Size> values {};
    std::size_t used = 0;
    for (std::size_t i = 0; i < std::min(count, Size); ++i) {
        if (received[i].time >= since)
            values[used++] = received[i].us;
    }
    if (used < LeastBaselineValues)
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(used / 2);
    std::nth_element(values.begin(), middle, values.begin() + static_cast<std::ptrdiff_t>(used));
    return std::max(LeastBaselineUs, *middle);
}

double GrayDetector::strictBaselineUs(Kind kind, TimePoint now) const
{
    const Baseline &baseline = m_baselines[kind];
    return std::max(baseline.us, baseline.median(now - RecentBaseline));
}

void GrayDetector::probed(bool passed, TimePoint now)
{
    m_lastProbe = now;
    m_probeFailures = passed ? 0 : m_probeFailures + 1;
    m_probePasses = passed ? m_probePasses + 1 : 0;
    if (m_mode == DetectionMode::ConsecutiveErrors)
        return;
    if (m_phase == DetectorPhase::Suspect && passed) {
        if (m_mode == DetectionMode::Probes && m_probePasses >= 2)
            changeTo(DetectorPhase::Trusted, "probes-passed", {}, now);
        else if (m_mode == DetectionMode::Gray && now - m_phaseSince >= m_delay)
            changeTo(DetectorPhase::Trial, "probe-passed", {{"delay s", toMs(m_delay) / 1e3}}, now);
    } else if (m_phase != DetectorPhase::Suspect && m_probeFailures >= ProbeFailures) {
        suspect("probes-failed", 90, {{"failed probes", double(m_probeFailures)}}, now);
    }
}

void GrayDetector::coldUntil(TimePoint until)
{
    m_coldUntil = until;
}

void GrayDetector::tick(TimePoint now)
{
    if (m_mode == DetectionMode::ConsecutiveErrors) {
        if (m_phase == DetectorPhase::Suspect && now - m_phaseSince >= ConsecutiveEjection)
            changeTo(DetectorPhase::Trusted, "ejection-ended", {}, now);
        return;
    }
    if (m_mode != DetectionMode::Gray)
        return;
    judgeTimes(now);
    if (m_phase == DetectorPhase::Suspect && !m_policy.probes && now - m_phaseSince >= m_delay)
        changeTo(DetectorPhase::Trial, "delay-ended", {{"delay ms", double(toMs(m_delay))}}, now);
    if (m_phase == DetectorPhase::Ramp && now - m_phaseSince >= (m_rampStep + 1) * RampStep) {
        if (++m_rampStep >= RampSteps.size())
            changeTo(DetectorPhase::Trusted, "ramp-complete", {}, now);
    }
    if (m_phase == DetectorPhase::Trusted && now - m_phaseSince >= FlapMemory) {
        m_delay = m_policy.firstDelay;
        m_hasFlapped = false;
    }
    m_trialPatienceOver = m_phase == DetectorPhase::Trial
                          && (m_trialPatienceOver
                              || (m_trialStarted == 0 && now - m_phaseSince >= TrialPatience));
}

std::vector<DetectorChange> GrayDetector::takeChanges()
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
    if (m_heldByFloor)
        return 100;
    switch (m_phase) {
    case DetectorPhase::Trusted:
        return 100;
    case DetectorPhase::Ramp:
        return RampSteps[std::min<std::size_t>(m_rampStep, RampSteps.size() - 1)];
    case DetectorPhase::Suspect:
    case DetectorPhase::Trial:
        break;
    }
    return 0;
}

bool GrayDetector::wantsProbe(TimePoint now) const
{
    if (m_mode == DetectionMode::ConsecutiveErrors || !m_policy.probes)
        return false;
    const bool due = m_lastProbe == TimePoint::min() || now - m_lastProbe >= ProbeInterval;
    if (m_mode == DetectionMode::Probes)
        return due;
    if (m_phase == DetectorPhase::Suspect)
        return due && now - m_phaseSince >= m_delay;
    const TimePoint last = std::max(m_lastWork, m_lastProbe);
    const bool failing = m_probeFailures > 0;
    return m_inFlight.empty()
           && (last == TimePoint::min() || now - last >= IdleProbeInterval || (failing && due));
}

bool GrayDetector::admits(bool idempotent, std::uint32_t running) const
{
    if (m_heldByFloor)
        return true;
    // Gates learn of a suspicion a moment later than the owner.
    if (m_phase == DetectorPhase::Suspect)
        return m_policy.admitsSuspect;
    if (m_phase != DetectorPhase::Trial)
        return true;
    return running == 0 && (idempotent || m_trialPatienceOver);
}

Duration GrayDetector::median(WorkClass workClass) const
{
    const Samples &samples = m_samples[indexOf(workClass)];
    const std::size_t count = std::min(samples.count, Samples::Size);
    if (count == 0)
        return Duration::zero();
    auto sorted = samples.us;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(count));
    return Duration(*middle);
}

void GrayDetector::heldByFloor(bool held)
{
    m_heldByFloor = held;
}

void GrayDetector::finishGray(const InFlight &request, WorkOutcome outcome, TimePoint now)
{
    // What started before the last change of phase says nothing about the phase in force.
    if (!isEvidence(outcome) || request.started < m_phaseSince)
        return;
    switch (outcome) {
    case WorkOutcome::Answered:
        m_errors.add(ErrorMiss);
        break;
    case WorkOutcome::ServerError:
        m_errors.add(ErrorHit);
        break;
    case WorkOutcome::Reset:
        m_errors.add(m_policy.resetHit);
        break;
    case WorkOutcome::Shed:
        m_errors.add(ShedHit);
        break;
    case WorkOutcome::TimedOut:
        // The deadline may have left little time, so only the time waited counts, as slowness.
        if (!request.answering)
            judgeTime(request, false, now);
        else
            m_errors.add(CutHit);
        break;
    case WorkOutcome::Cancelled:
    case WorkOutcome::DependencyFailed:
        break;
    }
    if (m_phase == DetectorPhase::Trial) {
        finishTrial(outcome, slowness(request, now), now);
        return;
    }
    if (m_phase != DetectorPhase::Suspect && m_errors.sum >= bar(m_policy.errorThreshold)) {
        suspect("errors", 80, {{"evidence", m_errors.sum}, {"requests", double(m_errors.events)}},
                now, true);
    }
}

void GrayDetector::finishTrial(WorkOutcome outcome, double slowness, TimePoint now)
{
    if (outcome != WorkOutcome::Answered) {
        if (isFailure(outcome))
            suspect("trial-failed", 70, {{"passed", double(m_trialPassed)}}, now, true);
        return;
    }
    ++m_trialPassed;
    m_trialSlow += slowness > TrialSlowness ? 1 : 0;
    // One slow request among five happens to a healthy endpoint, two rarely.
    if (m_trialSlow >= 2) {
        suspect("trial-slow", 70, {{"slow", double(m_trialSlow)}}, now);
    } else if (m_trialPassed >= m_policy.trialRequests) {
        changeTo(m_policy.ramp ? DetectorPhase::Ramp : DetectorPhase::Trusted, "trial-passed",
                 {{"requests", double(m_trialPassed)}}, now);
    }
}

void GrayDetector::judgeTime(const InFlight &request, bool ended, TimePoint now)
{
    const double baselineUs = m_baselines[request.kind].us;
    if (baselineUs == 0 || request.exempt)
        return;
    const double us = std::max<double>(1, static_cast<double>((now - request.started).count()));
    const Judged judged {us, baselineUs, request.kind, ended};
    m_judged[m_judgedCount++ % m_judged.size()] = judged;
    m_slow.add(slowRatio(judged, baselineUs));
    if (!request.countedStalled && us < StallSlowness * baselineUs)
        m_stalls.add(StallMiss);
}

double GrayDetector::slowRatio(const Judged &judged, double baselineUs)
{
    const double ratio =
            SlowStep * std::log(judged.us / baselineUs / NeutralSlowness) / (Spread * Spread);
    // A request that was given up says only that it would have taken longer.
    return std::clamp(ratio, judged.ended ? LeastSlowPerRequest : 0, MostSlowPerRequest);
}

double GrayDetector::judgeAgain(TimePoint now)
{
    std::vector<double> strict;
    for (Kind kind = 0; kind < m_baselines.size(); ++kind)
        strict.push_back(strictBaselineUs(kind, now));
    m_slow = m_stalls = {};
    const std::size_t count = std::min(m_judgedCount, m_judged.size());
    for (std::size_t i = m_judgedCount - count; i < m_judgedCount; ++i) {
        const Judged &judged = m_judged[i % m_judged.size()];
        const double baselineUs = std::max(judged.baselineUs, strict[judged.kind]);
        m_slow.add(slowRatio(judged, baselineUs));
        const bool isStalled = judged.us >= StallSlowness * baselineUs;
        m_stalls.add(isStalled ? StallHit : StallMiss);
    }
    double inFlight = 0;
    for (const InFlight &request : m_inFlight)
        inFlight += evidenceInFlight(request, strict[request.kind], now);
    return inFlight;
}

double GrayDetector::judgeInFlight(TimePoint now)
{
    double evidence = 0;
    for (InFlight &request : m_inFlight) {
        const double baselineUs = m_baselines[request.kind].us;
        const double share = evidenceInFlight(request, baselineUs, now);
        evidence += share;
        if (share > 0 && !request.countedStalled && slowness(request, now) >= StallSlowness) {
            request.countedStalled = true;
            m_stalls.add(StallHit);
        }
    }
    return evidence;
}

double GrayDetector::evidenceInFlight(const InFlight &request, double baselineUs, TimePoint now)
{
    const Duration age = now - request.started;
    if (request.answering || request.exempt || age < LeastStall || baselineUs == 0)
        return 0;
    const double factor = static_cast<double>(age.count()) / baselineUs;
    return std::clamp(surprise(factor) - InFlightBias, 0.0, MostPerInFlight);
}

void GrayDetector::judgeTimes(TimePoint now)
{
    double inFlight = judgeInFlight(now);
    // Requests in flight are not yet part of m_slow, so both add up.
    const auto most = [&] { return std::max(m_stalls.sum, m_slow.sum + inFlight); };
    const auto isBelow = [&] {
        return most() < bar(Threshold) && inFlight < bar(InFlightThreshold);
    };
    // A trial counts slow requests itself; see finishTrial(). Only stalls can end it here.
    if (m_phase == DetectorPhase::Trial)
        m_slow = {};
    if (m_phase == DetectorPhase::Suspect || isBelow()) {
        m_doubtSince.reset();
        return;
    }
    if (!m_doubtSince)
        m_doubtSince = now;
    const bool isStalled = inFlight >= bar(InFlightThreshold);
    if (now - *m_doubtSince < (isStalled ? StallConfirmation : Confirmation))
        return;
    m_doubtSince.reset();
    inFlight = judgeAgain(now);
    if (isBelow())
        return;
    const bool isSlow = m_slow.sum >= std::max(m_stalls.sum, inFlight);
    const char *rule = isSlow ? "slow" : inFlight >= m_stalls.sum ? "stalled" : "stalls";
    Duration oldest {};
    for (const InFlight &request : m_inFlight) {
        if (!request.answering)
            oldest = std::max(oldest, now - request.started);
    }
    suspect(rule, isSlow ? 60 : 100,
            {{"evidence", most()},
             {"requests in flight", static_cast<double>(m_inFlight.size())},
             {"oldest ms", static_cast<double>(toMs(oldest))},
             {"median ms", static_cast<double>(toMs(median(WorkClass::Short)))},
             {"baseline ms", m_baselines[0].us / 1e3}},
            now);
}

double GrayDetector::slowness(const InFlight &request, TimePoint now) const
{
    const double baselineUs = m_baselines[request.kind].us;
    const double us = std::max<double>(1, static_cast<double>((now - request.started).count()));
    return baselineUs == 0 ? 1 : us / baselineUs;
}

void GrayDetector::suspect(const std::string &rule, std::uint32_t severity,
                           std::vector<DetectorFigure> figures, TimePoint now, bool isForErrors)
{
    if (m_phase == DetectorPhase::Suspect)
        return;
    // Every further ejection soon after the last one doubles the delay.
    if (m_phase == DetectorPhase::Trial || m_phase == DetectorPhase::Ramp || m_hasFlapped)
        m_delay = std::min(m_policy.longestDelay, 2 * m_delay);
    m_hasFlapped = true;
    m_severity = severity;
    m_failsRequests = isForErrors;
    changeTo(DetectorPhase::Suspect, rule, std::move(figures), now);
    m_changes.back().isForErrors = isForErrors;
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
    m_trialPatienceOver = false;
    m_errorsInRow = 0;
    if (phase == DetectorPhase::Trusted || phase == DetectorPhase::Ramp)
        m_severity = 0;
}

void GrayDetector::clearEvidence()
{
    m_slow = m_stalls = m_errors = {};
    m_judgedCount = 0;
    m_doubtSince.reset();
    // Requests that started before the change have contributed to it already.
    for (InFlight &request : m_inFlight)
        request.exempt = true;
}

double GrayDetector::bar(double evidence) const
{
    return m_phase == DetectorPhase::Trusted ? evidence : std::min(evidence, RampThreshold);
}

} // namespace berylspur
