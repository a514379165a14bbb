#include <filbertspoke/Proxy>

#include <algorithm>
#include <utility>

namespace filbertspoke {

std::uint64_t StreamRegistry::add(std::vector<EndpointId> engines, Listener listener)
{
    this->entries.emplace(++this->lastId, Entry { std::move(engines), std::move(listener) });
    return this->lastId;
}

void StreamRegistry::remove(std::uint64_t id)
{
    this->entries.erase(id);
}

void StreamRegistry::notifySuspected(const EndpointId& engine, const std::string& evidence)
{
    for (const auto& [id, entry] : this->entries) {
        if (std::find(entry.engines.begin(), entry.engines.end(), engine) != entry.engines.end())
            entry.listener(engine, evidence);
    }
}

}
