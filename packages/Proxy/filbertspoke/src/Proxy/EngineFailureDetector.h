#ifndef FILBERTSPOKE_ENGINE_FAILURE_DETECTOR_H
#define FILBERTSPOKE_ENGINE_FAILURE_DETECTOR_H

#include "CallerCodec.h"
#include "EngineCodec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace filbertspoke {

/** \brief Number of consecutive report requests without a response after which an engine counts as failed; a single one may be
 * due to a delay of this daemon. */
constexpr unsigned missedReportsForFailure = 2;

/** \brief Determines which engine of a stalled chain has failed, and whether an engine whose connection broke has crashed.
 *
 * The failure of an engine stalls many streams at once. Streams with the same first engine share one report request to it, so
 * that these requests don't overload the daemon.
 */
class EngineFailureDetector {
public:
    /** \brief Called with the engine before each report request. */
    using RequestListener = std::function<void(const EndpointId&)>;
    /** \brief Called with the engine after each report request, and with whether it accepted the new connection. */
    using ConnectionListener = std::function<void(const EndpointId&, bool accepted)>;

    EngineFailureDetector(boost::asio::io_context&, std::shared_ptr<const EngineCodec>, RequestListener, ConnectionListener);

    /** \brief Requests a report from the first engine of a chain, which names the engine that it waits for.
     * \returns the failed engine, the first one if it repeatedly does not respond, or nothing when none seems to have failed */
    boost::asio::awaitable<std::optional<EndpointId>> findFailedEngine(ForwardMetadata, RequestId);

    /** \brief Requests a report from an engine whose connection broke.
     * \param brokenAt time of the break; an older report is not used
     * \returns whether the engine gives none, so that it has crashed. One that only broke a connection still responds */
    boost::asio::awaitable<bool> hasCrashed(ForwardStage engine, TimePoint brokenAt);

private:
    /** \brief Result of the last report request to an engine. */
    struct ReportState {
        TimePoint requestedAt;
        TimePoint receivedAt;
        bool inFlight = false;
        unsigned missedReports = 0; ///< consecutive report requests without a response
        std::vector<StalledRequest> stalled;
    };

    boost::asio::awaitable<void> requestReport(ForwardStage first);

    boost::asio::io_context& context;
    std::shared_ptr<const EngineCodec> codec;
    RequestListener onRequest;
    ConnectionListener onConnection;
    std::map<EndpointId, ReportState> reportStates; ///< by first engine of the chain
};

}

#endif
