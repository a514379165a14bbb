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

/** \brief All known endpoints, indexed by the model or service that they serve.
 *
 * Updates of an unknown endpoint have no effect, since answers may arrive after the endpoint is removed.
 */
class EndpointView {
public:
    /** \brief Engines of one model version grouped by the layers that they hold and ordered by the first layer. */
    using EngineGroups = std::map<LayerRange, internal::EndpointGroup>;

    /** \param local the failure domain of this daemon */
    explicit EndpointView(FailureDomainId local);

    EndpointView(const EndpointView&) = delete;
    EndpointView& operator=(const EndpointView&) = delete;

    /** \returns the failure domain of this daemon */
    const FailureDomainId& localFailureDomain() const { return this->localDomain; }

    /** \brief Adds an endpoint; for a known one, replaces its description and keeps its load and latency. */
    void put(const Endpoint&);
    /** \brief Removes an endpoint. */
    void remove(const EndpointId&);
    /** \brief Sets whether membership allows new work at an endpoint. */
    void setTakesNewWork(const EndpointId&, bool);

    /** \brief Stores a load report that arrived at the given time. */
    void report(const EndpointId&, const LoadReport&, TimePoint);
    /** \brief Marks an endpoint as draining before its next load report says so. */
    void markDraining(const EndpointId&);
    /** \brief Notes that a step or call was sent; workFinished(), workFailed() or workCancelled() ends it. */
    void workStarted(const EndpointId&, TimePoint);
    /** \brief Notes a successful answer.
     * \param latency time from sending the work to its answer
     * \param positions number of token positions that the work covered */
    void workFinished(const EndpointId&, Duration latency, TimePoint, std::uint32_t positions = 1);
    /** \brief Notes that a step or call failed or got no answer. */
    void workFailed(const EndpointId&, TimePoint);
    /** \brief Notes that this daemon cancelled a step or call before its answer. */
    void workCancelled(const EndpointId&, TimePoint);

    /** \brief Counts a chain as load of its endpoints until chainClosed(). Call it as soon as the chain is
     * planned, so that chains planned at the same moment use different endpoints. */
    void chainOpened(const Chain&);
    /** \brief Ends the load of a chain that was passed to chainOpened(). */
    void chainClosed(const Chain&);

    /** \returns the state of an endpoint, or null when it is unknown */
    const EndpointState* find(const EndpointId&) const;
    /** \returns the number of known endpoints */
    std::size_t size() const { return this->states.size(); }

    /** \returns the engines of a model version, or null when none is known */
    const EngineGroups* engines(const ModelId&, const std::string& version) const;
    /** \returns the replicas of a plain service, or null when none is known */
    const internal::EndpointGroup* replicas(const ServiceId&) const;

    /** \returns a revision number that increases with every change of a group's capacity */
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

    FailureDomainId localDomain;
    std::unordered_map<EndpointId, EndpointState> states;
    std::map<std::pair<ModelId, std::string>, EngineGroups> enginesByModel;
    std::map<ServiceId, internal::EndpointGroup> replicasByService;
    std::uint64_t capacityChanges = 0;
};

}

#endif
