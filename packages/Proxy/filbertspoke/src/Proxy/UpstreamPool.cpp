#include <filbertspoke/Proxy>

#include <algorithm>
#include <utility>

namespace filbertspoke {

namespace {

// Idle time of connections to endpoints that announce none; most endpoints keep connections open for longer.
constexpr Duration defaultIdleTime = std::chrono::seconds(4);
// Connections are closed this long before the endpoint closes them, so that no request races with the close.
constexpr Duration closeMargin = std::chrono::milliseconds(700);
constexpr std::size_t maximumIdlePerEndpoint = 32;

}

UpstreamPointer UpstreamPool::takeIdle(const SocketAddress& address, const UpstreamSet& excluded)
{
    const auto entry = this->idleByAddress.find(address);
    if (entry == this->idleByAddress.end())
        return nullptr;
    std::deque<Idle>& connections = entry->second;
    const TimePoint now = bootNow();
    for (std::size_t index = connections.size(); index-- > 0;) {
        if (excluded.contains(connections[index].connection))
            continue;
        const Idle idle = std::move(connections[index]);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index));
        if (now < idle.closesAt && idle.connection->reusable())
            return idle.connection;
    }
    return nullptr;
}

UpstreamPointer UpstreamPool::create(const SocketAddress& address)
{
    return std::make_shared<UpstreamConnection>(this->context, address);
}

void UpstreamPool::giveBack(const SocketAddress& address, UpstreamPointer connection)
{
    auto& idle = this->idleByAddress[address];
    if (!connection->reusable() || idle.size() >= maximumIdlePerEndpoint) {
        connection->close();
        return;
    }
    const Duration kept = std::min<Duration>(connection->keepAlive().value_or(defaultIdleTime), std::chrono::seconds(60));
    idle.push_back({ std::move(connection), bootNow() + std::max<Duration>(kept - closeMargin, Duration::zero()) });
}

void UpstreamPool::expire(TimePoint now)
{
    for (auto entry = this->idleByAddress.begin(); entry != this->idleByAddress.end();) {
        std::erase_if(entry->second, [now](const Idle& idle) { return idle.closesAt <= now; });
        entry = entry->second.empty() ? this->idleByAddress.erase(entry) : std::next(entry);
    }
}

}
