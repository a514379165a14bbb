#ifndef FILBERTSPOKE_REPORT_PLACEMENT_EVENT_H
#define FILBERTSPOKE_REPORT_PLACEMENT_EVENT_H

#include "LogLine.h"

#include <filbertspoke/Core>
#include <filbertspoke/Gateway>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace filbertspoke::report {

/** \brief A gateway read an engine's entry. */
struct EngineRead {
    EndpointId endpoint;
    std::string service;
    std::string domain;
    std::string address;
    AcceleratorId accelerator;
    bool draining = false;
    LayerRange layers;
    std::int64_t startedAtMs = 0; ///< Unix time in ms
    std::int64_t heartbeat = 0;

    auto operator<=>(const EngineRead&) const = default;
};

/** \brief An engine's entry is gone. */
struct EngineRemoved {
    EndpointId endpoint;

    auto operator<=>(const EngineRemoved&) const = default;
};

/** \brief A gateway takes an engine for lost, or saw it crash, while its entry is still there. */
struct EngineLost {
    EndpointId endpoint;
    std::int64_t seenAtMs = 0; ///< Unix time in ms; a run that started later is another one

    auto operator<=>(const EngineLost&) const = default;
};

/** \brief An engine accepted an order to hold other layers. */
struct OrderAccepted {
    EndpointId endpoint;
    LayerRange layers;

    auto operator<=>(const OrderAccepted&) const = default;
};

/** \brief The model of a service. */
struct ProfileRead {
    std::string service;
    EngineProfile profile;

    auto operator<=>(const ProfileRead&) const = default;
};

using PlacementEvent = std::variant<EngineRead, EngineRemoved, EngineLost, OrderAccepted, ProfileRead>;

/** \returns what the line tells about engines and layers, or nothing */
std::optional<PlacementEvent> placementEvent(const LogLine&);

}

#endif
