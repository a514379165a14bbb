#ifndef FILBERTSPOKE_GATEWAY_DAEMON_H
#define FILBERTSPOKE_GATEWAY_DAEMON_H

#include "GatewayContext.h"

#include <memory>
#include <string>

namespace filbertspoke {

/** \brief The file that settings were read from. */
struct SettingsFile {
    std::string path;
    std::string text;

    auto operator<=>(const SettingsFile&) const = default;
};

/** \brief One gateway process: it forwards callers' requests to endpoints until it is told to stop. */
class GatewayDaemon {
public:
    /** \throws boost::system::system_error when an address can't be bound */
    GatewayDaemon(const GatewaySettings&, const GatewayWires&, SettingsFile);
    ~GatewayDaemon();

    /** \brief Serves until SIGTERM or SIGINT, then lets requests in progress finish. */
    void run();

private:
    class State;
    std::unique_ptr<State> state;
};

}

#endif
