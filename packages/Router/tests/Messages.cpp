#include <filbertspoke/Router>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

BOOST_AUTO_TEST_CASE(actionsCompareByValue)
{
    const Action first = EmitToken { RequestId("r"), 0, "hub" };
    const Action second = EmitToken { RequestId("r"), 0, "hub" };

    BOOST_TEST((first == second));
    BOOST_TEST((first != Action(EmitToken { RequestId("r"), 1, "hub" })));
}
