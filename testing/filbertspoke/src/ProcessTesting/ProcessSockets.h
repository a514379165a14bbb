#ifndef FILBERTSPOKE_PROCESS_SOCKETS_H
#define FILBERTSPOKE_PROCESS_SOCKETS_H

#include <filbertspoke/Http>
#include <filbertspoke/Socket>

#include <vector>

#include <sys/types.h>

namespace filbertspoke {

/** \brief A connected TCP socket of a process. */
struct ProcessSocket {
    HttpAddress local;
    HttpAddress remote;
    SocketTimeouts timeouts;

    bool operator==(const ProcessSocket&) const = default;
};

/** \returns the connected TCP sockets of the test's own process or of one that it started
 * \throws std::system_error when the system forbids access to the process's descriptors
 */
std::vector<ProcessSocket> connectedSockets(pid_t process);

}

#endif
