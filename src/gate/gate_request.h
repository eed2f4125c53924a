// One caller request at the gate, from its arrival to the end of its response.
#pragma once

#include "berylspur/core/timer.h"
#include "berylspur/peer.pb.h"
#include "gate_context.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace berylspur {

/// Forwards one caller request to an endpoint and returns its response. Invariants: the caller gets
/// exactly one response, and the outcome is "not run" only if each attempt was never sent, or was
/// refused or revoked by its owner.
class GateRequest : public std::enable_shared_from_this<GateRequest>
{
public:
    GateRequest(GateContext &context, std::unique_ptr<CallerRequest> caller,
                std::function<void(GateRequest *)> onFinished);
    ~GateRequest();
    GateRequest(const GateRequest &) = delete;
    GateRequest &operator=(const GateRequest &) = delete;

    void begin();
    /// Responds immediately with \a code and the outcome "not run".
    void refuse(ErrorCode code, const std::string &detail = {});
    /// Responds immediately because the process is about to exit: outcome "unknown" if the request
    /// was sent to an owner, otherwise "not run". Does nothing if the response has started.
    void finishForShutdown();
    /// The home replied to, or failed, the lease request that this request waits for.
    void onLeaseReply();
    void closeCallerAfterResponse() { m_caller->closeAfterResponse(); }

    const RequestId &id() const { return m_id; }
    /// Request id for logs: the caller's id, or the generated one if the caller gave none.
    std::string logId() const { return m_callerId.empty() ? m_id.toHex() : m_callerId; }
    const std::string &service() const { return m_service; }
    const std::string &endpoint() const { return m_endpoint; }
    Duration age() const { return BootClock::now() - m_arrived; }

private:
    // Limit on the placement attempts before the request is refused or waits for a placement retry,
    // which starts the count again. A refusal by an owner costs one round trip only.
    static constexpr int MaxPlacements = 12;
    // Overload refusals after which the whole service counts as overloaded. The picker already
    // prefers short queues, so trying further owners would only cost CPU time.
    static constexpr int MaxOverloadRefusals = 4;
    // Wait after the deadline for a refusal in transit, which proves "not run".
    static constexpr Duration DeadlineGrace = std::chrono::milliseconds(300);
    static constexpr int MaxClaims = 5;
    static constexpr std::uint32_t FirstServerErrorStatus = 500;
    static constexpr Duration ClaimRetryDelay = std::chrono::milliseconds(100);
    static constexpr Duration AskRetryDelay = std::chrono::milliseconds(100);

    bool matchRoute();
    /// Continues begin() when the request may start: immediately, or once the earlier requests of
    /// its connection are answered.
    void admit();
    /// Timeout that the caller requested, if any. Fails if the header is not a whole number.
    Result<std::optional<Duration>> callerTimeout() const;
    std::string chooseService(const schema::ServiceConfig &config, const schema::Route &route);
    HeaderList forwardedHeaders() const;
    void checkRateLimit(bool isRecheck);
    void requestLease(const std::string &key, const RateLimit &limit);

    void startAttempt();
    bool chooseEndpoint();
    void claimKey();
    void onClaimReply(const schema::ClaimReply &reply);
    void onClaimFailure();
    void releaseKey();
    void dispatch();
    ExchangeHandler dispatchHandler();
    /// Serialized Dispatch message. \a lastTick: last tick (PING response) received from the owner
    /// on this connection, echoed so that the owner can bound the transit time.
    std::string dispatchEnvelope(std::uint64_t lastTick);
    void onDispatchReply(const std::string &envelope);
    void onDispatchEnd(ErrorCode code);
    void endAttempt();
    /// Keeps the reported load, failures and service times of the attempt's endpoint.
    void recordReply(const schema::DispatchReply &reply);

    // A second attempt beside one at a silent endpoint; see gate_request_second_attempt.cpp.
    void startSilenceTimer();
    void onSilence();
    bool isSilent(int attempt) const { return m_silent && m_silent->number == attempt; }
    void onSilentReply(const std::string &envelope);
    /// Ends the attempt at the silent endpoint without using its response.
    void dropSilentAttempt();
    /// Ends the second attempt and waits for the first one again. Returns false if there is none.
    bool returnToSilentAttempt();

    /// True if the request may be retried at another endpoint instead of returning an endpoint's
    /// error response. \a load is the load of that endpoint, taken as a sample of its service.
    bool canRetryErrorResponse(const schema::OwnerLoad &load);
    /// Schedules another placement attempt if shouldRetryPlacement() allows it. Returns false if
    /// the request must be refused.
    bool schedulePlacementRetry();
    /// Retries elsewhere or finishes with \a code. \a reached: the last attempt may have reached an
    /// endpoint.
    void retry(ErrorCode code, bool reached);

    /// Asks the owner \a node for the state of request \a id. The owner first revokes the request
    /// if it is unknown or still queued, so REQUEST_REVOKED proves that it did not and will not
    /// run.
    void ask(const RequestId &id, const std::string &node, Incarnation incarnation);
    void onAskReply(const schema::AskReply &reply, const std::string &body);
    void onAskFailure();

    void onDeadline();
    void onDeadlineGraceEnd();
    /// Responds with outcome "not run", or "unknown" if an earlier attempt may have run.
    void finishNotRun(ErrorCode code);
    void finishUnknown(ErrorCode code);
    void respondFailure(std::uint32_t status, ErrorCode code, std::string_view outcome);
    /// Value of the Retry-After header, in seconds.
    std::string retryAfterValue();
    /// If this request is a nested call, reports its result to the owner on this host.
    void reportNestedCallEnd(bool isSuccess);
    void record(schema::DecisionKind kind, const std::string &rule, ErrorCode code);
    /// The caller closed its connection before the response was complete.
    void onCallerDisconnect();
    void complete();

    TrafficClass trafficClass() const;

    GateContext &m_context;
    std::unique_ptr<CallerRequest> m_caller;
    std::function<void(GateRequest *)> m_onFinished;
    Timer m_deadlineTimer;
    Timer m_claimTimer;
    Timer m_askTimer;
    Timer m_placementTimer;
    Timer m_silenceTimer;
    RequestId m_id; // the same for all attempts
    TimePoint m_arrived;
    TimePoint m_deadline;

    std::string m_service;
    std::string m_routeKey;
    std::uint32_t m_priority = 0;
    std::uint32_t m_latencyTargetMs = 0; // 0: none
    std::string m_customer;
    std::string m_key; // key of the idempotency record; empty without Idempotency-Key
    HeaderList m_headers;
    SharedBody m_body; // until the response starts, since a retry needs it
    bool m_idempotent = false;
    RequestClass m_requestClass = RequestClass::Short;
    std::uint64_t m_revision = 0;

    int m_placements = 0; // placement attempts since the last placement retry
    std::uint32_t m_failedAttempts = 0; // failed ones that may have reached an endpoint
    std::uint32_t m_maxAttempts = 1;
    std::string m_callerId; // request id given by the caller; empty: none
    bool m_isNestedCall =
            false; // sent by the endpoint on this host while it serves another request
    bool m_isCallOfRepeat = false; // the same, and that request was repeated itself
    // A finished attempt may have run. Does not cover the dispatch in flight (m_dispatching).
    bool m_earlierAttemptMayHaveRun = false;
    bool m_keyClaimed = false;
    int m_failedClaims = 0;
    // Earlier claim of the key, to be replaced because its owner proved the request "not run".
    std::optional<KeyClaim> m_replacedClaim;
    std::unordered_set<std::string> m_excludedEndpoints; // already tried
    ErrorCode m_lastRefusal = ErrorCode::NotRunNoEndpoint;
    bool m_refusedForOverload = false; // by at least one owner
    // Refusals because of overload since the request arrived or since the last placement retry.
    int m_overloadRefusals = 0;
    Duration m_retryAfter {};

    std::string m_endpoint;
    std::string m_node;
    Address m_address;
    Incarnation m_incarnation = 0;
    std::shared_ptr<PeerExchange> m_exchange; // claim, dispatch or ask in flight
    bool m_dispatching = false; // m_exchange is a dispatch without a reply so far
    bool m_countedByPicker = false; // the picker counts this request as in flight
    Duration m_expectedWait {}; // in the queue of the endpoint, when it was picked
    int m_attempt = 0; // number of the one in m_exchange
    int m_startedAttempts = 0;
    /// An attempt in flight at an endpoint that did not respond in the usual time, while
    /// m_exchange is the second attempt.
    struct SilentAttempt
    {
        int number = 0;
        std::string endpoint;
        std::string node;
        Address address;
        Incarnation incarnation = 0;
        std::shared_ptr<PeerExchange> exchange;
    };
    std::optional<SilentAttempt> m_silent;
    std::uint32_t m_status = 0; // of the response to the caller; 0: not started
    bool m_streaming = false; // the response to the caller has started
    std::size_t m_unflushed = 0; // response bytes not yet written to the caller's socket
    bool m_askIsAboutFirstUse = false; // the ask is about an earlier request with the same key
    RequestId m_askId;
    std::string m_askNode;
    Incarnation m_askIncarnation = 0;
    bool m_deadlinePassed = false;
    bool m_isComplete = false;
};

} // namespace berylspur
