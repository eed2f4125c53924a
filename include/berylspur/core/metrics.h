// Duration histograms (Boost.Histogram) and the Prometheus text format.
#pragma once

#include "berylspur/core/clock.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylspur {

/// Histogram with logarithmic bins from 10 us to 100 s, 10 per decade.
class DurationHistogram
{
public:
    DurationHistogram();

    void record(Duration duration);
    std::uint64_t count() const;
    /// Returns the \a share quantile (0 to 1) as the upper edge of its bin; zero if the histogram
    /// is empty.
    Duration quantile(double share) const;
    /// Returns buckets, sum and count of the metric \a name with \a labels (for example
    /// `class="short"`) in the Prometheus text format.
    std::string prometheus(std::string_view name, std::string_view labels) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> m_bins;
    std::uint64_t m_count = 0;
    double m_sumSeconds = 0;
};

/// Returns one counter or gauge sample in the Prometheus text format.
std::string prometheusSample(std::string_view name, std::string_view labels, double value);

} // namespace berylspur
