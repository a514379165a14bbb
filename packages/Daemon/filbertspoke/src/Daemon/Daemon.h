#ifndef FILBERTSPOKE_DAEMON_H
#define FILBERTSPOKE_DAEMON_H

#include <filbertspoke/Configuration>
#include <filbertspoke/Router>

#include <memory>

namespace filbertspoke {

namespace internal {
class DaemonLoop;
}

/** \brief Feeds what happens outside into a Router and carries out what it decides.
 *
 * Everything runs on the one thread that calls run().
 */
class Daemon {
public:
    /** \brief Binds every address of the settings.
     * \throws std::system_error when one can't be bound
     */
    explicit Daemon(const Settings&);
    ~Daemon();

    /** \brief Serves until a stop is done. SIGTERM and SIGINT ask for a graceful stop, a second
     * one, or the drain limit of the settings, for the end of what is still in progress. */
    void run();

private:
    std::unique_ptr<internal::DaemonLoop> loop;
};

}

#endif
