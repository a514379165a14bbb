#ifndef FILBERTSPOKE_SETTINGS_WATCHER_H
#define FILBERTSPOKE_SETTINGS_WATCHER_H

#include "GatewayContext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/signal_set.hpp>

#include <string>

namespace filbertspoke {

/** \brief Takes settings into force when their file changes, on SIGHUP and at the latest a second later. */
class SettingsWatcher {
public:
    /** \param text of the file as it was read at the start */
    SettingsWatcher(GatewayContext&, std::string file, std::string text);

    void start();

private:
    boost::asio::awaitable<void> awaitHangup();
    boost::asio::awaitable<void> poll();
    void reload(bool asked);

    GatewayContext& context;
    const std::string file;
    std::string text; ///< last read
    boost::asio::signal_set hangup;
};

}

#endif
