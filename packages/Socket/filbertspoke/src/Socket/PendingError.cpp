#include <filbertspoke/Socket>

#include <sys/socket.h>

#include <cerrno>

namespace filbertspoke {

std::error_code takePendingError(int descriptor)
{
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        error = errno;
    return { error, std::system_category() };
}

}
