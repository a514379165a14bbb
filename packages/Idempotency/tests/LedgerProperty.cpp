#include "support/LedgerSimulation.h"

#include <filbertspoke/Testing>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace filbertspoke;
using testing::anyLedgerEvent;
using testing::LedgerEvent;
using testing::LedgerSimulation;

BOOST_AUTO_TEST_CASE(actionsRunAtMostOnceAndResponsesAreCorrect)
{
    testing::checkProperty([] {
        const auto events = *rc::gen::resize(400, rc::gen::container<std::vector<LedgerEvent>>(anyLedgerEvent()));
        LedgerSimulation simulation;
        for (const LedgerEvent& event : events)
            simulation.apply(event);
        simulation.recover();
    },
        300);
}
