#ifndef FILBERTSPOKE_CALL_HANDLER_H
#define FILBERTSPOKE_CALL_HANDLER_H

#include "Event.h"
#include "RouterContext.h"

#include <cstddef>
#include <map>
#include <optional>

namespace filbertspoke::internal {

/** \brief Takes calls to plain services to one of their endpoints, and the answers back. */
class CallHandler {
public:
    explicit CallHandler(RouterContext& context)
        : context(context)
    {
    }

    void start(const Now&, Actions&);
    void handle(const CallReceived&, const Now&, Actions&);
    void handle(const CallAnswered&, const Now&, Actions&);
    void handle(const CallFailed&, const Now&, Actions&);
    void handle(const CallerGone&, const Now&, Actions&);
    void handle(const RecordsRead&, const Now&, Actions&);
    void handle(const ReadFailed&, const Now&, Actions&);
    void handle(const RecordsAppended&, const Now&, Actions&);
    void handle(const AppendFailed&, const Now&, Actions&);
    void handle(const PeerReceived&, const Now&, Actions&);
    void handle(const PeerUnreached&, const Now&, Actions&);
    void handle(const Tick&, const Now&, Actions&);
    std::optional<TimePoint> nextWake() const;

    std::size_t inProgress() const { return this->calls.size(); }
    /** \brief Refuses what is left when a stop can wait no longer. */
    void abandon(const Now&, Actions&);

private:
    RouterContext& context;
    std::map<RequestId, EndpointId> calls;
};

}

#endif
