#ifndef FILBERTSPOKE_PENDING_ERROR_H
#define FILBERTSPOKE_PENDING_ERROR_H

#include <system_error>

namespace filbertspoke {

/** \brief Takes the error that the kernel keeps for the next operation on a socket.
 *
 * A read finds the end of a TCP connection that its other side has closed and then reset, and leaves the error of the reset.
 * \returns the error, empty if there is none; the error of the query itself if it fails
 */
std::error_code takePendingError(int descriptor);

}

#endif
