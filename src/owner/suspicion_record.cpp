// Translates the phase of a detector into a suspicion record.
#include "suspicion_record.h"

#include <algorithm>

namespace berylspur {

void fillSuspicion(schema::EndpointRecord &record, const GrayDetector &detector)
{
    // The owner admits one trial request at a time. Gates send enough requests for a quick result.
    constexpr std::uint32_t TrialPercent = 50;
    const auto phase = detector.phase();
    if (phase == DetectorPhase::Trusted)
        return;
    const auto trialDelay = detector.trialDelay();
    auto *suspicion = record.mutable_suspicion();
    suspicion->set_fails_requests(detector.failsRequests());
    if (phase == DetectorPhase::Suspect || (phase == DetectorPhase::Trial && trialDelay)) {
        suspicion->set_rule(detector.suspicionRule());
        suspicion->set_severity(detector.severity());
        suspicion->set_number(detector.suspicionCount());
        suspicion->set_trial_in_ms(
                static_cast<std::uint32_t>(toMs(trialDelay.value_or(Duration {}))));
        return;
    }
    suspicion->set_rule(detector.rule());
    suspicion->set_on_trial(phase == DetectorPhase::Trial);
    suspicion->set_ramp_percent(std::max(detector.rampPercent(), TrialPercent));
}

} // namespace berylspur
