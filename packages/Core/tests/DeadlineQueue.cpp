#include <filbertspoke/Core>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(dueKeysAreReturnedOnceInOrder)
{
    const TimePoint start {};
    DeadlineQueue<int> queue;
    queue.set(1, start + 30ms);
    queue.set(2, start + 10ms);
    queue.set(3, start + 20ms);
    queue.set(1, start + 5ms);
    queue.erase(3);

    BOOST_TEST((queue.next() == start + 5ms));
    BOOST_TEST((queue.takeDue(start + 10ms) == std::vector<int> { 1, 2 }));
    BOOST_TEST(queue.takeDue(start + 1s).empty());
    BOOST_TEST(!queue.next().has_value());
}
