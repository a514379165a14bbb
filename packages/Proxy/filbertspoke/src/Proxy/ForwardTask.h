#ifndef FILBERTSPOKE_FORWARD_TASK_H
#define FILBERTSPOKE_FORWARD_TASK_H

#include "CallerConnection.h"
#include "GatewayContext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief Outcome of one attempt to forward a request. */
struct AttemptResult {
    std::optional<AttemptEnd> failure; ///< empty when the response was forwarded or the caller disconnected
    EndpointFault fault = EndpointFault::Broken;
    std::optional<EndpointId> blamed; ///< the endpoint at fault; when empty, the first endpoint of the attempt
    std::string reason; ///< for log lines and metrics
    bool pushedBack = false; ///< the first endpoint refused the request and named the time for which it wants no others
    std::uint32_t events = 0; ///< events of a stream that arrived in the attempt
    bool connectionBroken = false; ///< the first endpoint's connection broke before the end of the response
    std::optional<TimePoint> sentAt {}; ///< when the attempt began; set at least in refusals by an endpoint
    bool declined = false; ///< the gateway to which the request was handed over can't serve it either
    std::string evidence; ///< for the log: why an endpoint whose failure ended the attempt counts as failed, or what was wrong with its response

    bool operator==(const AttemptResult&) const = default;
};

/** \returns the failure of an attempt whose response could not be read because of the error
 * \param reason if the response was not malformed */
AttemptResult lostResponse(const std::error_code&, EndpointFault, const std::string& reason);

/** \brief State of a request that is being forwarded, with the steps common to forwardCall() and forwardStream(). */
class ForwardTask {
public:
    ForwardTask(GatewayContext&, std::shared_ptr<CallerConnection>, CallerRequest, const Route&, ServiceId, std::optional<AccountId>, TimePoint received);
    ~ForwardTask();
    ForwardTask(const ForwardTask&) = delete;
    ForwardTask& operator=(const ForwardTask&) = delete;

    /** \returns the time until the deadline; negative after it */
    Duration timeLeft() const { return this->deadline - bootNow(); }
    /** \returns whether the retry policy and the shared retry budget permit another attempt after one with this end
     * \param history including that attempt */
    bool canRetry(const AttemptHistory& history, AttemptEnd) const;
    /** \returns the attempt history as it will be if the stalled attempt at \a first is aborted now because of \a blamed, or nothing when no
     * retry is permitted after it, so that the attempt must not be aborted */
    std::optional<AttemptHistory> historyAfterStall(const EndpointId& first, const EndpointId& blamed) const;
    /** \brief Charges the retry budget if the next send is a retry. Repeated calls before that send charge it only once.
     * \returns whether the request may be sent */
    bool chargeRetryBudget();
    /** \brief Records a failed attempt in the history, the endpoint registry, the log and the metrics.
     * \returns whether a retry at another endpoint is permitted */
    bool noteFailure(const AttemptResult&, const EndpointId& first);

    /** \brief Sends the error response of a request that is not retried any more: \a reason with a Retry-After delay if no
     * endpoint can have executed the request, otherwise EndpointFailed.
     * \param returnAfter Retry-After delay; retryAfterDelay() by default */
    boost::asio::awaitable<void> respondFailure(ErrorCode reason, std::optional<Duration> returnAfter = {});
    /** \brief Sends a whole response, and logs and counts the outcome of the request. */
    boost::asio::awaitable<void> respond(const HttpResponse&, const std::string& outcome);
    /** \brief Suspends the request for the duration, or until closeConnections(). */
    boost::asio::awaitable<void> pause(Duration);
    /** \brief Logs a decision about the request, with the configuration version, the revision of the endpoint registry and
     * the age of the other daemons' load reports on which it is based. */
    void logDecision(const std::string& event, std::vector<std::pair<std::string, std::string>> fields) const;
    /** \returns this daemon's share of the endpoint's rate limit for log lines; empty without a limit */
    std::string rateShare(const EndpointId&) const;
    /** \brief Logs and counts the outcome of the request. */
    void logOutcome(const std::string& outcome, unsigned status) const;

    /** \returns the gateway to which to hand the request over, or nothing if this one serves it itself as far as it can */
    std::optional<SocketAddress> handoverTarget() const;
    /** \returns whether an attempt in progress may be aborted to hand the request over: this gateway is cut off from the endpoints, and another one
     * takes requests
     * \param history including the aborted attempt */
    bool canHandOver(const AttemptHistory&) const;
    /** \brief Hands the request over to another gateway.
     * \param endpointsUsed number of endpoints that may have run the request when the other gateway runs it
     * \param slot upstream or offered
     * \returns the connection, or nullptr when nothing was sent; the attempt's result then holds the failure */
    boost::asio::awaitable<UpstreamPointer> sendHandover(const SocketAddress& target, std::optional<std::uint64_t> lastEventId, std::uint32_t endpointsUsed, UpstreamPointer& slot, AttemptResult&);
    /** \brief Reads the head of the response of the gateway to which the request was handed over. */
    boost::asio::awaitable<Result<EndpointReply>> readHandoverReply(const UpstreamPointer&, Duration timeout);
    /** \returns the failure that the other gateway's response means, or nothing when it goes to the caller
     * \param streaming whether the caller has already got a part of the response */
    std::optional<AttemptResult> handoverFailureOf(const EndpointReply&, bool streaming) const;
    /** \brief Sends the whole response of the other gateway to the caller.
     * \returns the failure of the attempt, if any */
    boost::asio::awaitable<AttemptResult> relayHandoverResponse(const UpstreamPointer&, const SocketAddress& target, const EndpointReply&);
    /** \brief Records a failed handover.
     * \returns whether another attempt is permitted */
    bool noteHandoverFailure(const SocketAddress& target, const AttemptResult&);

    /** \brief Sends the request to the first stage, on a pooled connection that it was not sent on before or a new one, unless the caller has disconnected.
     * chargeRetryBudget() must have returned true before.
     * \param slot upstream or offered
     * \returns the connection, or nullptr when nothing was sent; the attempt's result then holds the failure */
    boost::asio::awaitable<UpstreamPointer> sendRequest(const ForwardMetadata&, UpstreamPointer& slot, AttemptResult&);
    /** \brief Reads response heads until one belongs to this request; late responses to other requests are dropped.
     * \param endpoint at the other end of the connection
     * \returns the reply, or the error of the connection, or MalformedMessage when too many heads did not match */
    boost::asio::awaitable<Result<EndpointReply>> readReply(const UpstreamPointer&, const EndpointId& endpoint, Duration timeout);

    /** \returns the failure that the reply reports, or nothing when the reply can be forwarded to the caller */
    std::optional<AttemptResult> classifyFailure(const EndpointReply&) const;

    /** \returns the randomized Retry-After delay for a caller that is refused now, not before the time at which the service's endpoints
     * accept requests again as far as they have said */
    Duration retryAfterDelay();

    /** \returns the time for which the service's endpoints refuse requests, or nothing when some accept them */
    std::optional<Duration> pushbackRemaining() const;

    /** \returns the time until an endpoint that may get the request accepts one from this daemon by its rate limit; zero when one does now
     * or there is none, and nothing when other daemons use all of them */
    std::optional<Duration> rateLimitDelay() const;
    /** \returns whether more requests wait than the endpoints with a rate limit will accept from this daemon in the time */
    bool rateLimitQueueIsFull(std::size_t waiting, Duration) const;

    /** \returns the traits for which the request may be refused */
    std::vector<RequestTraitId> traits() const;
    /** \brief Records that the request was served, so that it crashes no endpoint. */
    void noteServed();

    /** \returns the rank of the generation among those that compete for the service's engines, by generationRank(); 0 once its caller has events,
     * because a broken stream costs more than a refusal */
    std::uint32_t rank() const;
    /** \brief Counts that the generation is sent to a chain; repeated calls count once. */
    void noteGenerationStarted();

    /** \brief Closes the connections on which the request is in progress, and ends a pause(). */
    void closeConnections();
    /** \brief Ends the request because the gateway stops: the caller gets a response, or a stream that has begun is broken off. */
    void abandon();

    /** \returns whether the caller's connection stays open after the response */
    bool keepAlive() const { return this->caller->keepAlive() && !this->context.isStopping(); }

    GatewayContext& context;
    std::shared_ptr<CallerConnection> caller;
    const CallerRequest request;
    const Route route;
    const ServiceId service;
    const std::optional<AccountId> account;
    const std::vector<RequestTraitId> promptTraits; ///< shared parts of the prompt
    const std::optional<std::uint32_t> priority; ///< of the account, or else of the route; 0 is the most urgent
    const RequestTraitId fingerprint; ///< the same for all requests of the account with the same method, host, target and body
    const TimePoint received;
    const TimePoint deadline;
    const double handoverDraw; ///< random number that decides whether the request is handed over while only a part of them is
    UpstreamPointer upstream; ///< connection of the attempt in progress
    UpstreamPointer offered; ///< connection on which the rest of a stream is requested elsewhere while an attempt is in progress
    UpstreamSet usedConnections; ///< to which the request was sent
    AttemptHistory history;
    std::set<SocketAddress> triedGateways; ///< to which the request was handed over without success
    std::size_t declinedHandovers = 0;
    bool retryCharged = false; ///< whether the retry budget was charged for a send that has not happened yet
    bool abandoned = false; ///< whether abandon() was called
    bool streamBegun; ///< whether the caller has events of the stream, of this daemon or of the attempt that it resumes

private:
    /** \brief Records the fault of an endpoint that ended an attempt. */
    void noteFault(const AttemptResult&, const EndpointId& first, const EndpointId& blamed);
    /** \brief Sends a message on a connection that the request was not sent on before, unless the caller has disconnected.
     * \param endpoint at the address, or another name for a receiver that is no endpoint
     * \param slot gets the connection as soon as there is one, so that it can be closed
     * \returns the connection, or nullptr when nothing was sent */
    boost::asio::awaitable<UpstreamPointer> sendMessage(const SocketAddress&, const EndpointId& endpoint, const HttpRequest&, UpstreamPointer& slot, AttemptResult&);
    /** \returns the number of layers of the service's model; 0 for plain services */
    std::uint32_t modelLayers() const;
    /** \returns the endpoints to which the request may be sent, whatever their rate limits */
    std::vector<EndpointId> receivingEndpoints() const;
    /** \returns the priority for log lines and metrics */
    std::string priorityText(const std::string& none) const;

    bool generationStarted = false; ///< whether noteGenerationStarted() was called

    boost::asio::steady_timer pauseTimer;
};

/** \brief Forwards a call to a replica of a plain service and returns the complete response to the caller. */
boost::asio::awaitable<void> forwardCall(ForwardTask&);

/** \brief Forwards a generation request to a chain of engines and streams its events to the caller. When a chain fails, the
 * stream is resumed on another chain after the last event that the caller received. */
boost::asio::awaitable<void> forwardStream(ForwardTask&);

}

#endif
