// One caller request at the gate, from its arrival to the end of its response.
#pragma once

#include "berylspur/core/text_escape.h"
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
    /// Same, with the \a rule of the decision record.
    void refuseByRule(ErrorCode code, const std::string &rule);
    /// Responds immediately because the process is about to exit: outcome "unknown" if the request
    /// was sent to an owner, otherwise "not run". Does nothing if the response has started.
    void finishForShutdown();
    /// The home replied to, or failed, the lease request that this request waits for.
    void onLeaseReply();
    void closeCallerAfterResponse() { m_caller->closeAfterResponse(); }

    const RequestId &id() const { return m_id; }
    /// Request id for logs: the caller's id, or the generated one if the caller gave none.
    std::string logId() const
    {
        return m_callerId.empty() ? m_id.toHex() : printableText(m_callerId);
    }
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
    // A body of this size takes as long to transfer as a request waits in a queue on the slowest
    // links, so it is sent only to an owner that has agreed to admit the request.
    static constexpr std::size_t LargeBodyBytes = 32u << 10;
    // A request waits for a token for at most this part of the time left.
    static constexpr int QuotaWaitShare = 4;
    static constexpr int MaxClaims = 5;
    static constexpr std::uint32_t FirstServerErrorStatus = 500;
    static constexpr Duration ClaimRetryDelay = std::chrono::milliseconds(100);
    static constexpr Duration AskRetryDelay = std::chrono::milliseconds(100);

    bool matchRoute();
    /// Determines the customer and the priority, and whether this is a nested call. Returns false
    /// if the route requires a key and the request has none that is in force.
    bool identifyCustomer(const schema::ServiceConfig &config, const schema::Route &route);
    /// Run of which this request is a nested call, if it is one.
    ParentRun parentRun() const;
    bool hasKey() const;
    /// Continues begin() when the request may start: immediately, or once the earlier requests of
    /// its connection are answered.
    void admit();
    /// True unless the services that the run would call are short of capacity; otherwise the
    /// request has been refused.
    bool areCallsAdmitted();
    /// Timeout that the caller requested, if any. Fails if the header is not a whole number.
    Result<std::optional<Duration>> callerTimeout() const;
    std::string chooseService(const schema::ServiceConfig &config, const schema::Route &route);
    HeaderList forwardedHeaders() const;
    void checkRateLimit(bool isRecheck);
    void requestLease(const std::string &key, const RateLimit &limit);
    /// Checks the customer's quota over the whole fleet.
    void checkQuota();
    void applyQuota(const QuotaTask::Decision &decision);
    void onQuotaTimeout();

    void startAttempt();
    bool chooseEndpoint();
    /// Makes \a endpoint that of the next dispatch. Returns false if its owner is not known.
    bool useEndpoint(const EndpointView &endpoint);
    /// Adds what this gate believes of the service and of the endpoint that was tried last.
    void addPlacementFigures(schema::DecisionRecord &record);
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
    /// Keeps the reported load and failures of the attempt's endpoint.
    void recordReply(const schema::DispatchReply &reply);
    /// Keeps the service times of the attempt's endpoint.
    void recordSample(const schema::DispatchReply &reply);

    // Asking an owner before a large body is sent to it; see gate_request_offer.cpp.
    void offer();
    void onOfferReply(const schema::DispatchReply &reply);
    void onOfferFailure();
    /// Sends the request to the chosen endpoint, after claiming its key if it has one.
    void sendAttempt();

    // A second attempt beside one that has not responded; see gate_request_second_attempt.cpp and
    // gate_request_hedging.cpp.
    struct SilentAttempt;
    /// Starts the timer for what is due first: a hedge after \a hedge, or the endpoint counts as
    /// silent.
    void startSecondAttemptTimer(std::optional<Duration> hedge);
    void onSecondAttemptDue();
    /// Time from dispatch, at \a sentAt, after which the endpoint counts as silent. \a
    /// expectedWait: in its queue.
    std::optional<Duration> silenceDelay(TimePoint sentAt, Duration expectedWait);
    void onSilence();
    /// Hedging of the service; null if it is off.
    ServiceHedging *hedging();
    std::optional<Duration> hedgeDelay(TimePoint now);
    void onHedgeDue();
    HedgeVerdict tryHedge();
    void recordLatency(Duration latency);
    SilentAttempt currentAttempt() const;
    /// Keeps \a first beside a new attempt at the chosen endpoint. \a rule names the cause, ahead
    /// of the first endpoint.
    void startSecondAttempt(SilentAttempt first, const std::string &rule);
    /// The response of the attempt in m_exchange, with \a status, goes to the caller.
    void onAnswerChosen(std::uint32_t status);
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
    /// If this request is a nested call, reports its result to the owner on this host. \a code is
    /// that of the failure, if any.
    void reportNestedCallEnd(bool isSuccess, ErrorCode code = ErrorCode::Ok);
    void record(schema::DecisionKind kind, const std::string &rule, ErrorCode code);
    /// The caller closed its connection before the response was complete.
    void onCallerDisconnect();
    void complete();

    TrafficClass trafficClass() const;
    /// Time for which a request with a large body may wait at a near endpoint; zero for others.
    Duration maxNearWait() const;

    GateContext &m_context;
    std::unique_ptr<CallerRequest> m_caller;
    std::function<void(GateRequest *)> m_onFinished;
    Timer m_deadlineTimer;
    Timer m_claimTimer;
    Timer m_askTimer;
    Timer m_placementTimer;
    Timer m_silenceTimer;
    Timer m_quotaTimer;
    RequestId m_id; // the same for all attempts
    TimePoint m_arrived;
    TimePoint m_deadline;

    std::string m_service;
    std::string m_routeKey;
    std::uint32_t m_priority = 0;
    std::uint32_t m_latencyTargetMs = 0; // 0: none
    bool m_hasCustomers = false; // the configuration had customers when the request arrived
    std::string m_customer;
    QuotaTask::Ticket m_quotaTicket; // while the request waits for a token of its customer
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
    std::string m_refusalRule; // of the decision record; empty: the name of the code

    std::string m_endpoint;
    std::string m_node;
    Address m_address;
    Incarnation m_incarnation = 0;
    std::shared_ptr<PeerExchange> m_exchange; // claim, dispatch or ask in flight
    bool m_dispatching = false; // m_exchange is a dispatch without a reply so far
    bool m_countedByPicker = false; // the picker counts this request as in flight
    Duration m_expectedWait {}; // in the queue of the endpoint, when it was picked
    Duration m_viewAge {}; // of what was known of the endpoint, when it was picked
    RotationVerdict m_verdict = RotationVerdict::InRotation; // on the endpoint, when it was picked
    bool m_wasOnTrial = false; // in the view of this gate, when it was picked
    int m_attempt = 0; // number of the one in m_exchange
    int m_startedAttempts = 0;
    TimePoint m_sentAt; // the attempt in m_exchange
    bool m_isHedgeDue = false; // next, by m_silenceTimer
    int m_hedgeAttempt = -1; // number of the hedge; -1: none
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
        TimePoint sentAt;
        Duration expectedWait {};
    };
    std::optional<SilentAttempt> m_silent;
    Duration m_serviceTime {}; // at the endpoint that responded; zero: none did
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
