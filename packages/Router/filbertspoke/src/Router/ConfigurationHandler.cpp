#include "ConfigurationHandler.h"

namespace filbertspoke::internal {

void ConfigurationHandler::start(const Now&, Actions& actions)
{
    actions.push_back(ReadRecords { "configuration", 0 });
}

void ConfigurationHandler::handle(const RecordsRead&, const Now&, Actions&) { }

void ConfigurationHandler::handle(const Tick&, const Now&, Actions&) { }

std::optional<TimePoint> ConfigurationHandler::nextWake() const
{
    return std::nullopt;
}

}
