// Arrival schedule of an open-loop load generator. It is fixed before the run, so that a slow
// system cannot delay later requests.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylspur::load {

/// One scheduled request.
struct Arrival
{
    Duration offset {}; ///< from the start of the run
    bool isLong = false;
    bool isIdempotent = true;
    std::uint32_t customer = 0;

    bool operator==(const Arrival &) const = default;
};

/// A part of the schedule whose rate changes linearly from startRate to endRate (requests/s).
struct Phase
{
    double startRate = 0;
    double endRate = 0;
    double seconds = 0;
};

struct ScheduleOptions
{
    std::vector<Phase> phases;
    double longShare = 0;
    double nonIdempotentShare = 0; ///< share of the short requests
    std::uint32_t customers = 1;
    std::size_t maxRequests = 100000; ///< the schedule is cut off at this size
    std::uint64_t seed = 1;
};

/// Parses a comma-separated list of "RATE:SECONDS" or "FROM-TO:SECONDS". Fails with CommandUsage.
Result<std::vector<Phase>> parsePhases(std::string_view text);

/// Generates Poisson arrivals at the rates of the phases. Equal options give equal schedules.
std::vector<Arrival> makeSchedule(const ScheduleOptions &options);

/// Writes one line per arrival: microseconds, class, idempotent, customer. Fails with CommandUsage
/// if the file cannot be written.
Result<void> writeSchedule(const std::string &file, const std::vector<Arrival> &schedule);

/// Reads a file written by writeSchedule(). Fails with CommandUsage if it is unreadable or
/// malformed.
Result<std::vector<Arrival>> readSchedule(const std::string &file);

} // namespace berylspur::load
