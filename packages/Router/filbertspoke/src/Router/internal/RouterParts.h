#ifndef FILBERTSPOKE_ROUTER_PARTS_H
#define FILBERTSPOKE_ROUTER_PARTS_H

#include "../CallHandler.h"
#include "../CompletionHandler.h"
#include "../ConfigurationHandler.h"
#include "../DemandHandler.h"
#include "../DrainHandler.h"
#include "../MembershipHandler.h"
#include "../RouterContext.h"

#include <filbertspoke/Router>

#include <optional>

namespace filbertspoke::internal {

/** \brief The handlers of one Router, and which of them gets which event. */
class RouterParts {
public:
    RouterParts(DaemonIdentity, Random::result_type seed, Planner);

    void start(const Now&, Actions&);

    void handle(const CompletionReceived&, const Now&, Actions&);
    void handle(const CallReceived&, const Now&, Actions&);
    void handle(const KeyRequested&, const Now&, Actions&);
    void handle(const CallerDisconnected&, const Now&, Actions&);
    void handle(const StepAnswered&, const Now&, Actions&);
    void handle(const StepFailed&, const Now&, Actions&);
    void handle(const CallAnswered&, const Now&, Actions&);
    void handle(const CallFailed&, const Now&, Actions&);
    void handle(const EndpointReported&, const Now&, Actions&);
    void handle(const EndpointPollFailed&, const Now&, Actions&);
    void handle(const RecordsRead&, const Now&, Actions&);
    void handle(const ReadFailed&, const Now&, Actions&);
    void handle(const RecordsAppended&, const Now&, Actions&);
    void handle(const AppendFailed&, const Now&, Actions&);
    void handle(const HostsListed&, const Now&, Actions&);
    void handle(const HostListFailed&, const Now&, Actions&);
    void handle(const PeerMessageReceived&, const Now&, Actions&);
    void handle(const PeerSendFailed&, const Now&, Actions&);
    void handle(const Tick&, const Now&, Actions&);
    void handle(const StopRequested&, const Now&, Actions&);

    /** \brief Does what follows from the event just handled: lost endpoints, a stop that is done. */
    void settle(const Now&, Actions&);

    std::optional<TimePoint> nextWake() const;
    RouterStatus status() const;
    const RequestTrace* findTrace(const RequestId&) const;

private:
    std::size_t inProgress() const;
    void countDaemons();

    RouterContext context;
    ConfigurationHandler configuration;
    MembershipHandler membership;
    CompletionHandler completions;
    DemandHandler demand;
    CallHandler calls;
    DrainHandler drain;
};

}

#endif
