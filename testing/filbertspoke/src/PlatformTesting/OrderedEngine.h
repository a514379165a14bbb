#ifndef FILBERTSPOKE_ORDERED_ENGINE_H
#define FILBERTSPOKE_ORDERED_ENGINE_H

#include "ReplicaStandIn.h"

#include <filbertspoke/Core>

#include <cstdint>
#include <functional>

namespace filbertspoke {

/** \brief Plays how an engine of the platform takes orders to hold layers: its report, and its answer to each order. */
class OrderedEngine {
public:
    enum class Trouble {
        None,
        Dropped, ///< the next order gets no answer and is not carried out
        Late, ///< the next order gets no answer and is carried out when carryOutLate() is called
    };
    using Changed = std::function<void(const LayerRange&)>;

    /** \param changed called when the engine holds other layers */
    explicit OrderedEngine(Changed changed);

    /** \returns the answer to a report request or an order */
    ReplicaScript answer(const HttpRequest&);
    void setTrouble(Trouble value) { this->trouble = value; }
    /** \brief Carries out the order that went unanswered, if there is one, whatever came since. */
    void carryOutLate();

    const LayerRange& layers() const { return this->held; }
    /** \returns how many orders the engine carried out */
    std::uint64_t accepted() const { return this->orders; }
    /** \returns how many orders named another count of orders than the engine's */
    std::uint64_t refused() const { return this->mismatches; }

private:
    void hold(const LayerRange&);

    Changed changed;
    LayerRange held;
    LayerRange late;
    std::uint64_t orders = 0;
    std::uint64_t mismatches = 0;
    Trouble trouble = Trouble::None;
};

}

#endif
