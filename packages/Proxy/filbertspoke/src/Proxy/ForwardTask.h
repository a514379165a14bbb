#ifndef FILBERTSPOKE_FORWARD_TASK_H
#define FILBERTSPOKE_FORWARD_TASK_H

#include "CallerConnection.h"
#include "GatewayContext.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace filbertspoke {

/** \brief How one attempt at an endpoint went. */
struct AttemptResult {
    std::optional<AttemptEnd> failure; ///< empty when the caller got the answer, or left
    EndpointFault fault = EndpointFault::Broken;
    std::optional<EndpointId> blamed; ///< the endpoint to avoid; without one, the first of the attempt
    std::string reason; ///< for the log

    bool operator==(const AttemptResult&) const = default;
};

/** \brief A request on its way, and what the ways of forwarding share. */
class ForwardTask {
public:
    ForwardTask(GatewayContext&, std::shared_ptr<CallerConnection>, CallerRequest, const Route&, ServiceId, std::optional<AccountId>, TimePoint received);

    Duration timeLeft() const { return this->deadline - bootNow(); }
    /** \returns whether another attempt may follow one that ended so, the shared retry budget included
     * \param history with that attempt */
    bool mayGoOn(const AttemptHistory& history, AttemptEnd) const;
    /** \returns what an attempt that is silent leaves when it is given up, or nothing when it has to be waited for: nobody
     * else may be asked */
    std::optional<AttemptHistory> afterSilence(const EndpointId& first) const;
    /** \brief Charges the retry budget for the next send when that is a repeat, once until it is sent.
     * \returns whether the request may be sent */
    bool payForSend();
    /** \brief Counts an attempt that ended without an answer.
     * \returns whether another endpoint may be asked */
    bool noteFailure(const AttemptResult&, const EndpointId& first);

    /** \brief Answers a request that is given up: with a refusal if it certainly has not run, else with a failure. */
    boost::asio::awaitable<void> giveUp(ErrorCode reason);
    /** \brief Writes a line on a decision about the request, with the versions of what is known of configuration and
     * endpoints, and the age of what is known of other daemons' work. */
    void logDecision(const std::string& event, std::vector<std::pair<std::string, std::string>> fields) const;
    /** \brief Writes the line that ends the request's trace. */
    void logEnd(const std::string& outcome, unsigned status) const;

    /** \brief Sends the request, for which payForSend() gave leave, on a kept connection if there is one, unless the caller has left.
     * \returns the connection, or nothing when no byte reached the endpoint */
    boost::asio::awaitable<UpstreamPointer> open(const ForwardMetadata&, AttemptResult&);
    /** \brief Reads heads until one answers this request; late answers to others are dropped. */
    boost::asio::awaitable<Result<EndpointReply>> readReply(const UpstreamPointer&, Duration timeout);

    /** \returns what the reply says went wrong, or nothing for one that can be passed on */
    std::optional<AttemptResult> judge(const EndpointReply&) const;

    /** \returns when a caller that is refused now had better come back */
    Duration returnDelay();

    bool keepAlive() const { return this->caller->keepAlive() && !this->context.stopping; }

    GatewayContext& context;
    std::shared_ptr<CallerConnection> caller;
    const CallerRequest request;
    const Route route;
    const ServiceId service;
    const std::optional<AccountId> account;
    const TimePoint received;
    const TimePoint deadline;
    UpstreamPointer upstream; ///< of the attempt in progress
    AttemptHistory history;
    bool paid = false; ///< the retry budget was charged for a send that has not been made yet
};

/** \brief Forwards a call to a replica of a plain service and its answer to the caller. */
boost::asio::awaitable<void> forwardCall(ForwardTask&);

/** \brief Forwards a generation to a chain of engines and its events to the caller; goes on with another chain
 * behind the last event that the caller got, when a chain breaks. */
boost::asio::awaitable<void> forwardStream(ForwardTask&);

}

#endif
