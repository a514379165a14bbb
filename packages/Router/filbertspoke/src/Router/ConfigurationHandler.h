#ifndef FILBERTSPOKE_CONFIGURATION_HANDLER_H
#define FILBERTSPOKE_CONFIGURATION_HANDLER_H

#include "Event.h"
#include "RouterContext.h"

#include <optional>

namespace filbertspoke::internal {

/** \brief Brings the configuration of the log's stream "configuration" into force. */
class ConfigurationHandler {
public:
    explicit ConfigurationHandler(RouterContext& context)
        : context(context)
    {
    }

    void start(const Now&, Actions&);
    void handle(const RecordsRead&, const Now&, Actions&);
    void handle(const Tick&, const Now&, Actions&);
    std::optional<TimePoint> nextWake() const;

private:
    RouterContext& context;
    ConfigurationFold fold;
};

}

#endif
