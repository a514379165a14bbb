#include "ConfigurationHandler.h"

#include <string>

namespace filbertspoke::internal {

void ConfigurationHandler::start(const Now&, Actions& actions)
{
    actions.push_back(ReadRecords { std::string(configurationStream), 0 });
}

void ConfigurationHandler::handle(const RecordsRead& event, const Now&, Actions& actions)
{
    if (event.stream != configurationStream)
        return;
    this->fold.truncate(event.oldest);
    for (const LogRecord& record : event.records)
        this->fold.apply(record);
    if (this->fold.inForce() == this->context.configuration)
        return;
    this->context.configuration = this->fold.inForce();
    actions.push_back(WriteLog { WriteLog::Level::Info, "configuration-in-force", { { "revision", std::to_string(this->context.configuration->revision) } } });
}

void ConfigurationHandler::handle(const Tick&, const Now&, Actions&) { }

std::optional<TimePoint> ConfigurationHandler::nextWake() const
{
    return std::nullopt;
}

}
