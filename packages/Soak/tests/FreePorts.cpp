#include <filbertspoke/ProcessTesting>

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <set>

using namespace filbertspoke;

// A gateway of the soak whose listeners were given one port twice could not start.
BOOST_AUTO_TEST_CASE(noPortIsGivenTwice)
{
    constexpr std::size_t draws = 2000;
    std::set<std::uint16_t> ports;
    for (std::size_t draw = 0; draw < draws; ++draw)
        ports.insert(freePort(ownLoopbackAddress(1)));
    BOOST_TEST(ports.size() == draws);
}
