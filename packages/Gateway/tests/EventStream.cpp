#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

BOOST_AUTO_TEST_CASE(eventsAreCutAtEmptyLinesHoweverTheBytesArrive)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    EventStreamParser stream;
    std::vector<StreamEvent> events;
    for (const char byte : text) {
        for (StreamEvent& event : stream.feed(std::string_view(&byte, 1)))
            events.push_back(std::move(event));
    }
    BOOST_TEST((events == std::vector<StreamEvent> { { "id: 1\ndata: a\n\n", 1 }, { "id: 2\ndata: b\n\n", 2 } }));
    BOOST_TEST(!stream.midEvent());
}

BOOST_AUTO_TEST_CASE(severalEventsInOneReadAreAllGiven)
{
    EventStreamParser stream;
    BOOST_TEST(stream.feed("id:7\n\nid:8\n\nid:9").size() == 2);
    BOOST_TEST(stream.midEvent());
}

BOOST_AUTO_TEST_CASE(bytesOfAnEventThatNeverEndsAreHeldBack)
{
    EventStreamParser stream;
    BOOST_TEST(stream.feed("id: 1\ndata: hal").empty());
    BOOST_TEST(stream.midEvent());
}

BOOST_AUTO_TEST_CASE(carriageReturnsAndEventsWithoutIdAreRead)
{
    EventStreamParser stream;
    const auto events = stream.feed("id: 3\r\ndata: x\r\n\r\n: comment\n\n");
    BOOST_REQUIRE(events.size() == 2);
    BOOST_TEST((events[0].id == 3));
    BOOST_TEST(!events[1].id.has_value());
}

BOOST_AUTO_TEST_CASE(eventWithoutEndIsTooLargeAtSomeTime)
{
    EventStreamParser stream;
    std::size_t held = 0;
    const std::string bytes(1024, 'x');
    for (; !stream.eventTooLarge() && held < 1024 * 1024; held += bytes.size())
        BOOST_TEST(stream.feed(bytes).empty());
    BOOST_TEST(stream.eventTooLarge());
}
