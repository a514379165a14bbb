// The part of EndpointRegistry that keeps which endpoints refuse requests.
#include <filbertspoke/Gateway>

namespace filbertspoke {

namespace {

/** \returns the endpoints for which \a remaining, a member of RefusalBackoff, names a pause */
template <typename Remaining>
std::vector<RefusingEndpoint> refusing(const std::map<EndpointId, EndpointRecord>& records, Remaining remaining, TimePoint now)
{
    std::vector<RefusingEndpoint> endpoints;
    for (const auto& [id, record] : records) {
        if (const std::optional<Duration> pause = (record.refusals.*remaining)(now))
            endpoints.push_back({ { id, record.endpoint.startedAtMs }, *pause });
    }
    return endpoints;
}

}

std::optional<Duration> EndpointRegistry::noteRefusal(const EndpointId& id, TimePoint sentAt, double draw, TimePoint now)
{
    const auto entry = this->byId.find(id);
    return entry == this->byId.end() ? std::nullopt : entry->second.refusals.noteRefusal(sentAt, draw, now);
}

std::optional<Duration> EndpointRegistry::noteRemoteRefusal(const RefusingEndpoint& refusing, double draw, TimePoint now)
{
    const auto entry = this->byId.find(refusing.run.endpoint);
    if (entry == this->byId.end() || entry->second.endpoint.startedAtMs != refusing.run.startedAtMs)
        return std::nullopt;
    return entry->second.refusals.noteReport(refusing.remaining, draw, now);
}

std::vector<RefusingEndpoint> EndpointRegistry::knownRefusals(TimePoint now) const
{
    return refusing(this->byId, &RefusalBackoff::knownRemaining, now);
}

std::vector<RefusingEndpoint> EndpointRegistry::ownRefusals(TimePoint now) const
{
    return refusing(this->byId, &RefusalBackoff::ownRemaining, now);
}

}
