#ifndef FILBERTSPOKE_REPORT_PLACEMENT_STATE_H
#define FILBERTSPOKE_REPORT_PLACEMENT_STATE_H

#include "PlacementEvent.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace filbertspoke::report {

/** \brief What the placed layers of a service can carry. */
struct PlacedCapacity {
    double atOnce = 0; ///< generations that chains carry at once
    double atOnceWithinDomains = 0; ///< the same by chains that stay within a failure domain
    double perSecond = 0; ///< generations of usual length, by the expected duration of a generation on engines that are full
    std::uint32_t engines = 0; ///< that hold layers and take work
    std::uint32_t leastCopies = 0; ///< of any layer
    std::map<std::string, std::uint32_t> leastCopiesByDomain;

    auto operator<=>(const PlacedCapacity&) const = default;
};

/** \brief Effect of an event on the engines of a service. */
struct PlacementChange {
    std::string service;
    bool lost = false; ///< an engine that held layers is gone, restarted or taken for lost
    bool returned = false; ///< an engine started anew, or one taken for lost is there
    bool orderSent = false;
    bool orderDone = false;

    auto operator<=>(const PlacementChange&) const = default;
};

/** \brief Engines and their layers as the gateways know them, from the lines of all gateways in the order of time.
 *
 * Several gateways report each change; what repeats or is older than what is known has no effect.
 */
class PlacementState {
public:
    /** \returns the effect, or nothing when the event tells nothing new */
    std::optional<PlacementChange> apply(const PlacementEvent&);

    std::vector<std::string> services() const;
    /** \returns the capacity, or nothing while the service's model is unknown */
    std::optional<PlacedCapacity> capacity(const std::string& service) const;
    /** \returns by failure domain the number of engines that hold each layer and take work */
    std::map<std::string, std::vector<std::uint32_t>> copies(const std::string& service) const;

private:
    struct Engine {
        EngineRead entry;
        bool lost = false;
        std::optional<LayerRange> ordered;

        /** \returns whether the engine's layers can be used */
        bool serves() const { return !this->lost && !this->entry.draining && !this->entry.layers.empty(); }
    };

    std::optional<PlacementChange> applyEvent(const EngineRead&);
    std::optional<PlacementChange> applyEvent(const EngineRemoved&);
    std::optional<PlacementChange> applyEvent(const EngineLost&);
    std::optional<PlacementChange> applyEvent(const OrderAccepted&);
    std::optional<PlacementChange> applyEvent(const ProfileRead&);

    /** \brief Erases other engines at the address, which belongs to the one that started last.
     * \returns whether any of them held layers */
    bool eraseSuperseded(const EngineRead&);
    double perSecond(const std::vector<const Engine*>&, const EngineProfile&, double atOnce) const;

    std::map<EndpointId, Engine> engines;
    std::map<EndpointId, EngineRead> removed; ///< last entries, which slower gateways may still report
    std::map<std::string, EngineProfile> profiles; ///< by service
};

}

#endif
