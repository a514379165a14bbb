#ifndef FILBERTSPOKE_GATEWAY_DAEMON_H
#define FILBERTSPOKE_GATEWAY_DAEMON_H

#include "GatewayContext.h"

#include <memory>
#include <string>

namespace filbertspoke {

/** \brief The settings file, with the text that was read from it. */
struct SettingsFile {
    std::string path;
    std::string text;

    auto operator<=>(const SettingsFile&) const = default;
};

/** \brief The gateway process, which forwards callers' requests to endpoints until a signal stops it. */
class GatewayDaemon {
public:
    /** \throws boost::system::system_error when an address can't be bound */
    GatewayDaemon(const GatewaySettings&, const GatewayCodecs&, SettingsFile);
    ~GatewayDaemon();

    /** \brief Serves until SIGTERM or SIGINT, then drains the requests in progress within the configured stop timeout. */
    void run();

private:
    class State;
    std::unique_ptr<State> state;
};

}

#endif
