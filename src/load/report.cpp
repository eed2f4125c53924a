// Collects outcomes and latencies of a load run and formats them as text and JSON.
#include "berylspur/load/report.h"

#include "berylspur/core/enum_table.h"

#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace berylspur::load {

namespace {

constexpr EnumTable<Outcome, OutcomeCount> OutcomeNames {{
        {Outcome::Answered, "answered"},
        {Outcome::Failed, "failed"},
        {Outcome::NotRun, "not-run"},
        {Outcome::Unknown, "unknown"},
        {Outcome::Truncated, "truncated"},
        {Outcome::Mismatched, "mismatched"},
        {Outcome::ConnectionLost, "connection-lost"},
}};

constexpr double MinLatencyMs = 0.01;
constexpr double MaxLatencyMs = 1e6;
constexpr unsigned BinCount = 1544; // each bin 1.2% wide, from 10 us to 1000 s

} // namespace

std::string_view outcomeName(Outcome outcome)
{
    return enumName(OutcomeNames, outcome);
}

Outcome classifyResponse(int status, std::string_view outcomeHeader, bool tokenMatches)
{
    if (outcomeHeader == "not-run")
        return Outcome::NotRun;
    if (outcomeHeader == "unknown")
        return Outcome::Unknown;
    if (outcomeHeader == "ran" || status >= 400)
        return Outcome::Failed;
    return tokenMatches ? Outcome::Answered : Outcome::Mismatched;
}

Report::Report()
    : m_classes {
            PerClass {boost::histogram::make_histogram(Axis(BinCount, MinLatencyMs, MaxLatencyMs))},
            PerClass {boost::histogram::make_histogram(Axis(BinCount, MinLatencyMs, MaxLatencyMs))}}
{
}

void Report::add(bool isLong, Outcome outcome, Duration latency)
{
    PerClass &entry = m_classes[isLong ? 1 : 0];
    ++entry.outcomes[static_cast<std::size_t>(outcome)];
    if (outcome != Outcome::Answered)
        return;
    const double ms = std::max(static_cast<double>(latency.count()) / 1000, MinLatencyMs);
    entry.latencyMs(ms);
    ++entry.answered;
    entry.maxMs = std::max(entry.maxMs, ms);
}

std::uint64_t Report::count(Outcome outcome) const
{
    const auto index = static_cast<std::size_t>(outcome);
    return m_classes[0].outcomes[index] + m_classes[1].outcomes[index];
}

std::uint64_t Report::total() const
{
    std::uint64_t sum = 0;
    for (const auto &[outcome, name] : OutcomeNames)
        sum += count(outcome);
    return sum;
}

double Report::quantileMs(bool isLong, double quantile) const
{
    const PerClass &entry = m_classes[isLong ? 1 : 0];
    const double rank = std::ceil(quantile * static_cast<double>(entry.answered));
    double cumulative = 0;
    for (int i = 0; entry.answered > 0 && i < static_cast<int>(BinCount); ++i) {
        cumulative += entry.latencyMs.at(i);
        if (cumulative >= rank)
            return std::min(entry.latencyMs.axis().bin(i).upper(), entry.maxMs);
    }
    return entry.maxMs;
}

double Report::maxMs(bool isLong) const
{
    return m_classes[isLong ? 1 : 0].maxMs;
}

nlohmann::json Report::toJson() const
{
    nlohmann::json result = {{"total", total()}};
    for (const auto &[outcome, name] : OutcomeNames)
        result["outcomes"][std::string(name)] = count(outcome);
    for (const bool isLong : {false, true}) {
        result["latency-ms"][isLong ? "long" : "short"] = {
                {"answered", m_classes[isLong ? 1 : 0].answered},
                {"p50", quantileMs(isLong, 0.5)},
                {"p99", quantileMs(isLong, 0.99)},
                {"p99.9", quantileMs(isLong, 0.999)},
                {"max", maxMs(isLong)}};
    }
    return result;
}

std::string Report::toText() const
{
    std::string text;
    char line[160];
    for (const auto &[outcome, name] : OutcomeNames) {
        std::snprintf(line, sizeof line, "%-16s %8llu\n", std::string(name).c_str(),
                      static_cast<unsigned long long>(count(outcome)));
        text += line;
    }
    std::snprintf(line, sizeof line, "%-8s %9s %9s %9s %9s %9s\n", "ms", "answered", "p50", "p99",
                  "p99.9", "max");
    text += line;
    for (const bool isLong : {false, true}) {
        std::snprintf(line, sizeof line, "%-8s %9llu %9.2f %9.2f %9.2f %9.2f\n",
                      isLong ? "long" : "short",
                      static_cast<unsigned long long>(m_classes[isLong ? 1 : 0].answered),
                      quantileMs(isLong, 0.5), quantileMs(isLong, 0.99), quantileMs(isLong, 0.999),
                      maxMs(isLong));
        text += line;
    }
    return text;
}

} // namespace berylspur::load
