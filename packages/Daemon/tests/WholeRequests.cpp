// Runs two gateways whose replicas fall silent for a moment and go on, beside changes of the configuration and signals. Callers check that each
// request which they have sent whole gets one whole answer or one refusal.
#include <filbertspoke/PlatformTesting>
#include <filbertspoke/Testing>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace filbertspoke;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;
using Moment = Clock::time_point;
using Random = std::mt19937_64;
using std::chrono::milliseconds;

// Requests are sent for this time.
constexpr milliseconds playTime = 3200ms;
// Requirement of the users: a gateway still gets requests for some time after SIGTERM.
constexpr milliseconds sentAfterTerm = 2500ms;
// The shortest time-out of a route; a request may end without a whole answer when it is reached.
constexpr milliseconds shortestTimeout = 4500ms;
constexpr milliseconds longestTimeout = 9s;
constexpr milliseconds longestPause = 700ms;
constexpr milliseconds step = 20ms;
constexpr milliseconds betweenEvents = 80ms;
constexpr int events = 6;
constexpr int eventsOfLong = 14;

milliseconds draw(Random& random, milliseconds least, milliseconds most)
{
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(least.count(), most.count())(random));
}

bool drawBool(Random& random)
{
    return std::bernoulli_distribution(0.5)(random);
}

/** \brief The spans in which a replica sends nothing. */
class Silences {
public:
    Silences(Random& random, Moment start)
    {
        const Moment end = start + playTime * 2;
        for (Moment from = start + draw(random, 0ms, 1200ms); from < end; from = this->spans.back().second + draw(random, 1500ms, 2500ms))
            this->spans.emplace_back(from, from + draw(random, 800ms, 1600ms));
    }

    bool contain(Moment moment) const
    {
        return std::any_of(this->spans.begin(), this->spans.end(), [moment](const auto& span) { return span.first <= moment && moment < span.second; });
    }

    /** \returns a script that sends the parts one after the other, outside the spans */
    ReplicaScript script(const std::vector<std::string>& parts, milliseconds before) const
    {
        ReplicaScript script { {}, step, ReplicaScript::End::Keep };
        Moment at = Clock::now();
        Moment due = at + before;
        for (const std::string& part : parts) {
            for (; at < due || this->contain(at); at += step)
                script.pieces.emplace_back();
            script.pieces.push_back(part);
            at += step;
            due += betweenEvents;
        }
        return script;
    }

private:
    std::vector<std::pair<Moment, Moment>> spans;
};

int eventsOf(std::string_view target)
{
    return target.ends_with("long") ? eventsOfLong : events;
}

ReplicaScript answerOutside(const Silences& silences, Random& random, const HttpRequest& request)
{
    if (request.target.starts_with("/filbertspoke/"))
        return silences.script(emptyReport().pieces, 0ms);
    const ForwardedRequest forwarded = readForwarded(request);
    if (!forwarded.chained)
        return silences.script({ wholeAnswer(request, 200, "served") }, draw(random, 0ms, 200ms));
    std::vector<std::string> parts { streamHead(request) };
    for (int event = forwarded.lastEvent + 1; event <= eventsOf(request.target); ++event)
        parts.push_back(eventChunk(event));
    parts.push_back(lastChunk());
    return silences.script(parts, 0ms);
}

/** \brief A configuration in which the operator has changed something. */
struct ChangedConfiguration {
    std::string bookingService = "app";
    milliseconds timeout = 5s;
    milliseconds idleTimeout = 15s;
    std::size_t moreRoutes = 0;

    std::string text(int version) const
    {
        std::vector<RouteText> routes = usualRoutes();
        std::find_if(routes.begin(), routes.end(), [](const RouteText& route) { return route.name == "book"; })->service = this->bookingService;
        for (std::size_t route = 0; route < this->moreRoutes; ++route)
            routes.push_back({ "more-" + std::to_string(route), "/more-" + std::to_string(route) + "/", "idempotent", "app", 2 });
        std::string text = configurationText(version, routes);
        const std::string usual = R"("TimeoutMs":5000)";
        const std::string changed = R"("TimeoutMs":)" + std::to_string(this->timeout.count());
        for (std::size_t at = text.find(usual); at != std::string::npos; at = text.find(usual, at + changed.size()))
            text.replace(at, usual.size(), changed);
        return text.insert(1, R"("Limits":{"IdleTimeoutMs":)" + std::to_string(this->idleTimeout.count()) + "},");
    }
};

ChangedConfiguration drawConfiguration(Random& random)
{
    return { drawBool(random) ? "app" : "nowhere", draw(random, shortestTimeout, longestTimeout), draw(random, 500ms, 5s), 0 };
}

/** \brief Callers at both gateways, replicas that fall silent, and what happens beside them at drawn moments. */
class Play : public GatewayScene {
public:
    explicit Play(std::uint64_t seed)
        : random(seed)
        , delays(seed)
    {
        this->start();
        this->startSecond("zone-b", this->secondStore.address());
        this->begun = Clock::now();
        const bool together = drawBool(this->random);
        const Silences common(this->random, this->begun);
        for (const auto& [id, replica] : this->replicas) {
            const Silences silences = together ? common : Silences(this->random, this->begun);
            replica->setAnswer([this, silences](const HttpRequest& request) { return answerOutside(silences, this->delays, request); });
        }
        for (const char* target : { "/chat/x", "/chat/long", "/book/x", "/stock/x" }) {
            for (const HttpAddress& gateway : { this->callers, this->secondCallers }) {
                this->add(gateway, target, false, 0ms);
                this->add(gateway, target, true, 0ms);
                this->add(gateway, target, true, draw(this->random, 0ms, longestPause));
            }
        }
    }

    /** \brief Does something at a drawn moment of the play. */
    Moment schedule(std::function<void()> action, milliseconds least = 200ms, milliseconds most = playTime - 200ms)
    {
        const Moment moment = this->begun + draw(this->random, least, most);
        this->actions.emplace(moment, std::move(action));
        return moment;
    }

    void configure(const ChangedConfiguration& configuration)
    {
        const std::string text = configuration.text(++this->version);
        this->store.putConfiguration(text);
        this->secondStore.putConfiguration(text);
    }

    /** \brief Stops one of the gateways at a drawn moment. */
    void terminate()
    {
        const bool first = drawBool(this->random);
        const Moment moment = this->schedule([this, first] { this->gatewayAt(first).signal(SIGTERM); }, 200ms, playTime - sentAfterTerm);
        for (SteadyCaller& caller : this->steadyCallers) {
            if (caller.gateway() == (first ? this->callers : this->secondCallers))
                caller.sendUntil(moment + sentAfterTerm);
        }
    }

    Process& gatewayAt(bool first) { return first ? *this->gateway : *this->second; }

    void run()
    {
        const bool ended = this->await([this] { return this->advance(); });
        BOOST_TEST(ended, "requests that have neither an answer nor an end");
        std::string counts = std::to_string(this->outcomes.timedOut.size()) + " timed out, " + std::to_string(this->outcomes.crossed.size()) + " crossed the close";
        for (const auto& [status, count] : this->outcomes.statuses)
            counts += ", " + std::to_string(count) + " of " + std::to_string(status);
        BOOST_TEST_MESSAGE(counts);
        BOOST_TEST(this->outcomes.statuses[200] > 0U);
        BOOST_TEST(this->outcomes.faults.empty(), this->describeFaults());
    }

    Random random;

private:
    void add(const HttpAddress& gateway, const std::string& target, bool keeps, milliseconds pause)
    {
        SteadyCaller::Plan plan;
        plan.name = "caller-" + std::to_string(this->steadyCallers.size() + 1);
        plan.gateway = gateway;
        plan.method = target.starts_with("/stock/") ? "GET" : "POST";
        plan.target = target;
        for (int event = 1; target.starts_with("/chat/") && event <= eventsOf(target); ++event)
            plan.expectedEvents += std::to_string(event) + " ";
        plan.keepsConnection = keeps;
        plan.pause = pause;
        plan.excusedAfter = shortestTimeout;
        plan.lastSend = this->begun + playTime;
        this->steadyCallers.emplace_back(this->context, plan);
    }

    bool advance()
    {
        while (!this->actions.empty() && this->actions.begin()->first <= Clock::now())
            this->actions.extract(this->actions.begin()).mapped()();
        bool ended = this->actions.empty();
        for (SteadyCaller& caller : this->steadyCallers) {
            caller.advance(this->outcomes, [this](const std::string& id) { return this->reached(id); });
            ended = caller.ended() && ended;
        }
        return ended;
    }

    bool reached(const std::string& id) const
    {
        return std::any_of(this->replicas.begin(), this->replicas.end(), [&id](const auto& replica) {
            const auto& requests = replica.second->requests();
            return std::any_of(requests.begin(), requests.end(), [&id](const HttpRequest& request) { return readForwarded(request).id == id; });
        });
    }

    /** \returns the faults with the lines that the gateways have logged about their requests; ends the gateways if there are any */
    std::string describeFaults()
    {
        std::string text;
        for (const auto& [id, fault] : this->outcomes.faults)
            text += id + ": " + fault + "\n";
        for (const bool first : { true, false }) {
            if (this->outcomes.faults.empty())
                break;
            this->gatewayAt(first).kill();
            while (const auto line = this->gatewayAt(first).readLine()) {
                if (std::any_of(this->outcomes.faults.begin(), this->outcomes.faults.end(), [&line](const auto& fault) { return line->find("\"" + fault.first + "\"") != std::string::npos; }))
                    text += *line + "\n";
            }
        }
        return text;
    }

    Random delays; ///< drawn from in the order of the requests, which differs from run to run
    Moment begun;
    std::vector<SteadyCaller> steadyCallers;
    std::multimap<Moment, std::function<void()>> actions;
    CallOutcomes outcomes;
    int version = 1;
};

/** \brief Runs plays with seeds that follow each other; FILBERTSPOKE_SEED and FILBERTSPOKE_CASES set the first one and how many. */
void playAll(const std::function<void(Play&)>& prepare)
{
    const std::uint64_t first = testing::environmentNumber("FILBERTSPOKE_SEED", 1);
    for (std::uint64_t seed = first; seed < first + testing::environmentNumber("FILBERTSPOKE_CASES", 1); ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Play play(seed);
            prepare(play);
            play.run();
        }
    }
}

}

// Guards against requests that end without an answer when their route gets another service, time-out or idle time-out.
BOOST_AUTO_TEST_CASE(requestsAreAnsweredBesideChangesOfTheirRoutes)
{
    playAll([](Play& play) {
        for (int change = 0; change < 5; ++change)
            play.schedule([&play, configuration = drawConfiguration(play.random)] { play.configure(configuration); });
    });
}

// Guards against requests that end without an answer while a gateway reads a large configuration.
BOOST_AUTO_TEST_CASE(requestsAreAnsweredBesideAConfigurationWithThousandsOfRoutes)
{
    playAll([](Play& play) {
        for (const std::size_t routes : { 3000, 10, 5000 }) {
            ChangedConfiguration configuration = drawConfiguration(play.random);
            configuration.moreRoutes = routes;
            play.schedule([&play, configuration] { play.configure(configuration); });
        }
    });
}

// Guards against requests that end without an answer when configurations follow each other at once.
BOOST_AUTO_TEST_CASE(requestsAreAnsweredBesideAStormOfConfigurations)
{
    constexpr int changes = 80;
    playAll([](Play& play) {
        for (int change = 0; change < changes; ++change)
            play.schedule([&play, configuration = drawConfiguration(play.random)] { play.configure(configuration); });
    });
}

// Guards against requests that end without an answer when a gateway reads its settings again.
BOOST_AUTO_TEST_CASE(requestsAreAnsweredBesideHangups)
{
    playAll([](Play& play) {
        for (int hangup = 0; hangup < 6; ++hangup)
            play.schedule([&play, hangup] { play.gatewayAt(hangup % 2 == 0).signal(SIGHUP); });
    });
}

// Guards against requests that end without an answer because the gateway that has read them stops.
BOOST_AUTO_TEST_CASE(requestsAreAnsweredByAGatewayThatStops)
{
    playAll([](Play& play) { play.terminate(); });
}

// Guards against requests that end without an answer on a connection whose last answer, begun before SIGTERM, did not say that it ends.
BOOST_AUTO_TEST_CASE(requestAfterAStreamThatEndsWhileTheGatewayStopsIsAnswered)
{
    constexpr int pauses = 20;
    GatewayScene scene;
    scene.start();
    for (const char* id : { "engine-a1", "engine-b1" }) {
        scene.replicas.at(id)->setAnswer([](const HttpRequest& request) {
            if (request.target.starts_with("/filbertspoke/"))
                return emptyReport();
            ReplicaScript script { { streamHead(request) + eventChunk(1) }, step, ReplicaScript::End::Keep };
            script.pieces.insert(script.pieces.end(), pauses, "");
            script.pieces.push_back(eventChunk(2) + lastChunk());
            return script;
        });
    }
    const auto caller = scene.call("POST", "/chat/x");
    BOOST_TEST_REQUIRE(scene.await([&] { return !eventIds(caller->received()).empty(); }));
    scene.gateway->signal(SIGTERM);
    BOOST_TEST_REQUIRE(scene.await([&] { return readAnswer(caller->received()).has_value(); }));
    const auto stream = readAnswer(caller->received());
    BOOST_TEST(stream->eventIds == "1 2 ");
    BOOST_TEST(!stream->closes);
    caller->send(callText({ "POST", "/book/x", "request-after-stream", 4s, "key-1", {} }));
    BOOST_TEST(scene.answer(*caller, "served").ends_with("served"));
}
