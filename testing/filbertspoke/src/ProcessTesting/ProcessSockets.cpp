#include "ProcessSockets.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cerrno>
#include <filesystem>
#include <optional>
#include <string>
#include <system_error>

#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace filbertspoke {

using boost::asio::ip::tcp;

namespace {

/** \brief A descriptor that is closed at the end of its scope. */
class OwnedDescriptor {
public:
    explicit OwnedDescriptor(long descriptor)
        : descriptor(static_cast<int>(descriptor))
    {
    }

    ~OwnedDescriptor()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
    }

    OwnedDescriptor(const OwnedDescriptor&) = delete;
    OwnedDescriptor& operator=(const OwnedDescriptor&) = delete;

    int get() const { return this->descriptor; }

private:
    int descriptor;
};

HttpAddress addressOf(const tcp::endpoint& endpoint)
{
    return { endpoint.address().to_string(), endpoint.port() };
}

/** \returns the connected TCP socket behind the descriptor, or nothing when it is something else or has been closed */
std::optional<ProcessSocket> connectedSocket(int descriptor)
{
    sockaddr_in local {};
    socklen_t size = sizeof local;
    if (::getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size) != 0 || local.sin_family != AF_INET)
        return std::nullopt;
    sockaddr_in remote {};
    size = sizeof remote;
    if (::getpeername(descriptor, reinterpret_cast<sockaddr*>(&remote), &size) != 0)
        return std::nullopt;
    const Result<SocketTimeouts> timeouts = readSocketTimeouts(descriptor);
    if (!timeouts)
        return std::nullopt;
    const auto endpointOf = [](const sockaddr_in& address) {
        return tcp::endpoint(boost::asio::ip::address_v4(ntohl(address.sin_addr.s_addr)), ntohs(address.sin_port));
    };
    return ProcessSocket { addressOf(endpointOf(local)), addressOf(endpointOf(remote)), *timeouts };
}

}

std::vector<ProcessSocket> connectedSockets(pid_t process)
{
    const OwnedDescriptor handle(::syscall(SYS_pidfd_open, process, 0));
    if (handle.get() < 0)
        throw std::system_error(errno, std::system_category(), "pidfd_open");
    std::vector<ProcessSocket> sockets;
    std::error_code ended;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", ended)) {
        const OwnedDescriptor copy(::syscall(SYS_pidfd_getfd, handle.get(), std::stoi(entry.path().filename().string()), 0));
        if (copy.get() < 0 && errno != EBADF)
            throw std::system_error(errno, std::system_category(), "pidfd_getfd");
        if (const auto socket = connectedSocket(copy.get()))
            sockets.push_back(*socket);
    }
    return sockets;
}

}
