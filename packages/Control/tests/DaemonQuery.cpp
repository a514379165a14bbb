#include <filbertspoke/Control>

#include <boost/test/unit_test.hpp>
#include <trompeloeil.hpp>

using namespace filbertspoke;

namespace {

class MockTransport : public Transport {
public:
    MAKE_MOCK2(exchange, HttpOutcome(const HttpAddress&, const HttpRequest&), override);
    MAKE_MOCK0(waitBeforeRetry, void(), override);
};

CommandOutcome run(Transport& transport, const Command& command, OutputFormat format)
{
    return runCommand({ command, format }, { transport, {}, {}, WallTime() });
}

const HttpAddress daemonAddress { "10.0.1.1", 8082 };

}

BOOST_AUTO_TEST_CASE(statusIsPrintedAsJsonOrText)
{
    MockTransport transport;
    const HttpResponse response { 200, {}, R"({"ready":true,"endpoints":[{"id":"e1","queued":2}],"peers":[]})" };
    ALLOW_CALL(transport, exchange(daemonAddress, trompeloeil::_)).WITH(_2.target == "/v1/status").RETURN(response);

    BOOST_TEST(run(transport, StatusCommand { daemonAddress }, OutputFormat::Json).output == response.body + "\n");
    BOOST_TEST(run(transport, StatusCommand { daemonAddress }, OutputFormat::Text).output == "ready: true\nendpoints:\n  -\n    id: e1\n    queued: 2\npeers: []\n");
}

BOOST_AUTO_TEST_CASE(unknownRequestIsNotFound)
{
    MockTransport transport;
    REQUIRE_CALL(transport, exchange(daemonAddress, trompeloeil::_)).WITH(_2.target == "/v1/explain/r%2F1").RETURN(HttpResponse { 404, {}, "{}" });

    const CommandOutcome outcome = run(transport, ExplainCommand { daemonAddress, "r/1" }, OutputFormat::Text);

    BOOST_TEST((outcome.exitCode == ExitCode::NotFound));
    BOOST_TEST(outcome.error.find("ask the other daemons") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(responseThatIsNotJsonIsReported)
{
    MockTransport transport;
    REQUIRE_CALL(transport, exchange(daemonAddress, trompeloeil::_)).RETURN(HttpResponse { 200, {}, "<html>" });

    BOOST_TEST((run(transport, StatusCommand { daemonAddress }, OutputFormat::Text).exitCode == ExitCode::Unreachable));
}
