// Phase transitions, response storage and expiry of request records.
#include "berylspur/owner/request_ledger.h"

#include <utility>

namespace berylspur {

namespace {

std::size_t responseBytes(const StoredResponse &response)
{
    std::size_t bytes = response.body.size();
    for (const auto &[name, value] : response.headers)
        bytes += name.size() + value.size();
    return bytes;
}

bool isFinal(RequestPhase phase)
{
    return phase == RequestPhase::Revoked || phase == RequestPhase::Done;
}

} // namespace

RequestLedger::RequestLedger(Limits limits) : m_limits(limits) { }

bool RequestLedger::admit(const RequestId &id, TimePoint /*now*/)
{
    return m_records.try_emplace(id).second;
}

bool RequestLedger::forget(const RequestId &id)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.response)
        return false;
    if (!isFinal(found->second.phase))
        return false;
    m_records.erase(found);
    return true;
}

bool RequestLedger::dispatch(const RequestId &id, TimePoint /*now*/)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.phase != RequestPhase::Queued)
        return false;
    found->second.phase = RequestPhase::Dispatched;
    return true;
}

void RequestLedger::finish(const RequestId &id, std::optional<StoredResponse> response,
                           TimePoint now)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.phase != RequestPhase::Dispatched)
        return;
    Record &record = found->second;
    finalize(id, record, RequestPhase::Done, now);
    if (!response)
        return;
    const std::size_t bytes = responseBytes(*response);
    if (bytes > m_limits.maxResponseBytes || bytes > m_limits.maxTotalResponseBytes)
        return;
    while (m_storedResponseBytes + bytes > m_limits.maxTotalResponseBytes)
        evictOldestResponse();
    record.response = std::make_unique<StoredResponse>(std::move(*response));
    m_storedResponses.push_back({id, bytes});
    m_storedResponseBytes += bytes;
}

bool RequestLedger::revoke(const RequestId &id, TimePoint now)
{
    const auto [entry, isNew] = m_records.try_emplace(id);
    Record &record = entry->second;
    if (record.phase == RequestPhase::Queued)
        finalize(id, record, RequestPhase::Revoked, now);
    else if (record.phase == RequestPhase::Revoked)
        record.finalizedAt = now; // The caller relies on "not run" for a full retention time.
    return record.phase == RequestPhase::Revoked;
}

LedgerLookup RequestLedger::ask(const RequestId &id, TimePoint now)
{
    revoke(id, now);
    const Record &record = m_records.find(id)->second;
    return {record.phase, record.response.get()};
}

std::optional<RequestPhase> RequestLedger::phase(const RequestId &id) const
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return std::nullopt;
    return found->second.phase;
}

void RequestLedger::expire(TimePoint now)
{
    while (!m_finalizedRecords.empty()
           && m_finalizedRecords.front().time + m_limits.retention <= now) {
        const RequestId id = m_finalizedRecords.front().id;
        const TimePoint time = m_finalizedRecords.front().time;
        m_finalizedRecords.pop_front();
        const auto found = m_records.find(id);
        // Forgotten, and not admitted again or still open.
        if (found == m_records.end() || !isFinal(found->second.phase))
            continue;
        if (found->second.finalizedAt > time) {
            m_finalizedRecords.push_back({found->second.finalizedAt, id});
            continue;
        }
        if (found->second.response) {
            // Responses are stored in completion order, so those of expired requests come first.
            while (found->second.response)
                evictOldestResponse();
        }
        m_records.erase(found);
    }
}

std::size_t RequestLedger::size() const
{
    return m_records.size();
}

std::size_t RequestLedger::storedResponseBytes() const
{
    return m_storedResponseBytes;
}

void RequestLedger::finalize(const RequestId &id, Record &record, RequestPhase phase, TimePoint now)
{
    record.phase = phase;
    record.finalizedAt = now;
    m_finalizedRecords.push_back({now, id});
}

void RequestLedger::evictOldestResponse()
{
    const StoredResponseEntry &oldest = m_storedResponses.front();
    m_storedResponseBytes -= oldest.bytes;
    m_records.find(oldest.id)->second.response.reset();
    m_storedResponses.pop_front();
}

} // namespace berylspur
