// Generates Poisson arrivals by thinning; reads and writes schedule files.
#include "berylspur/load/schedule.h"

#include "berylspur/core/ids.h"

#include <algorithm>
#include <fstream>
#include <random>
#include <regex>

namespace berylspur::load {

Result<std::vector<Phase>> parsePhases(std::string_view text)
{
    static const std::regex pattern(R"((\d+(?:\.\d+)?)(?:-(\d+(?:\.\d+)?))?:(\d+(?:\.\d+)?))");
    std::vector<Phase> phases;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const std::string part(text.substr(0, comma));
        std::smatch match;
        if (!std::regex_match(part, match, pattern))
            return failure(ErrorCode::CommandUsage,
                           "expected RATE:SECONDS or FROM-TO:SECONDS, not " + part);
        const double from = std::stod(match[1]);
        phases.push_back(
                {from, match[2].matched ? std::stod(match[2]) : from, std::stod(match[3])});
        if (comma == std::string_view::npos)
            break;
        text.remove_prefix(comma + 1);
    }
    if (phases.empty())
        return failure(ErrorCode::CommandUsage, "no phase given");
    return phases;
}

std::vector<Arrival> makeSchedule(const ScheduleOptions &options)
{
    Random random(options.seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::uniform_int_distribution<std::uint32_t> customer(
            0, std::max<std::uint32_t>(options.customers, 1) - 1);
    std::vector<Arrival> schedule;
    double start = 0;
    for (const Phase &phase : options.phases) {
        // Thinning: draws candidates at the maximum rate and keeps each with probability
        // rate / maxRate.
        const double maxRate = std::max(phase.startRate, phase.endRate);
        std::exponential_distribution<double> interarrivalTime(std::max(maxRate, 1e-9));
        double elapsed = 0;
        while ((elapsed += interarrivalTime(random)) < phase.seconds) {
            if (schedule.size() >= options.maxRequests)
                return schedule;
            const double rate =
                    phase.startRate + (phase.endRate - phase.startRate) * elapsed / phase.seconds;
            if (uniform(random) * maxRate > rate)
                continue;
            Arrival arrival;
            arrival.offset = Duration(static_cast<std::int64_t>((start + elapsed) * 1e6));
            arrival.isLong = uniform(random) < options.longShare;
            arrival.isIdempotent = arrival.isLong || uniform(random) >= options.nonIdempotentShare;
            arrival.customer = customer(random);
            schedule.push_back(arrival);
        }
        start += phase.seconds;
    }
    return schedule;
}

Result<void> writeSchedule(const std::string &file, const std::vector<Arrival> &schedule)
{
    std::ofstream out(file);
    for (const Arrival &arrival : schedule) {
        out << arrival.offset.count() << ' ' << (arrival.isLong ? "long" : "short") << ' '
            << (arrival.isIdempotent ? "idempotent" : "non-idempotent") << ' ' << arrival.customer
            << '\n';
    }
    if (!out.flush())
        return failure(ErrorCode::CommandUsage, "cannot write " + file);
    return success();
}

Result<std::vector<Arrival>> readSchedule(const std::string &file)
{
    std::ifstream in(file);
    if (!in)
        return failure(ErrorCode::CommandUsage, "cannot read " + file);
    std::vector<Arrival> schedule;
    std::int64_t us = 0;
    std::string requestClass;
    std::string idempotency;
    std::uint32_t customer = 0;
    while (in >> us >> requestClass >> idempotency >> customer) {
        if ((requestClass != "long" && requestClass != "short")
            || (idempotency != "idempotent" && idempotency != "non-idempotent"))
            return failure(ErrorCode::CommandUsage, "malformed schedule file: " + file);
        schedule.push_back(
                {Duration(us), requestClass == "long", idempotency == "idempotent", customer});
    }
    if (!in.eof())
        return failure(ErrorCode::CommandUsage, "malformed schedule file: " + file);
    return schedule;
}

} // namespace berylspur::load
