#ifndef FILBERTSPOKE_LOSS_DIAGNOSIS_H
#define FILBERTSPOKE_LOSS_DIAGNOSIS_H

#include "CallerCodec.h"
#include "EngineCodec.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>

namespace filbertspoke {

/** \brief Reports in a row to which an engine gave no answer when it counts as lost; one may be this daemon's own delay. */
constexpr unsigned silencesForLost = 2;

/** \brief Finds out which engine a silent chain waits for.
 *
 * Many streams fall silent together when an engine is lost. They share one question to each first engine, so that
 * the questions don't overload the daemon.
 */
class LossDiagnosis {
public:
    LossDiagnosis(boost::asio::io_context&, std::shared_ptr<const EngineCodec>);

    /** \brief Asks the first engine of a chain which other engine it waits for.
     * \returns the engine that is lost, the first one if it does not answer repeatedly, or nothing when none seems lost */
    boost::asio::awaitable<std::optional<EndpointId>> findLost(ForwardMetadata, RequestId);

private:
    struct Finding {
        TimePoint askedAt;
        bool asking = false;
        unsigned silences = 0; ///< questions in a row without an answer
        std::vector<StalledRequest> stalled;
    };

    boost::asio::awaitable<void> ask(ForwardStage first);

    boost::asio::io_context& context;
    std::shared_ptr<const EngineCodec> wire;
    std::map<EndpointId, Finding> findings; ///< by first engine
};

}

#endif
