// Recent latencies of a route, from which the delay of hedged requests is taken.
#pragma once

#include "berylspur/core/clock.h"

#include <boost/histogram.hpp>
#include <optional>
#include <tuple>

namespace berylspur {

/// Histogram of latencies in which a sample loses half of its weight every HalfLife. Logarithmic
/// bins from 1 ms to 100 s, 12 per decade.
class LatencyQuantile
{
public:
    /// Long enough for MinWeight at one request every two seconds, short enough that the quantile
    /// follows a change of the load within a minute.
    static constexpr Duration HalfLife = std::chrono::seconds(30);
    /// Samples, by weight, without which the tail is not known.
    static constexpr double MinWeight = 20;

    LatencyQuantile();

    void record(Duration latency, TimePoint now);
    /// The \a share quantile (0 to 1), or nothing if there are too few recent samples.
    std::optional<Duration> quantile(double share, TimePoint now) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<double>;

    /// Weight of a sample at \a now. It grows with time, in place of the others decaying.
    double weightAt(TimePoint now) const;
    void rescale(TimePoint now);

    boost::histogram::histogram<std::tuple<Axis>, Storage> m_bins;
    double m_total = 0;
    TimePoint m_unitTime {}; ///< when a sample has the weight 1
};

} // namespace berylspur
