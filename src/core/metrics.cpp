// Duration histograms in the Prometheus text format.
#include "berylspur/core/metrics.h"

#include <cstdio>

namespace berylspur {

namespace {

constexpr unsigned Bins = 70;
constexpr double LowestSeconds = 1e-5;
constexpr double HighestSeconds = 1e2;

std::string formatNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.9g", value);
    return text;
}

} // namespace

DurationHistogram::DurationHistogram()
    : m_bins(boost::histogram::make_histogram_with(Storage(),
                                                   Axis(Bins, LowestSeconds, HighestSeconds)))
{
}

void DurationHistogram::record(Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    m_bins(std::max(seconds, LowestSeconds));
    ++m_count;
    m_sumSeconds += seconds;
}

std::uint64_t DurationHistogram::count() const
{
    return m_count;
}

Duration DurationHistogram::quantile(double share) const
{
    const auto rank = static_cast<std::uint64_t>(share * static_cast<double>(m_count));
    std::uint64_t cumulative = 0;
    const auto &axis = m_bins.axis(0);
    for (int bin = 0; bin < axis.size(); ++bin) {
        cumulative += m_bins.at(bin);
        if (cumulative > rank) {
            const std::chrono::duration<double> edge(axis.bin(bin).upper());
            return std::chrono::duration_cast<Duration>(edge);
        }
    }
    return Duration::zero();
}

std::string DurationHistogram::prometheus(std::string_view name, std::string_view labels) const
{
    std::string text;
    std::uint64_t cumulative = 0;
    const auto &axis = m_bins.axis(0);
    const std::string separator = labels.empty() ? "" : ",";
    for (int bin = 0; bin < axis.size(); ++bin) {
        if (m_bins.at(bin) == 0)
            continue;
        cumulative += m_bins.at(bin);
        text.append(name).append("_bucket{").append(labels).append(separator).append("le=\"");
        text.append(formatNumber(axis.bin(bin).upper()))
                .append("\"} ")
                .append(std::to_string(cumulative));
        text.append("\n");
    }
    text.append(name).append("_bucket{").append(labels).append(separator).append("le=\"+Inf\"} ");
    text.append(std::to_string(m_count)).append("\n");
    text.append(prometheusSample(std::string(name) + "_sum", labels, m_sumSeconds));
    text.append(
            prometheusSample(std::string(name) + "_count", labels, static_cast<double>(m_count)));
    return text;
}

std::string prometheusSample(std::string_view name, std::string_view labels, double value)
{
    std::string text(name);
    if (!labels.empty())
        text.append("{").append(labels).append("}");
    return text.append(" ").append(formatNumber(value)).append("\n");
}

} // namespace berylspur
