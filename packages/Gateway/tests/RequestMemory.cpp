#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <limits>
#include <string>
#include <utility>

using namespace filbertspoke;

namespace {

struct Fixture {
    RequestMemory memory { 100 };
    RequestMemory::Reservation first { this->memory };
    RequestMemory::Reservation second { this->memory };
};

}

// Guards against requests that are each small enough and exceed the limit together.
BOOST_FIXTURE_TEST_CASE(requestsShareTheLimit, Fixture)
{
    BOOST_TEST(this->first.resize(60));
    BOOST_TEST(!this->second.resize(41));
    BOOST_TEST(this->second.held() == 0U);
    BOOST_TEST(this->second.resize(40));
    BOOST_TEST(!this->second.grow(1));
    BOOST_TEST(this->second.held() == 40U);
    BOOST_TEST(this->memory.used() == 100U);
}

// Guards against a gateway that never serves a request which is larger than the limit.
BOOST_FIXTURE_TEST_CASE(aRequestAloneMayExceedTheLimit, Fixture)
{
    BOOST_TEST(this->first.resize(60));
    BOOST_TEST(this->first.grow(1000));
    BOOST_TEST(!this->second.resize(1));
    this->first.release();
    BOOST_TEST(this->second.resize(1));
}

// Guards against shares that leak when a request ends, however it ends.
BOOST_FIXTURE_TEST_CASE(theShareIsGivenBackOnce, Fixture)
{
    {
        RequestMemory::Reservation ended(this->memory);
        BOOST_TEST(ended.resize(70));
        RequestMemory::Reservation moved(std::move(ended));
        BOOST_TEST(moved.held() == 70U);
        BOOST_TEST(this->memory.used() == 70U);
        this->first.resize(10);
        this->first = std::move(moved);
        BOOST_TEST(this->memory.used() == 70U);
    }
    BOOST_TEST(this->first.held() == 70U);
    this->first.release();
    this->first.release();
    BOOST_TEST(this->memory.used() == 0U);
}

// Guards against requests in progress that wrap the count around when an operator lowers the limit.
BOOST_FIXTURE_TEST_CASE(lowerLimitAppliesToRequestsThatFollow, Fixture)
{
    BOOST_TEST(this->first.resize(90));
    BOOST_TEST(this->second.resize(10));
    this->memory.setLimit(50);
    BOOST_TEST(!this->second.grow(1));
    BOOST_TEST(this->second.resize(5));
    BOOST_TEST(this->memory.used() == 95U);
}

// Guards against a size that overflows and counts as a small one.
BOOST_FIXTURE_TEST_CASE(hugeSizesDoNotFit, Fixture)
{
    BOOST_TEST(this->first.resize(1));
    BOOST_TEST(!this->second.resize(std::numeric_limits<std::size_t>::max()));
    BOOST_TEST(this->second.resize(1));
    BOOST_TEST(!this->second.grow(std::numeric_limits<std::size_t>::max()));
}

// Guards against a string that allocates more than is counted for it, because its capacity doubles.
BOOST_AUTO_TEST_CASE(capacityOfAGrowingStringIsNotUnderestimated)
{
    std::string body;
    for (const std::size_t piece : { 1U, 14U, 1U, 20U, 5000U, 17408U, 17408U, 17408U, 40000U }) {
        const std::size_t expected = grownCapacity(body.capacity(), body.size() + piece);
        body.resize(body.size() + piece);
        BOOST_TEST(body.capacity() <= expected);
    }
}
