// Median of recent times to first byte.
#include "berylspur/owner/latency_baseline.h"

#include <algorithm>

namespace berylspur {

namespace {

/// Lower bound of baselines: scheduling delays and garbage collection pauses can take this long.
constexpr double MinBaselineUs = 5000;
/// Maximum age of values. The service may have changed while this endpoint was idle.
constexpr Duration MaxAge = std::chrono::seconds(30);
/// Age of values that reflect the current state of the other endpoints.
constexpr Duration RecentWindow = std::chrono::milliseconds(400);

} // namespace

void LatencyBaseline::add(Duration time, TimePoint now)
{
    const auto us = static_cast<double>(time.count());
    // A gate repeats its last sample until it has a new one. Repeats refresh the time of the sample
    // but are not added again, or a few samples would dominate the median.
    Value *repeated = nullptr;
    std::size_t repeats = 0;
    std::size_t others = 0;
    for (std::size_t i = 0; i < std::min(m_count, Size); ++i) {
        Value &value = m_received[i];
        if (value.us != us) {
            others += value.time >= now - MaxAge ? 1 : 0;
            continue;
        }
        ++repeats;
        if (!repeated || value.time < repeated->time)
            repeated = &value;
    }
    // Services with identical times need repeats to reach the minimum number of values.
    const std::size_t maxRepeats =
            std::max<std::size_t>(1, MinSamples - std::min(others, MinSamples));
    if (repeats >= maxRepeats)
        repeated->time = now;
    else
        m_received[m_count++ % Size] = {us, now};
    m_us = median(now - MaxAge);
}

double LatencyBaseline::conservativeUs(TimePoint now) const
{
    return std::max(m_us, median(now - RecentWindow));
}

double LatencyBaseline::median(TimePoint since) const
{
    std::array<double, Size> values {};
    std::size_t used = 0;
    for (std::size_t i = 0; i < std::min(m_count, Size); ++i) {
        if (m_received[i].time >= since)
            values[used++] = m_received[i].us;
    }
    if (used < MinSamples)
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(used / 2);
    std::nth_element(values.begin(), middle, values.begin() + static_cast<std::ptrdiff_t>(used));
    return std::max(MinBaselineUs, *middle);
}

} // namespace berylspur
