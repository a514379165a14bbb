#include <filbertspoke/Socket>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>

namespace filbertspoke {

namespace {

std::error_code setOption(int descriptor, int level, int option, std::int64_t value)
{
    const int number = static_cast<int>(value);
    if (::setsockopt(descriptor, level, option, &number, sizeof number) == 0)
        return {};
    return { errno, std::system_category() };
}

Result<int> readOption(int descriptor, int level, int option)
{
    int value = 0;
    socklen_t size = sizeof value;
    if (::getsockopt(descriptor, level, option, &value, &size) == 0)
        return value;
    return std::error_code(errno, std::system_category());
}

}

SocketTimeouts socketTimeoutsFor(ConnectionKind kind)
{
    using namespace std::chrono_literals;
    switch (kind) {
    case ConnectionKind::Caller:
    case ConnectionKind::Operator:
        // Callers come over networks that lose packets for seconds.
        return { 5s, 3s, 1s };
    case ConnectionKind::Endpoint:
        return { 2s, 3s, 1s };
    case ConnectionKind::EngineReport:
        // Each exchange has a time limit of its own below this.
        return { 1s, 1s, 1s };
    case ConnectionKind::Store:
        // An exchange that is given up here may have taken effect, so it gets longer than a short loss of packets.
        return { 3s, 3s, 1s };
    case ConnectionKind::Peer:
    case ConnectionKind::PeerFrames:
    case ConnectionKind::Handover:
        return { 2s, 2s, 1s };
    }
    return {};
}

std::chrono::milliseconds silenceLimit(const SocketTimeouts& timeouts)
{
    const std::chrono::milliseconds interval = timeouts.interval;
    const std::chrono::milliseconds rest = std::max(timeouts.unacknowledged - timeouts.idle, interval);
    const auto probes = (rest + interval - std::chrono::milliseconds(1)) / interval;
    return timeouts.idle + probes * interval;
}

std::error_code setSocketTimeouts(int descriptor, const SocketTimeouts& timeouts)
{
    std::error_code error = setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, timeouts.unacknowledged.count());
    if (!error)
        error = setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, timeouts.idle.count());
    if (!error)
        error = setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, timeouts.interval.count());
    if (!error)
        error = setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    return error;
}

Result<SocketTimeouts> readSocketTimeouts(int descriptor)
{
    const Result<int> unacknowledged = readOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT);
    const Result<int> probes = readOption(descriptor, SOL_SOCKET, SO_KEEPALIVE);
    const Result<int> idle = readOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE);
    const Result<int> interval = readOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL);
    for (const Result<int>& option : { unacknowledged, probes, idle, interval }) {
        if (!option)
            return option.error();
    }
    const int factor = *probes != 0 ? 1 : 0;
    return SocketTimeouts { std::chrono::milliseconds(*unacknowledged), std::chrono::seconds(factor * *idle), std::chrono::seconds(factor * *interval) };
}

}
