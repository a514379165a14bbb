#include "RouterScene.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace filbertspoke;
using namespace filbertspoke::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t requestsAtOnce = 8;

std::string limitedAccount()
{
    Approval approval;
    approval.change = "0190f7c0-0000-7000-8000-000000000002";
    approval.author = "author";
    approval.approver = "approver";
    approval.answers = "organisation: Test\nteam: bench\nweighsMore: throughput\nfailureDomains: [a]\n"
                       "models:\n    - { name: m, version: v1, layers: 8, longestAnswerTokens: 16, answerWithinMs: 10000 }\n"
                       "accounts:\n    - { name: acme, requestsAtOnce: "
        + std::to_string(requestsAtOnce) + " }\n";
    const auto questionnaire = std::get<Questionnaire>(parseQuestionnaire(approval.answers));
    return configurationRecordJson(makeChange(questionnaire, approval, std::nullopt));
}

/** \brief One of four daemons, with an engine. */
struct Scene {
    Router router { { DaemonId("d1"), FailureDomainId("a"), 1 }, 1 };
    Now now { TimePoint(1h), WallTime(1h) };
    int requests = 0;

    Scene()
    {
        this->router.start(this->now);
        this->handle(RecordsRead { "configuration", { { "configuration", 1, limitedAccount() } }, 0, 2 });
        std::vector<ListedHost> hosts { engineLine("e1", { 0, 8 }) };
        for (const char* peer : { "d2", "d3", "d4" })
            hosts.push_back({ ListedDaemon { DaemonId(peer), FailureDomainId("a"), "127.0.0.1", 1 }, false });
        this->handle(HostsListed { hosts });
        this->handle(EndpointReported { EndpointId("e1"), { 0, 0, 10000, false }, EngineRole { ModelId("m"), "v1", { 0, 8 } } });
    }

    Actions handle(const Event& event) { return this->router.handle(event, this->now); }

    /** \returns how many of \a count requests start */
    std::size_t offer(int count)
    {
        std::size_t started = 0;
        for (int request = 0; request < count; ++request) {
            CompletionReceived event;
            event.request = RequestId("r" + std::to_string(this->requests++));
            event.account = AccountId("acme");
            event.model = ModelId("m");
            event.prompt = "a b";
            event.maximumTokens = 4;
            started += collect<SendStep>(this->handle(event)).size();
        }
        return started;
    }
};

}

BOOST_AUTO_TEST_CASE(unheardPeersKeepTheirEvenPartOfTheLimit)
{
    Scene scene;

    BOOST_TEST(scene.offer(requestsAtOnce) == requestsAtOnce / 4);
}

BOOST_AUTO_TEST_CASE(partOfIdlePeersGoesToWhereTheDemandIs)
{
    Scene scene;
    std::size_t started = scene.offer(requestsAtOnce);
    for (const char* peer : { "d2", "d3", "d4" })
        started += collect<SendStep>(scene.handle(PeerMessageReceived { DaemonId(peer), DemandReport {} })).size();

    BOOST_TEST(started >= requestsAtOnce - 1);
    BOOST_TEST(started <= requestsAtOnce);
}

BOOST_AUTO_TEST_CASE(demandIsReportedToPeersThatAreHeard)
{
    Scene scene;
    scene.handle(PeerMessageReceived { DaemonId("d2"), PeerStatus { DaemonId("d2"), 1, 0, 0, false } });
    scene.offer(3);
    scene.now = scene.now.after(600ms);

    bool reported = false;
    for (const SendToPeer& sent : collect<SendToPeer>(scene.handle(Tick {}))) {
        const auto* report = std::get_if<DemandReport>(&sent.message);
        reported = reported || (report && sent.peer.id == DaemonId("d2") && report->demands.at(0).inProgress == 3);
    }
    BOOST_TEST(reported);
}
