#include "FakeEngine.h"
#include "RouterScene.h"

#include <filbertspoke/Testing>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <utility>

using namespace filbertspoke;
using namespace filbertspoke::testing;
using namespace std::chrono_literals;

namespace {

/** \brief What the caller of one request has been told. */
struct Caller {
    std::vector<std::string> tokens; ///< prompt and answer
    std::uint32_t received = 0;
    std::uint32_t wanted = 0;
    bool stepSent = false;
    bool gone = false;
    int ends = 0;
};

/** \brief One router among engines that fail in every way, and an oracle of what callers may see. */
class Scene {
public:
    explicit Scene(std::uint64_t seed)
        : router({ DaemonId("d"), FailureDomainId("a"), 1 }, seed)
    {
        this->engines.emplace(EndpointId("a1"), FakeEngine({ 0, 4 }));
        this->engines.emplace(EndpointId("a2"), FakeEngine({ 0, 4 }));
        this->engines.emplace(EndpointId("b1"), FakeEngine({ 4, 8 }));
        this->engines.emplace(EndpointId("b2"), FakeEngine({ 4, 8 }));
        this->engines.emplace(EndpointId("c1"), FakeEngine({ 4, 6 }));
        this->engines.emplace(EndpointId("c2"), FakeEngine({ 6, 8 }));
        this->take(this->router.start(this->now));
        this->handle(RecordsRead { "configuration", { { "configuration", 1, firstChange() } }, 0, 2 });
        this->reportAll();
    }

    void reportAll()
    {
        std::vector<ListedHost> lines;
        for (const auto& [id, engine] : this->engines)
            lines.push_back(engineLine(id.str(), engine.range()));
        this->handle(HostsListed { lines });
        for (const auto& [id, engine] : this->engines)
            this->report(id, this->draining.contains(id));
    }

    void ask(unsigned argument)
    {
        CompletionReceived event;
        event.request = RequestId("r" + std::to_string(this->callers.size()));
        event.account = AccountId("acme");
        event.model = ModelId("m");
        event.prompt = "prompt " + event.request.str();
        event.maximumTokens = 1 + argument % 4;
        event.stream = true;
        this->callers[event.request] = { { "prompt", event.request.str() }, 0, event.maximumTokens, false, false, 0 };
        this->handle(event);
    }

    void runStep(unsigned argument)
    {
        if (std::optional<SendStep> sent = this->takeFrom(this->onTheWay, argument))
            this->answer(*sent, this->engines.at(sent->endpoint).run(sent->step));
    }

    void runStepAndHoldAnswer(unsigned argument)
    {
        if (std::optional<SendStep> sent = this->takeFrom(this->onTheWay, argument))
            this->late.push_back(StepAnswered { sent->endpoint, this->engines.at(sent->endpoint).run(sent->step) });
    }

    void deliverLate(unsigned argument)
    {
        if (std::optional<StepAnswered> answered = this->takeFrom(this->late, argument))
            this->handle(*answered);
    }

    void deliverTwice(unsigned argument)
    {
        if (!this->delivered.empty())
            this->handle(StepAnswered(this->delivered[argument % this->delivered.size()]));
    }

    void deliverCrossed(unsigned argument)
    {
        if (this->delivered.empty() || this->onTheWay.empty())
            return;
        // An answer that belongs to another step comes over the connection of an outstanding one.
        const StepAnswered& other = this->delivered[argument % this->delivered.size()];
        this->handle(StepAnswered { this->onTheWay[argument % this->onTheWay.size()].endpoint, other.receipt });
    }

    void loseStep(unsigned argument)
    {
        const std::optional<SendStep> sent = this->takeFrom(this->onTheWay, argument);
        if (!sent)
            return;
        if (argument % 2 == 0)
            this->engines.at(sent->endpoint).run(sent->step); // only the answer is lost
        this->handle(StepFailed { sent->endpoint, sent->step.request(), sent->step.generation(), sent->step.sequence(), true });
    }

    void lieAboutLayers(unsigned argument)
    {
        const std::optional<SendStep> sent = this->takeFrom(this->onTheWay, argument);
        if (!sent)
            return;
        const Step& step = sent->step;
        const Step lie = Step::Builder(step.request())
                             .generation(step.generation())
                             .sequence(step.sequence())
                             .model(step.model(), step.version())
                             .layers({ step.layers().first(), step.layers().last() - 1 })
                             .positions(step.position(), step.count())
                             .build();
        this->handle(StepAnswered { sent->endpoint, StepReceipt(lie, StepStatus::Ok, "lie") });
    }

    void restartEngine(unsigned argument) { this->pick(argument).second.restart(); }

    void toggleDraining(unsigned argument)
    {
        const EndpointId id = this->pick(argument).first;
        const bool drains = !this->draining.contains(id);
        if (drains)
            this->draining.insert(id);
        else
            this->draining.erase(id);
        this->report(id, drains);
    }

    void callerLeaves(unsigned argument)
    {
        if (this->callers.empty())
            return;
        auto entry = std::next(this->callers.begin(), argument % this->callers.size());
        entry->second.gone = true;
        this->handle(CallerDisconnected { entry->first });
    }

    void passTime(unsigned argument)
    {
        this->now = this->now.after(std::chrono::milliseconds(1 + (argument * 37) % 3000));
        this->handle(Tick {});
    }

    /** \brief Lets everything that is open come to its end. */
    void settle()
    {
        this->draining.clear();
        for (int round = 0; round < 400 && this->anyOpen(); ++round) {
            this->reportAll();
            while (!this->onTheWay.empty())
                this->runStep(0);
            this->now = this->now.after(100ms);
            this->handle(Tick {});
        }
        for (const auto& [id, caller] : this->callers)
            RC_ASSERT(caller.gone || caller.ends == 1);
    }

private:
    bool anyOpen() const
    {
        return std::any_of(this->callers.begin(), this->callers.end(), [](const auto& entry) { return !entry.second.gone && entry.second.ends == 0; });
    }

    template <typename Item>
    std::optional<Item> takeFrom(std::vector<Item>& items, unsigned argument)
    {
        if (items.empty())
            return std::nullopt;
        const auto position = items.begin() + argument % items.size();
        Item item = std::move(*position);
        items.erase(position);
        return item;
    }

    std::pair<const EndpointId, FakeEngine>& pick(unsigned argument)
    {
        return *std::next(this->engines.begin(), argument % this->engines.size());
    }

    void report(const EndpointId& id, bool drains)
    {
        this->handle(EndpointReported { id, LoadReport { 0, 0, 100, drains }, std::nullopt });
    }

    void answer(const SendStep& sent, const StepReceipt& receipt)
    {
        this->delivered.push_back(StepAnswered { sent.endpoint, receipt });
        this->handle(StepAnswered { sent.endpoint, receipt });
    }

    void handle(const Event& event)
    {
        this->now = this->now.after(100us);
        this->take(this->router.handle(event, this->now));
    }

    void take(const Actions& actions)
    {
        for (const Action& action : actions) {
            std::visit(Overloaded {
                           [this](const SendStep& send) { this->check(send); },
                           [this](const EmitToken& token) { this->check(token); },
                           [this](const CompleteRequest& complete) { this->check(complete); },
                           [this](const RefuseRequest& refuse) { this->check(refuse); },
                           [](const auto&) {} },
                action);
        }
    }

    void check(const SendStep& send)
    {
        RC_ASSERT(this->engines.at(send.endpoint).range() == send.step.layers());
        const bool startsChain = send.step.layers().first() == 0 && send.step.position() == 0;
        RC_ASSERT(!startsChain || !this->draining.contains(send.endpoint));
        Caller& caller = this->callers.at(send.step.request());
        RC_ASSERT(caller.ends == 0 && !caller.gone);
        caller.stepSent = true;
        this->onTheWay.push_back(send);
    }

    void check(const EmitToken& token)
    {
        Caller& caller = this->callers.at(token.request);
        RC_ASSERT(caller.ends == 0 && !caller.gone);
        RC_ASSERT(token.index == caller.received);
        RC_ASSERT(token.text == nextToken(caller.tokens));
        caller.tokens.push_back(token.text);
        ++caller.received;
    }

    void check(const CompleteRequest& complete)
    {
        Caller& caller = this->callers.at(complete.request);
        RC_ASSERT(!caller.gone && caller.received == caller.wanted);
        RC_ASSERT(++caller.ends == 1);
    }

    void check(const RefuseRequest& refuse)
    {
        Caller& caller = this->callers.at(refuse.request);
        RC_ASSERT(!caller.gone);
        RC_ASSERT(refuse.refusal.ran() != Ran::No || !caller.stepSent);
        RC_ASSERT(++caller.ends == 1);
    }

    Router router;
    Now now { TimePoint {}, WallTime {} };
    std::map<EndpointId, FakeEngine> engines;
    std::set<EndpointId> draining;
    std::map<RequestId, Caller> callers;
    std::vector<SendStep> onTheWay;
    std::vector<StepAnswered> late;
    std::vector<StepAnswered> delivered;
};

using Operation = void (Scene::*)(unsigned);

// Plain progress stands more often, so that requests get far before something fails.
const std::vector<Operation> operations {
    &Scene::ask, &Scene::runStep, &Scene::runStep, &Scene::runStep, &Scene::runStep, &Scene::runStep,
    &Scene::runStepAndHoldAnswer, &Scene::deliverLate, &Scene::deliverTwice, &Scene::deliverCrossed,
    &Scene::loseStep, &Scene::lieAboutLayers, &Scene::restartEngine, &Scene::toggleDraining,
    &Scene::callerLeaves, &Scene::passTime
};

}

BOOST_AUTO_TEST_CASE(everyCallerGetsItsOwnWholeAnswerOrOneRefusal)
{
    checkProperty([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& script) {
        Scene scene(7);
        for (const auto& [operation, argument] : script)
            (scene.*operations[operation % operations.size()])(argument);
        scene.settle();
    });
}
