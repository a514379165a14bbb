#include "World.h"

#include "FakeDaemon.h"

namespace filbertspoke::bench {

namespace {

constexpr std::uint16_t peerPort = 7000;

}

const ModelId& benchModel()
{
    static const ModelId model("assistant-llm");
    return model;
}

World::World(const Scenario& scenario)
    : scenario(scenario)
{
    for (const EngineSpec& spec : scenario.engines)
        this->engines.emplace(spec.id, std::make_unique<FakeEngine>(spec, this->time));
}

World::~World() = default;

std::vector<ListedHost> World::hosts() const
{
    std::vector<ListedHost> hosts;
    for (const DaemonSpec& daemon : this->scenario.daemons)
        hosts.push_back({ ListedDaemon { daemon.id, daemon.failureDomain, "127.0.0.1", peerPort }, false });
    for (const auto& [id, engine] : this->engines) {
        const EngineSpec& spec = engine->spec();
        if (!engine->alive() && this->leaving.contains(id))
            continue;
        const Endpoint endpoint = Endpoint::Builder(id)
                                      .host(HostId(id.str()))
                                      .address("127.0.0.1", peerPort)
                                      .failureDomain(spec.failureDomain)
                                      .role(EngineRole { benchModel(), benchVersion, spec.layers })
                                      .build();
        hosts.push_back({ endpoint, this->leaving.contains(id) });
    }
    return hosts;
}

FakeDaemon* World::findDaemon(const DaemonId& id)
{
    for (const auto& daemon : this->daemons) {
        if (daemon->spec().id == id)
            return daemon.get();
    }
    return nullptr;
}

}
