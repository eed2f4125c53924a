// Recent service times seen by a gate, from which dispatches take their baseline.
#pragma once

#include "berylspur/core/clock.h"

#include <array>
#include <string>

namespace berylspur {

/// Latest service time of each of the two endpoints that responded last. One object per service,
/// class and route. A single recent sample suffices: a gate with few requests for a service would
/// need minutes to fill a window for a median, and the owner takes the median over many gates.
class ServiceTimeSamples
{
public:
    /// Age after which a sample is ignored, because it no longer reflects the current state of the
    /// service.
    static constexpr Duration SampleLifetime = std::chrono::seconds(10);

    /// Records that \a endpoint responded after \a time, as measured by its owner. Must not be
    /// called for server errors, which are often fast and would lower the baseline.
    void add(const std::string &endpoint, Duration time, TimePoint now)
    {
        if (m_samples[0].endpoint != endpoint)
            m_samples[1] = m_samples[0];
        m_samples[0] = {endpoint, time, now};
    }

    /// Latest sample of an endpoint other than \a endpoint; zero if none is newer than
    /// SampleLifetime.
    Duration latestExcept(const std::string &endpoint, TimePoint now) const
    {
        const Sample &sample = m_samples[0].endpoint == endpoint ? m_samples[1] : m_samples[0];
        return now - sample.at > SampleLifetime ? Duration::zero() : sample.time;
    }

    /// Records the usual time to first byte that an owner reported; zero: it does not know it.
    void setUsual(Duration usual, TimePoint now)
    {
        if (usual > Duration::zero())
            m_usual = {{}, usual, now};
    }

    /// Usual time to first byte; zero if none was reported within SampleLifetime.
    Duration usual(TimePoint now) const
    {
        return now - m_usual.at > SampleLifetime ? Duration::zero() : m_usual.time;
    }

private:
    struct Sample
    {
        std::string endpoint;
        Duration time {};
        TimePoint at;
    };
    std::array<Sample, 2> m_samples; ///< of different endpoints, latest first
    Sample m_usual; ///< of no single endpoint
};

} // namespace berylspur
