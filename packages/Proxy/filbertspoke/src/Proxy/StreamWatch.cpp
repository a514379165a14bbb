#include <filbertspoke/Proxy>

#include <algorithm>
#include <utility>

namespace filbertspoke {

std::uint64_t StreamWatch::add(std::vector<EndpointId> engines, Listener listener)
{
    this->entries.emplace(++this->added, Entry { std::move(engines), std::move(listener) });
    return this->added;
}

void StreamWatch::remove(std::uint64_t name)
{
    this->entries.erase(name);
}

void StreamWatch::suspect(const EndpointId& engine)
{
    for (const auto& [name, entry] : this->entries) {
        if (std::find(entry.engines.begin(), entry.engines.end(), engine) != entry.engines.end())
            entry.listener(engine);
    }
}

}
