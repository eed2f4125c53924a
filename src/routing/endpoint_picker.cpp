// Power of two random choices among the endpoints in rotation.
#include "berylspur/routing/endpoint_picker.h"

#include <algorithm>
#include <span>

namespace berylspur {

namespace {

/// Up to two endpoints in random order, drawn with equal probability.
struct Choices
{
    std::uint32_t items[2] = {0, 0};
    int count = 0;
};

std::size_t randomIndex(std::size_t bound, Random &random)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

/// Two different items of \a range that \a isEligible accepts, or as many as there are. Tries
/// random draws first and scans \a range only if they find too few, so that the typical cost does
/// not grow with the size of the service.
template <typename Predicate>
Choices chooseTwo(std::span<const std::uint32_t> range, Predicate isEligible, Random &random)
{
    constexpr std::size_t MinSizeForDraws = 8;
    constexpr int MaxDraws = 6;
    Choices choices;
    if (range.size() >= MinSizeForDraws) {
        for (int i = 0; i < MaxDraws && choices.count < 2; ++i) {
            const std::uint32_t item = range[randomIndex(range.size(), random)];
            if ((choices.count == 0 || choices.items[0] != item) && isEligible(item))
                choices.items[choices.count++] = item;
        }
        if (choices.count == 2)
            return choices;
    }
    // Reservoir sampling with a sample size of two.
    choices = {};
    std::size_t seen = 0;
    for (const std::uint32_t item : range) {
        if (!isEligible(item))
            continue;
        ++seen;
        if (choices.count < 2) {
            choices.items[choices.count++] = item;
        } else if (const std::size_t place = randomIndex(seen, random); place < 2) {
            choices.items[place] = item;
        }
    }
    // The first choice wins ties, and the sample keeps the order of the range, so shuffle it.
    if (choices.count == 2 && randomIndex(2, random) == 1)
        std::swap(choices.items[0], choices.items[1]);
    return choices;
}

} // namespace

EndpointPicker::EndpointPicker(std::string ownFailureDomain, PickMode mode)
    : m_ownFailureDomain(std::move(ownFailureDomain)), m_mode(mode)
{
}

EndpointPicker::Estimate EndpointPicker::estimate(const EndpointView &endpoint, TimePoint now) const
{
    Estimate result;
    result.slots = std::max(endpoint.slots, 1U);
    result.free = result.slots;
    const auto found = m_loads.find(endpoint.id);
    if (found == m_loads.end())
        return result;
    const Load &load = found->second;
    result.inFlight = load.inFlight;
    std::uint32_t queued = 0;
    if (load.hasReport && now - load.reportedAt < ReportLifetime) {
        result.slots = std::max(load.report.slots, 1U);
        result.free = load.report.freeSlots - std::min(load.report.freeSlots, load.sentSinceReport);
        queued = load.report.queued + load.sentSinceReport
                 - std::min(load.report.freeSlots, load.sentSinceReport);
    } else {
        result.free = result.slots - std::min(result.slots, load.inFlight);
        queued = load.inFlight - std::min(result.slots, load.inFlight);
    }
    if (result.free == 0) {
        // At least 1 ms, so that queues are compared by length if no mean was reported. The mean of
        // an expired report is still used.
        const Duration mean = std::max(load.report.meanServiceTime, Duration(1000));
        result.wait = mean * (queued + 1) / result.slots;
    }
    return result;
}

std::optional<Duration> EndpointPicker::reportedWait(const EndpointView &endpoint,
                                                     TimePoint now) const
{
    const auto found = m_loads.find(endpoint.id);
    if (found == m_loads.end() || !found->second.hasReport
        || now - found->second.reportedAt >= ReportLifetime)
        return std::nullopt;
    return estimate(endpoint, now).wait;
}

bool EndpointPicker::isRoomy(const Estimate &load)
{
    // Reports of the load are up to a second old and endpoints slow down when they are nearly full,
    // so the last slots of the own failure domain are not better than free slots elsewhere.
    constexpr std::uint32_t FreeShareDivisor = 5;
    return load.free * FreeShareDivisor > load.slots;
}

bool EndpointPicker::isBetter(const Estimate &left, const Estimate &right) const
{
    if (m_mode == PickMode::TwoRandom)
        return left.inFlight < right.inFlight;
    if (left.wait != right.wait)
        return left.wait < right.wait;
    return std::uint64_t(left.free) * right.slots > std::uint64_t(right.free) * left.slots;
}

std::optional<std::size_t> EndpointPicker::pick(const std::vector<EndpointView> &view,
                                                const Rotation &rotation,
                                                const std::unordered_set<std::string> &excluded,
                                                TimePoint now, Random &random)
{
    const std::span<const std::uint32_t> all(rotation.admitted);
    const auto isAllowed = [&](std::uint32_t i) {
        return excluded.empty() || !excluded.contains(view[i].id);
    };
    const auto isHealthy = [&](std::uint32_t i) {
        return isAllowed(i) && rotation.entries[i].isHealthy()
               && !hasRecentFailure(view[i].id, now);
    };

    Choices choices;
    if (m_mode == PickMode::OwnerLoad) {
        const auto own = ownFailureDomain(view, all);
        choices = chooseTwo(
                own,
                [&](std::uint32_t i) { return isHealthy(i) && isRoomy(estimate(view[i], now)); },
                random);
    }
    if (choices.count == 0 && m_mode == PickMode::OwnerLoad)
        choices = chooseTwo(all, isHealthy, random);
    // In mode OwnerLoad, suspect endpoints that the floor keeps in rotation and endpoints with a
    // recent failure are the last resort. TwoRandom always draws from all admitted endpoints.
    if (choices.count == 0)
        choices = chooseTwo(all, isAllowed, random);
    if (choices.count == 0)
        return std::nullopt;
    if (choices.count == 2
        && isBetter(estimate(view[choices.items[1]], now), estimate(view[choices.items[0]], now)))
        return choices.items[1];
    return choices.items[0];
}

std::span<const std::uint32_t>
EndpointPicker::ownFailureDomain(const std::vector<EndpointView> &view,
                                 std::span<const std::uint32_t> admitted) const
{
    const auto before = [&view](std::uint32_t i, const std::string &domain) {
        return view[i].failureDomain < domain;
    };
    const auto after = [&view](const std::string &domain, std::uint32_t i) {
        return domain < view[i].failureDomain;
    };
    const auto first =
            std::lower_bound(admitted.begin(), admitted.end(), m_ownFailureDomain, before);
    const auto last = std::upper_bound(first, admitted.end(), m_ownFailureDomain, after);
    return {first, last};
}

std::optional<std::size_t> EndpointPicker::pickNear(const std::vector<EndpointView> &view,
                                                    const Rotation &rotation,
                                                    const std::unordered_set<std::string> &excluded,
                                                    const std::string &host, Duration maxWait,
                                                    TimePoint now, Random &random) const
{
    const auto own = ownFailureDomain(view, rotation.admitted);
    const auto isNear = [&](std::uint32_t i) {
        return !excluded.contains(view[i].id) && rotation.entries[i].isHealthy()
               && !hasRecentFailure(view[i].id, now) && estimate(view[i], now).wait <= maxWait;
    };
    const auto local = std::find_if(own.begin(), own.end(), [&](std::uint32_t i) {
        return view[i].node == host && isNear(i) && estimate(view[i], now).free > 0;
    });
    if (local != own.end())
        return *local;
    const auto choices = chooseTwo(own, isNear, random);
    if (choices.count == 0)
        return std::nullopt;
    const bool isSecondBetter = choices.count == 2
                                && isBetter(estimate(view[choices.items[1]], now),
                                            estimate(view[choices.items[0]], now));
    return choices.items[isSecondBetter ? 1 : 0];
}

std::optional<std::size_t>
EndpointPicker::pickInTrial(const std::vector<EndpointView> &view, const Rotation &rotation,
                            const std::unordered_set<std::string> &excluded, TimePoint now,
                            Random &random) const
{
    std::vector<std::uint32_t> candidates;
    for (const std::uint32_t i : rotation.admitted) {
        const EndpointView &endpoint = view[i];
        if (endpoint.onTrial && !excluded.contains(endpoint.id) && !hasInFlight(endpoint.id)
            && !hasRecentFailure(endpoint.id, now))
            candidates.push_back(i);
    }
    if (candidates.empty())
        return std::nullopt;
    return candidates[random() % candidates.size()];
}

std::optional<std::size_t>
EndpointPicker::pickLeastLoaded(const std::vector<EndpointView> &view, const Rotation &rotation,
                                const std::unordered_set<std::string> &excluded, TimePoint now,
                                Random &random) const
{
    std::optional<std::size_t> best;
    Estimate bestLoad;
    std::size_t equals = 0;
    for (const std::uint32_t i : rotation.admitted) {
        const EndpointView &endpoint = view[i];
        const auto load = estimate(endpoint, now);
        if (!rotation.entries[i].isHealthy() || excluded.contains(endpoint.id) || !isRoomy(load)
            || !hasRecentReport(endpoint.id, now) || hasRecentFailure(endpoint.id, now))
            continue;
        if (best && isBetter(bestLoad, load))
            continue;
        // Endpoints with the same load are chosen at random, so that gates do not all choose the
        // same one.
        equals = best && !isBetter(load, bestLoad) ? equals + 1 : 1;
        if (randomIndex(equals, random) != 0)
            continue;
        best = i;
        bestLoad = load;
    }
    return best;
}

bool EndpointPicker::hasRecentReport(const std::string &endpoint, TimePoint now) const
{
    const auto found = m_loads.find(endpoint);
    return found != m_loads.end() && found->second.hasReport
           && now - found->second.reportedAt < ReportLifetime;
}

bool EndpointPicker::hasInFlight(const std::string &endpoint) const
{
    const auto found = m_loads.find(endpoint);
    return found != m_loads.end() && found->second.inFlight > 0;
}

bool EndpointPicker::hasRecentFailure(const std::string &endpoint, TimePoint now) const
{
    const auto found = m_loads.find(endpoint);
    return found != m_loads.end() && found->second.failedAt
           && now - *found->second.failedAt < ReportLifetime;
}

void EndpointPicker::onRequestFailed(const std::string &endpoint, TimePoint now)
{
    m_loads[endpoint].failedAt = now;
}

void EndpointPicker::onRequestSent(const std::string &endpoint)
{
    Load &load = m_loads[endpoint];
    ++load.inFlight;
    ++load.sentSinceReport;
}

void EndpointPicker::onRequestEnded(const std::string &endpoint)
{
    const auto found = m_loads.find(endpoint);
    if (found == m_loads.end() || found->second.inFlight == 0)
        return;
    Load &load = found->second;
    --load.inFlight;
    load.sentSinceReport = std::min(load.sentSinceReport, load.inFlight);
}

void EndpointPicker::onLoadReported(const std::string &endpoint, const ReportedLoad &load,
                                    TimePoint now)
{
    Load &entry = m_loads[endpoint];
    entry.report = load;
    entry.reportedAt = now;
    entry.hasReport = true;
    entry.sentSinceReport = 0;
}

void EndpointPicker::retain(const std::unordered_set<std::string> &known)
{
    std::erase_if(m_loads, [&known](const auto &entry) { return !known.contains(entry.first); });
}

std::size_t EndpointPicker::size() const
{
    return m_loads.size();
}

} // namespace berylspur
