#include <filbertspoke/Gateway>

#include <utility>

namespace filbertspoke {

namespace {

// A peer says its load several times a second; after this long without a word it counts as gone.
constexpr Duration peerWordLifetime = std::chrono::seconds(2);

WorkInProgress find(const WorkByEndpoint& loads, const EndpointId& endpoint)
{
    const auto load = loads.find(endpoint);
    return load == loads.end() ? WorkInProgress {} : load->second;
}

}

void LoadBook::begin(const EndpointId& endpoint, const WorkInProgress& load)
{
    this->ownLoad[endpoint] += load;
}

void LoadBook::end(const EndpointId& endpoint, const WorkInProgress& load)
{
    const auto entry = this->ownLoad.find(endpoint);
    if (entry == this->ownLoad.end())
        return;
    entry->second -= load;
    if (entry->second.requests < 0.5)
        this->ownLoad.erase(entry);
}

void LoadBook::notePeer(const DaemonId& peer, WorkByEndpoint load, TimePoint now)
{
    this->byPeer.insert_or_assign(peer, PeerLoad { std::move(load), now });
}

void LoadBook::expire(TimePoint now)
{
    std::erase_if(this->byPeer, [now](const auto& entry) { return now - entry.second.saidAt > peerWordLifetime; });
}

WorkInProgress LoadBook::total(const EndpointId& endpoint) const
{
    WorkInProgress sum = find(this->ownLoad, endpoint);
    for (const auto& [peer, word] : this->byPeer)
        sum += find(word.load, endpoint);
    return sum;
}

}
