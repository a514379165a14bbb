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

/** \brief Computes how many requests of a model a daemon may have in progress.
 *
 * By Little's law, the number of streams that meets the target inter-token latency is the token rate of
 * the whole pipeline times that latency; each daemon takes an equal share. Further streams would only queue
 * at the engines, which consider neither account shares nor deadlines.
 */
class ModelConcurrency {
public:
    static constexpr Duration targetInterTokenLatency = std::chrono::milliseconds(50); ///< time between two tokens of a stream at full load

    /** \brief Computes the limit, at least 1, from the reported rates of the engines.
     * \param daemons number of daemons that share the engines, including this one
     * \returns the number of requests, or nothing while the reported rates do not cover all layers */
    std::optional<std::uint32_t> limit(const ModelConfiguration&, const EndpointView&, std::uint32_t daemons);

private:
    struct Cached {
        std::uint64_t revision = 0;
        double tokensPerSecond = 0;
    };

    std::map<std::pair<ModelId, std::string>, Cached> capacityByModel;
};

}

#endif
