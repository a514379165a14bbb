#include <filbertspoke/Endpoint>
#include <filbertspoke/ProcessTesting>
#include <filbertspoke/StandIns>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace filbertspoke;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

const EndpointId engineId("engine");
const EndpointId serviceId("service");

/** \brief A pool with an engine and a plain service in the same context. */
struct Pooling {
    Pooling()
        : pool(this->context, settings(), [this](Event event) { this->events.push_back(std::move(event)); })
    {
        EngineOptions options;
        options.role = { ModelId("m"), "1", { 0, 4 } };
        options.modelLayers = 8;
        this->engine = std::make_unique<EngineStandIn>(this->context, HttpAddress { "127.0.0.1", 0 }, options);
        this->watch(engineId, this->engine->address());
        this->watch(serviceId, this->service.address());
    }

    static EndpointSettings settings()
    {
        EndpointSettings settings;
        settings.statusPeriod = 10ms;
        settings.stepConnections = 1;
        return settings;
    }

    void watch(const EndpointId& id, const HttpAddress& address)
    {
        this->pool.carryOut(WatchEndpoint { Endpoint::Builder(id).address(address.address, address.port).build() });
    }

    static SendStep step(const std::string& request, std::uint64_t sequence, EndpointId endpoint = engineId)
    {
        return { std::move(endpoint), Step::Builder(RequestId(request)).sequence(sequence).model(ModelId("m"), "1").layers({ 0, 4 }).positions(0, 1).input(R"(["hub"])").build() };
    }

    static SendCall call(const std::string& request, const std::string& method = "POST", const std::string& path = "/bookings")
    {
        return { serviceId, RequestId(request), 1, { ServiceId("bench-app"), method, path, "text/plain", "two hubs" } };
    }

    json::value control(const HttpAddress& address, const json::value& order) { return callJson(this->context, address, "POST", "/control", order); }
    json::value runs(const HttpAddress& address) { return callJson(this->context, address, "GET", "/control/runs"); }

    template <typename Wanted>
    std::vector<Wanted> all() const
    {
        std::vector<Wanted> found;
        for (const Event& event : this->events) {
            if (const auto* wanted = std::get_if<Wanted>(&event))
                found.push_back(*wanted);
        }
        return found;
    }

    template <typename Wanted>
    bool await(std::size_t count = 1)
    {
        return runUntil(this->context, [&] { return this->all<Wanted>().size() >= count; });
    }

    boost::asio::io_context context;
    ServiceStandIn service { this->context, { "127.0.0.1", 0 } };
    std::unique_ptr<EngineStandIn> engine;
    std::vector<Event> events;
    EndpointPool pool;
};

HttpAddress unusedAddress()
{
    return { ownLoopbackAddress(1), freePort(ownLoopbackAddress(1)) };
}

}

BOOST_FIXTURE_TEST_CASE(everyStepIsAnswered, Pooling)
{
    this->pool.carryOut(step("a", 1));
    this->pool.carryOut(step("b", 1));

    BOOST_TEST(this->await<StepAnswered>(2));
    const StepReceipt receipt = this->all<StepAnswered>().front().receipt;
    BOOST_TEST(receipt.step().request() == RequestId("a"));
    BOOST_TEST((receipt.status() == StepStatus::Ok));
    BOOST_TEST(receipt.step().layers() == LayerRange(0, 4));
    BOOST_TEST(!receipt.output().empty());
}

BOOST_FIXTURE_TEST_CASE(stepsThatWaitTravelInOneFrame, Pooling)
{
    std::vector<std::size_t> frames;
    const HttpServer server(this->context, { "127.0.0.1", 0 }, [&](HttpRequest request) -> boost::asio::awaitable<std::optional<HttpResponse>> {
        if (request.target == "/v1/steps")
            frames.push_back(json::parse(request.body).at("steps").as_array().size());
        co_return jsonResponse({ { "receipts", json::array() } });
    });
    const EndpointId id("counter");
    this->watch(id, server.address());
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence)
        this->pool.carryOut(step("a", sequence, id));

    // The answer has no receipts, so that every step fails as sent.
    BOOST_TEST(this->await<StepFailed>(5));
    BOOST_TEST(this->all<StepFailed>().front().sent);
    BOOST_TEST(frames == std::vector<std::size_t> { 5 }, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(receiptOfAnotherStepIsPassedOnAndTheStepFails, Pooling)
{
    const json::value receipt { { "request", "other" }, { "generation", 0 }, { "sequence", 9 }, { "model", "m" }, { "version", "1" },
        { "layers", { 0, 4 } }, { "position", 0 }, { "count", 1 }, { "status", "ok" }, { "output", "x" } };
    const HttpServer server(this->context, { "127.0.0.1", 0 }, [&](HttpRequest) -> boost::asio::awaitable<std::optional<HttpResponse>> {
        co_return jsonResponse({ { "receipts", json::array { receipt } } });
    });
    const EndpointId id("crossed");
    this->watch(id, server.address());
    this->pool.carryOut(step("a", 1, id));

    BOOST_TEST(this->await<StepFailed>());
    BOOST_TEST(this->all<StepAnswered>().front().receipt.step().request() == RequestId("other"));
}

BOOST_FIXTURE_TEST_CASE(unreachableEngineFailsStepsAsNotSent, Pooling)
{
    const EndpointId id("gone");
    this->watch(id, unusedAddress());
    this->pool.carryOut(step("a", 1, id));
    this->pool.carryOut(step("b", 1, EndpointId("never-watched")));

    BOOST_TEST(this->await<StepFailed>(2));
    for (const StepFailed& failed : this->all<StepFailed>())
        BOOST_TEST(!failed.sent);
    BOOST_TEST(this->await<EndpointPollFailed>());
}

BOOST_FIXTURE_TEST_CASE(cancelDropsWaitingStepsAndTellsTheEngine, Pooling)
{
    this->control(this->engine->address(), { { "stalled", true } });
    this->pool.carryOut(step("a", 1));
    BOOST_TEST(runUntil(this->context, [&] { return this->all<EndpointReported>().size() > 1; }) == true);
    this->pool.carryOut(step("b", 1));
    this->pool.carryOut(CancelSteps { engineId, RequestId("b") });
    this->control(this->engine->address(), { { "stalled", false } });

    BOOST_TEST(this->await<StepAnswered>());
    this->pool.carryOut(step("c", 1));
    BOOST_TEST(this->await<StepAnswered>(2));
    BOOST_TEST(this->runs(this->engine->address()).as_array().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(statusIsReportedUntilForgotten, Pooling)
{
    BOOST_TEST(this->await<EndpointReported>(3));
    bool engineSeen = false;
    for (const EndpointReported& reported : this->all<EndpointReported>()) {
        if (reported.endpoint == engineId)
            engineSeen = reported.engine == EngineRole { ModelId("m"), "1", { 0, 4 } };
    }
    BOOST_TEST(engineSeen);
    this->pool.carryOut(UnwatchEndpoint { engineId });
    this->pool.carryOut(UnwatchEndpoint { serviceId });
    this->events.clear();
    this->pool.carryOut(step("a", 1));

    BOOST_TEST(this->await<StepFailed>());
    BOOST_TEST(this->events.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(callThatIsRunningEndsAfterItsEndpointIsForgotten, Pooling)
{
    this->control(this->service.address(), { { "delayMs", 50 } });
    this->pool.carryOut(call("r"));
    BOOST_TEST(runUntil(this->context, [&] { return !this->runs(this->service.address()).as_array().empty(); }));
    this->pool.carryOut(UnwatchEndpoint { serviceId });

    BOOST_TEST(this->await<CallAnswered>());
}

BOOST_FIXTURE_TEST_CASE(callCarriesMethodPathAndBody, Pooling)
{
    this->pool.carryOut(call("r"));

    BOOST_TEST(this->await<CallAnswered>());
    const CallAnswered answered = this->all<CallAnswered>().front();
    BOOST_TEST(answered.answer.status == 201U);
    BOOST_TEST(answered.answer.contentType == "application/json");
    BOOST_TEST(!answered.notRun);
    const json::value run = this->runs(this->service.address()).at(0);
    BOOST_TEST(run.at("path").as_string() == "/bookings");
    BOOST_TEST(run.at("body").as_string() == "two hubs");
    BOOST_TEST(run.at("request").as_string() == "r");
}

BOOST_FIXTURE_TEST_CASE(drainingServiceSaysThatTheCallDidNotRun, Pooling)
{
    this->control(this->service.address(), { { "draining", true } });
    this->pool.carryOut(call("r"));

    BOOST_TEST(this->await<CallAnswered>());
    BOOST_TEST(this->all<CallAnswered>().front().notRun);
    BOOST_TEST(this->runs(this->service.address()).as_array().empty());
}

BOOST_FIXTURE_TEST_CASE(callThatLosesItsAnswerIsSentAndRunsOnce, Pooling)
{
    this->control(this->service.address(), { { "failAfterRun", 1 } });
    this->pool.carryOut(call("r"));

    BOOST_TEST(this->await<CallFailed>());
    BOOST_TEST(this->all<CallFailed>().front().sent);
    BOOST_TEST(this->runs(this->service.address()).as_array().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(callOverAConnectionThatClosedWhileIdleRuns, Pooling)
{
    std::unique_ptr<HttpServer> server;
    const auto answer = [](HttpRequest) -> boost::asio::awaitable<std::optional<HttpResponse>> { co_return HttpResponse {}; };
    server = std::make_unique<HttpServer>(this->context, HttpAddress { "127.0.0.1", 0 }, answer);
    const HttpAddress address = server->address();
    this->watch(serviceId, address);
    this->pool.carryOut(call("first"));
    BOOST_TEST(this->await<CallAnswered>());
    server = nullptr;
    server = std::make_unique<HttpServer>(this->context, address, answer);
    this->pool.carryOut(call("second"));

    BOOST_TEST(this->await<CallAnswered>(2));
    BOOST_TEST(this->all<CallFailed>().empty());
}

BOOST_FIXTURE_TEST_CASE(cancelledCallGivesNoEvent, Pooling)
{
    this->control(this->service.address(), { { "delayMs", 20 } });
    this->pool.carryOut(call("a"));
    this->pool.carryOut(CancelCall { serviceId, RequestId("a"), 1 });
    this->pool.carryOut(call("b"));

    BOOST_TEST(this->await<CallAnswered>());
    BOOST_TEST(this->all<CallAnswered>().front().request == RequestId("b"));
    BOOST_TEST(this->all<CallAnswered>().size() == 1U);
}
