#ifndef FILBERTSPOKE_SETTINGS_WATCHER_H
#define FILBERTSPOKE_SETTINGS_WATCHER_H

#include "GatewayContext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/signal_set.hpp>

#include <string>

namespace filbertspoke {

/** \brief Reloads the settings file on SIGHUP, and within a second of a change of the file. */
class SettingsWatcher {
public:
    /** \param file path of the settings file
     * \param text content of the file as read at startup */
    SettingsWatcher(GatewayContext&, std::string file, std::string text);

    /** \brief Starts to watch for SIGHUP and for changes of the file. */
    void start();

private:
    boost::asio::awaitable<void> awaitHangup();
    boost::asio::awaitable<void> poll();
    void reload(bool forced);

    GatewayContext& context;
    const std::string file;
    std::string text; ///< content of the file when it was last read
    boost::asio::signal_set hangup;
};

}

#endif
