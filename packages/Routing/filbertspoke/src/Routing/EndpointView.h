#ifndef FILBERTSPOKE_ENDPOINT_VIEW_H
#define FILBERTSPOKE_ENDPOINT_VIEW_H

#include "Chain.h"
#include "EndpointState.h"
#include "internal/EndpointGroup.h"

#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace filbertspoke {

/** \brief All endpoints that a daemon knows, indexed by what they serve.
 *
 * Calls that name an unknown endpoint do nothing: answers may come after an endpoint is removed.
 */
class EndpointView {
public:
    /** \brief Engines of one model version by the layers that they hold, ordered by the first layer. */
    using EngineGroups = std::map<LayerRange, internal::EndpointGroup>;

    /** \param own the failure domain of this daemon */
    explicit EndpointView(FailureDomainId own);

    EndpointView(const EndpointView&) = delete;
    EndpointView& operator=(const EndpointView&) = delete;

    const FailureDomainId& ownFailureDomain() const { return this->ownDomain; }

    /** \brief Adds an endpoint, or replaces its description and keeps what is known of its load. */
    void put(const Endpoint&);
    void remove(const EndpointId&);
    /** \brief Says whether membership allows new work at an endpoint. */
    void setTakesNewWork(const EndpointId&, bool);

    void report(const EndpointId&, const LoadReport&, TimePoint);
    /** \brief Takes an endpoint's own word that it takes no new work, before its next report says so. */
    void markDraining(const EndpointId&);
    /** \brief Notes that a step or call was sent. Each is ended by one of the three below. */
    void workStarted(const EndpointId&, TimePoint);
    /** \param latency from sending the work to its answer
     * \param positions how many token positions the work ran */
    void workFinished(const EndpointId&, Duration latency, TimePoint, std::uint32_t positions = 1);
    /** \brief Notes that a step or call got no answer, or that the endpoint failed it. */
    void workFailed(const EndpointId&, TimePoint);
    /** \brief Notes that this daemon gave a step or call up before its answer. */
    void workCancelled(const EndpointId&, TimePoint);

    /** \brief Counts a chain against its endpoints until chainClosed(); call it as soon as the chain is
     * planned, so that requests planned at the same moment spread out. */
    void chainOpened(const Chain&);
    void chainClosed(const Chain&);

    /** \returns null when the endpoint is unknown */
    const EndpointState* find(const EndpointId&) const;
    std::size_t size() const { return this->states.size(); }

    /** \returns the engines of a model version, or null when none is known */
    const EngineGroups* engines(const ModelId&, const std::string& version) const;
    /** \returns the replicas of a plain service, or null when none is known */
    const internal::EndpointGroup* replicas(const ServiceId&) const;

    /** \returns a number that grows whenever the capacity of a group has changed */
    std::uint64_t capacityRevision() const { return this->capacityChanges; }

    /** \brief Calls \a visit with every EndpointState, in no particular order. */
    template <typename Visitor>
    void forEach(Visitor&& visit) const
    {
        for (const auto& [id, state] : this->states)
            visit(state);
    }

private:
    bool isLocal(const EndpointState&) const;
    EndpointState* findMutable(const EndpointId&);
    internal::EndpointGroup& group(const EndpointState&);
    void countCapacity(EndpointState&);
    void insertIntoIndex(EndpointState&);
    void eraseFromIndex(EndpointState&);
    void eraseGroup(const EndpointRole&);

    FailureDomainId ownDomain;
    std::unordered_map<EndpointId, EndpointState> states;
    std::map<std::pair<ModelId, std::string>, EngineGroups> enginesByModel;
    std::map<ServiceId, internal::EndpointGroup> replicasByService;
    std::uint64_t capacityChanges = 0;
};

}

#endif
