#include <filbertspoke/Report>
#include <filbertspoke/Testing>

#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/edmonds_karp_max_flow.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <vector>

using namespace filbertspoke;
using namespace filbertspoke::report;

namespace {

constexpr std::uint32_t layerCount = 7;
constexpr double precision = 0.05;

using Traits = boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using Graph = boost::adjacency_list<boost::vecS, boost::vecS, boost::directedS,
    boost::property<boost::vertex_index_t, std::size_t, boost::property<boost::vertex_color_t, boost::default_color_type, boost::property<boost::vertex_distance_t, long, boost::property<boost::vertex_predecessor_t, Traits::edge_descriptor>>>>,
    boost::property<boost::edge_capacity_t, double, boost::property<boost::edge_residual_capacity_t, double, boost::property<boost::edge_reverse_t, Traits::edge_descriptor>>>>;

void connect(Graph& graph, std::size_t from, std::size_t to, double capacity)
{
    const auto forward = boost::add_edge(from, to, graph).first;
    const auto backward = boost::add_edge(to, from, graph).first;
    boost::put(boost::edge_capacity, graph, forward, capacity);
    boost::put(boost::edge_capacity, graph, backward, 0.0);
    boost::put(boost::edge_reverse, graph, forward, backward);
    boost::put(boost::edge_reverse, graph, backward, forward);
}

/** \returns whether a maximum flow from holders to layers gives each layer room for \a generations */
bool maximumFlowCarries(const std::vector<LayerHolder>& holders, double generations)
{
    const std::size_t source = 0, sink = 1, firstLayer = 2, firstHolder = firstLayer + layerCount;
    Graph graph(firstHolder + holders.size());
    for (std::size_t index = 0; index < holders.size(); ++index) {
        connect(graph, source, firstHolder + index, holders[index].room);
        for (std::uint32_t layer = holders[index].layers.first(); layer < holders[index].layers.last(); ++layer)
            connect(graph, firstHolder + index, firstLayer + layer, layer == 0 ? std::min(holders[index].slots, 1e6) : 1e6);
    }
    for (std::uint32_t layer = 0; layer < layerCount; ++layer)
        connect(graph, firstLayer + layer, sink, generations);
    return boost::edmonds_karp_max_flow(graph, source, sink) >= generations * layerCount - 1e-6;
}

std::vector<LayerHolder> drawHolders()
{
    std::vector<LayerHolder> holders;
    const int count = *rc::gen::inRange(0, 9);
    for (int index = 0; index < count; ++index) {
        const auto first = *rc::gen::inRange<std::uint32_t>(0, layerCount);
        const auto last = *rc::gen::inRange<std::uint32_t>(first, layerCount + 1);
        const bool limited = *rc::gen::arbitrary<bool>();
        holders.push_back({ { first, last }, *rc::gen::inRange(0, 50) * 1.0, limited ? *rc::gen::inRange(0, 20) * 1.0 : std::numeric_limits<double>::infinity() });
    }
    // A holder of everything makes draws that carry something common.
    if (*rc::gen::arbitrary<bool>())
        holders.push_back({ { 0, layerCount }, *rc::gen::inRange(0, 100) * 1.0 });
    return holders;
}

}

BOOST_AUTO_TEST_CASE(oneChainCarriesWhatItsTightestEngineHasRoomFor)
{
    BOOST_TEST(layerFlow({ { { 0, 3 }, 30 }, { { 3, 7 }, 80 } }, layerCount) == 10, boost::test_tools::tolerance(0.005));
}

BOOST_AUTO_TEST_CASE(aLayerWithoutHolderCarriesNothing)
{
    BOOST_TEST(layerFlow({ { { 0, 3 }, 30 }, { { 4, 7 }, 80 } }, layerCount) == 0);
    BOOST_TEST(layerFlow({}, layerCount) == 0);
    BOOST_TEST(layerFlow({ { { 0, 7 }, 70 } }, 0) == 0);
}

BOOST_AUTO_TEST_CASE(slotsLimitTheFirstLayerOnly)
{
    BOOST_TEST(layerFlow({ { { 0, 3 }, 30, 4 }, { { 3, 7 }, 80, 1 } }, layerCount) == 4);
}

BOOST_AUTO_TEST_CASE(anOverlapIsSharedByBothSides)
{
    // Five generations run layers 0 to 3 on the first engine, five on the second.
    BOOST_TEST(layerFlow({ { { 0, 4 }, 20 }, { { 0, 7 }, 50 } }, layerCount) == 10, boost::test_tools::tolerance(0.005));
}

BOOST_AUTO_TEST_CASE(flowIsTheMaximumFlow)
{
    testing::checkProperty([] {
        const std::vector<LayerHolder> holders = drawHolders();
        const double flow = layerFlow(holders, layerCount);
        RC_ASSERT(maximumFlowCarries(holders, std::max(0.0, flow - precision)));
        RC_ASSERT(!maximumFlowCarries(holders, flow + precision));
    },
        1000);
}

BOOST_AUTO_TEST_CASE(moreHoldersNeverCarryLess)
{
    testing::checkProperty([] {
        std::vector<LayerHolder> holders = drawHolders();
        const double before = layerFlow(holders, layerCount);
        holders.push_back({ { 2, 5 }, 10 });
        RC_ASSERT(layerFlow(holders, layerCount) >= before - precision);
    });
}

BOOST_AUTO_TEST_CASE(orderOfHoldersDoesNotMatter)
{
    testing::checkProperty([] {
        std::vector<LayerHolder> holders = drawHolders();
        const double before = layerFlow(holders, layerCount);
        std::reverse(holders.begin(), holders.end());
        RC_ASSERT(std::abs(layerFlow(holders, layerCount) - before) <= precision);
    });
}
