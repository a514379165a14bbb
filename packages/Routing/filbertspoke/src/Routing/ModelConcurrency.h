#ifndef FILBERTSPOKE_MODEL_CONCURRENCY_H
#define FILBERTSPOKE_MODEL_CONCURRENCY_H

#include "EndpointView.h"

#include <filbertspoke/Configuration>
#include <filbertspoke/Core>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace filbertspoke {

/** \brief Works out how many requests of a model a daemon may have in progress.
 *
 * By Little's law the streams that keep the gap between tokens at its target are the tokens a second
 * that the stages can serve, times that gap; a daemon takes its even part. More streams would only
 * wait at the engines, where no account's share and no deadline counts.
 */
class ModelConcurrency {
public:
    static constexpr Duration targetGap = std::chrono::milliseconds(50); ///< between two tokens of a stream at full load

    /** \param daemons how many daemons share the engines, with this one
     * \returns the requests in progress, or nothing while the engines have not reported their rates */
    std::optional<std::uint32_t> limit(const ModelConfiguration&, const EndpointView&, std::uint32_t daemons);

private:
    struct Cached {
        std::uint64_t revision = 0;
        double tokensPerSecond = 0;
    };

    std::map<std::pair<ModelId, std::string>, Cached> byModel;
};

}

#endif
