// Execution state of each request id at an owner. Prevents duplicate execution and answers whether
// a request was executed.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace berylspur {

/// Transitions: Queued -> Dispatched -> Done, or Queued -> Revoked. Revoked and Done are final.
enum class RequestPhase { Queued, Dispatched, Done, Revoked };

/// Response that is stored for a gate that lost its connection.
struct StoredResponse
{
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Result of RequestLedger::ask().
struct LedgerLookup
{
    RequestPhase phase = RequestPhase::Revoked;
    const StoredResponse *response = nullptr; ///< only for Done; valid until the next call
};

/// Request ids that an owner knows, with their phases. Invariant: ask() revokes an id that is
/// unknown or queued, so a dispatch of it that arrives later is refused.
class RequestLedger
{
public:
    struct Limits
    {
        Duration retention = std::chrono::seconds(120); ///< of a record after its final phase
        std::size_t maxResponseBytes = 4096;
        std::size_t maxTotalResponseBytes = 4u << 20; ///< of all responses; evicts the oldest
    };

    RequestLedger() : RequestLedger(Limits {}) { }
    explicit RequestLedger(Limits limits);

    /// Records \a id as Queued. Returns false if the id is already known; the request must not be
    /// executed then.
    bool admit(const RequestId &id, TimePoint now);
    /// Forgets the revoked or finished request \a id, which may run again because it is idempotent.
    /// Returns false if it is queued, running or unknown.
    bool forget(const RequestId &id);

    /// Queued -> Dispatched. Returns false without a change in any other phase; the request must
    /// not be executed then.
    bool dispatch(const RequestId &id, TimePoint now);

    /// Dispatched -> Done. Stores \a response if there is one and it is within the size limits.
    void finish(const RequestId &id, std::optional<StoredResponse> response, TimePoint now);

    /// Unknown or Queued -> Revoked. Returns false if the phase is Dispatched or Done.
    bool revoke(const RequestId &id, TimePoint now);

    /// Revokes \a id if it is unknown or queued, then returns its phase and stored response.
    LedgerLookup ask(const RequestId &id, TimePoint now);

    /// Phase of \a id, or nullopt if it is unknown. Does not change the phase.
    std::optional<RequestPhase> phase(const RequestId &id) const;

    /// Removes records whose retention time has passed.
    void expire(TimePoint now);

    std::size_t size() const;
    std::size_t storedResponseBytes() const;

private:
    struct Record
    {
        RequestPhase phase = RequestPhase::Queued;
        TimePoint finalizedAt; ///< or time of the last revoke() or ask() in phase Revoked
        std::unique_ptr<StoredResponse> response; ///< only in Done
    };
    struct FinalizedRecord
    {
        TimePoint time;
        RequestId id;
    };
    struct StoredResponseEntry
    {
        RequestId id;
        std::size_t bytes = 0;
    };

    void finalize(const RequestId &id, Record &record, RequestPhase phase, TimePoint now);
    void evictOldestResponse();

    Limits m_limits;
    std::unordered_map<RequestId, Record> m_records;
    /// Holds each record in a final phase exactly once. Queued and dispatched records have no
    /// entry, so they never expire.
    std::deque<FinalizedRecord> m_finalizedRecords;
    /// Stored responses in completion order. The sum of their sizes is m_storedResponseBytes.
    std::deque<StoredResponseEntry> m_storedResponses;
    std::size_t m_storedResponseBytes = 0;
};

} // namespace berylspur
