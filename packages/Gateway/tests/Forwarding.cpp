#include <filbertspoke/Gateway>

#include <boost/test/unit_test.hpp>

using namespace filbertspoke;

namespace {

Route route(const std::string& name, const std::string& prefix)
{
    Route route;
    route.name = name;
    route.host = "shop.example";
    route.pathPrefix = prefix;
    route.services = { { ServiceId("a"), 90 }, { ServiceId("b"), 10 } };
    return route;
}

ForwardingTable table()
{
    return ForwardingTable::Builder(3).route(route("short", "/a/")).route(route("long", "/a/b/")).account(AccountId("gold"), { "key-1", "key-2" }).build();
}

}

BOOST_AUTO_TEST_CASE(longestMatchingPrefixWins)
{
    const ForwardingTable routes = table();
    BOOST_TEST(routes.findRoute("shop.example", "/a/b/c?x=/a/")->name == "long");
    BOOST_TEST(routes.findRoute("shop.example", "/a/c")->name == "short");
}

BOOST_AUTO_TEST_CASE(otherHostsAndPathsHaveNoRoute)
{
    const ForwardingTable routes = table();
    BOOST_TEST(!routes.findRoute("other.example", "/a/b/c"));
    BOOST_TEST(!routes.findRoute("shop.example", "/b/?next=/a/"));
}

BOOST_AUTO_TEST_CASE(keyIdentifiesItsAccount)
{
    const ForwardingTable accounts = table();
    BOOST_TEST((*accounts.findAccount("key-2") == AccountId("gold")));
    BOOST_TEST(!accounts.findAccount("key-3"));
    BOOST_TEST(!accounts.findAccount(""));
}

BOOST_AUTO_TEST_CASE(accountWithoutKeysStillMakesKeysRequired)
{
    const ForwardingTable accounts = ForwardingTable::Builder(4).account(AccountId("gold"), {}).build();
    BOOST_TEST(accounts.hasAccounts());
    BOOST_TEST(!ForwardingTable().hasAccounts());
}

BOOST_AUTO_TEST_CASE(servicesAreChosenByWeight)
{
    const Route split = route("split", "/");
    BOOST_TEST((chooseService(split, 0) == ServiceId("a")));
    BOOST_TEST((chooseService(split, 0.89) == ServiceId("a")));
    BOOST_TEST((chooseService(split, 0.91) == ServiceId("b")));
    BOOST_TEST(!chooseService(Route {}, 0.5).has_value());
}
