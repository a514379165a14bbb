#ifndef FILBERTSPOKE_DAEMON_H
#define FILBERTSPOKE_DAEMON_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Router>

#include <memory>

namespace filbertspoke {

namespace internal {
class DaemonLoop;
}

/** \brief Passes events from sockets, timers and signals to a Router and executes the actions it returns.
 *
 * All work is done on the thread that calls run().
 */
class Daemon {
public:
    /** \brief Binds every listening address in the settings.
     * \throws std::system_error if an address cannot be bound
     */
    explicit Daemon(const Settings&);
    ~Daemon();

    /** \brief Serves requests until shutdown is complete.
     *
     * The first SIGTERM or SIGINT starts a graceful shutdown, which lets requests in progress finish. A second signal,
     * or the drain timeout in the settings, aborts the requests that are still in progress. */
    void run();

private:
    std::unique_ptr<internal::DaemonLoop> loop;
};

}

#endif
