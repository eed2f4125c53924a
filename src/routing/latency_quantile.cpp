// Decayed histogram of latencies (Boost.Histogram).
#include "berylspur/routing/latency_quantile.h"

#include <algorithm>
#include <cmath>

namespace berylspur {

namespace {

constexpr unsigned Bins = 60;
constexpr double LowestSeconds = 1e-3;
constexpr double HighestSeconds = 1e2;
/// Weight of a sample above which all weights are scaled down, far from the limits of double.
constexpr double MaxWeight = 1e12;

} // namespace

LatencyQuantile::LatencyQuantile()
    : m_bins(boost::histogram::make_histogram_with(Storage(),
                                                   Axis(Bins, LowestSeconds, HighestSeconds)))
{
}

double LatencyQuantile::weightAt(TimePoint now) const
{
    const std::chrono::duration<double> since = now - m_unitTime;
    return std::exp2(since / std::chrono::duration<double>(HalfLife));
}

void LatencyQuantile::rescale(TimePoint now)
{
    const double factor = 1 / weightAt(now);
    m_bins *= factor;
    m_total *= factor;
    m_unitTime = now;
}

void LatencyQuantile::record(Duration latency, TimePoint now)
{
    if (m_total == 0)
        m_unitTime = now;
    if (weightAt(now) > MaxWeight)
        rescale(now);
    const double weight = weightAt(now);
    const double seconds = std::chrono::duration<double>(latency).count();
    // The upper edge of the last bin is outside the axis.
    m_bins(std::clamp(seconds, LowestSeconds, 0.999 * HighestSeconds),
           boost::histogram::weight(weight));
    m_total += weight;
}

std::optional<Duration> LatencyQuantile::quantile(double share, TimePoint now) const
{
    if (m_total < MinWeight * weightAt(now))
        return std::nullopt;
    const double rank = share * m_total;
    double cumulative = 0;
    const auto &axis = m_bins.axis(0);
    for (int bin = 0; bin < axis.size(); ++bin) {
        const double inBin = m_bins.at(bin);
        if (inBin > 0 && cumulative + inBin >= rank) {
            const std::chrono::duration<double> value(
                    axis.value(bin + (rank - cumulative) / inBin));
            return std::chrono::duration_cast<Duration>(value);
        }
        cumulative += inBin;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(HighestSeconds));
}

} // namespace berylspur
