// Outcomes and latencies of a load run.
#pragma once

#include "berylspur/core/clock.h"

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace berylspur::load {

/// Outcome of a request as its caller sees it.
enum class Outcome {
    Answered, ///< complete response of the endpoint, to this request
    Failed, ///< complete response which says that the request ran and failed
    NotRun, ///< response which says that the request did not run
    Unknown, ///< response which says that the request may have run
    Truncated, ///< response that ended early, detectably
    Mismatched, ///< complete response to another request
    ConnectionLost, ///< no response
};
constexpr std::size_t OutcomeCount = 7;

std::string_view outcomeName(Outcome outcome);

/// Classifies a response with a complete body. \a outcomeHeader is the Berylspur-Outcome header, or
/// empty if absent. \a tokenMatches is false if the body does not contain the token of this
/// request.
Outcome classifyResponse(int status, std::string_view outcomeHeader, bool tokenMatches);

/// Outcome counts, and latencies of answered requests, per request class (short, long).
class Report
{
public:
    Report();

    /// \a latency is measured from the scheduled start of the request, so that delayed sends count.
    void add(bool isLong, Outcome outcome, Duration latency);

    std::uint64_t count(Outcome outcome) const;
    std::uint64_t total() const;
    /// Latency of answered requests at \a quantile (0 to 1) in ms, rounded up to the histogram bin
    /// (1.2% wide). Returns 0 if no request was answered.
    double quantileMs(bool isLong, double quantile) const;
    double maxMs(bool isLong) const;

    nlohmann::json toJson() const;
    std::string toText() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    struct PerClass
    {
        Histogram latencyMs;
        std::uint64_t answered = 0;
        double maxMs = 0;
        std::array<std::uint64_t, OutcomeCount> outcomes {};
    };

    std::array<PerClass, 2> m_classes; ///< index 0: short, 1: long
};

} // namespace berylspur::load
