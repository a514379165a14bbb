#include <filbertspoke/Gateway>

namespace filbertspoke {

namespace {

// A peer that reads the store itself has a new version within a few milliseconds of the others. One that stays behind for this time
// gets it from here.
constexpr Duration lagTolerance = std::chrono::milliseconds(600);
// A document that was sent is not sent again for this time, because the peer's next message may have crossed it.
constexpr Duration repeatInterval = std::chrono::milliseconds(500);

}

void ConfigurationRelay::notePeer(const SocketAddress& address, std::uint64_t version, bool wanted, TimePoint now)
{
    Peer& peer = this->peers[address];
    // A lower version shows that the peer has restarted, without the document that it was sent before.
    if (version < peer.version)
        peer.sentVersion = 0;
    if (version != peer.version && peer.behindSince)
        peer.behindSince = now;
    peer.version = version;
    peer.wanted = wanted;
}

bool ConfigurationRelay::mustSend(const SocketAddress& address, std::uint64_t version, TimePoint now)
{
    const auto entry = this->peers.find(address);
    if (entry == this->peers.end())
        return false;
    Peer& peer = entry->second;
    if (peer.version >= version) {
        peer.behindSince.reset();
        return false;
    }
    if (!peer.behindSince)
        peer.behindSince = now;
    const bool lagging = now - *peer.behindSince >= lagTolerance;
    const bool sentRecently = peer.sentVersion == version && now - peer.sentAt < repeatInterval;
    if ((!peer.wanted && !lagging) || sentRecently)
        return false;
    peer.sentVersion = version;
    peer.sentAt = now;
    return true;
}

}
