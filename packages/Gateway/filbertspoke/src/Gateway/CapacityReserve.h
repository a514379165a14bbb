#ifndef FILBERTSPOKE_CAPACITY_RESERVE_H
#define FILBERTSPOKE_CAPACITY_RESERVE_H

#include <cstdint>
#include <optional>
#include <set>

namespace filbertspoke {

/** \brief Priority of generations for which the configuration names none. Engines treat a request without an urgency as 5. */
constexpr std::uint32_t unnamedPriority = 5;

/** \brief Determines the rank of a generation: 0 may use all free capacity, and each further rank leaves more of it to others.
 *
 * Load pattern: demand of the least urgent priority rises to several times its usual while many gateways share the engines. Engines stay nearly full,
 * and whatever ends is taken by whichever gateway plans next, which is mostly for the priority with the most demand. Urgent generations are then
 * refused as often as all others. The rank depends only on the configuration, so all gateways leave
 * the same capacity free without messages between them.
 * \param routed priorities of all stream routes to the service
 * \param own priority of the generation; nothing when the configuration names none
 * \returns the number of more urgent priorities among \a routed. With a single priority in \a routed the priorities count as equal, whatever priority the generation's account has */
std::uint32_t generationRank(const std::set<std::uint32_t>& routed, std::optional<std::uint32_t> own);

/** \returns the share of an engine's KV capacity and slots that a generation of the rank leaves free, from 0 to 1 */
double reservedShare(std::uint32_t rank);

/** \brief Determines the free KV cache that an engine must have for a stage, in tokens times layers.
 *
 * Load pattern: the least urgent generations include some whose stages need nearly all of an engine. They would never find an engine with
 * that much and the reserve beside it, however little load there is; therefore an idle engine is enough for any stage that fits into it.
 * \param need of the stage
 * \param capacity of the engine without load
 * \param share reservedShare() of the generation */
double requiredTokenLayers(double need, double capacity, double share);

/** \brief Determines the number of slots of a first engine that a generation may fill; same load pattern as generationRank().
 * \param slots of the engine, more than 0
 * \param share reservedShare() of the generation
 * \returns at least one slot */
double usableSlots(std::uint32_t slots, double share);

}

#endif
