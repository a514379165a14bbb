#include "Trial.h"

#include "Bound.h"
#include "Evaluation.h"
#include "FakeDaemon.h"
#include "ScenarioConfiguration.h"

#include <chrono>
#include <random>

namespace filbertspoke::bench {

namespace {

using namespace std::chrono_literals;

constexpr Duration settleTime = 5s; ///< until the daemons know their endpoints
constexpr Duration drainTime = 30s; ///< for what is in progress when the load ends
constexpr Duration repeatDelay = 50ms; ///< of callers that don't wait as long as they are told
constexpr std::size_t degradedEvery = 3;

}

Trial::Trial(const Scenario& scenario, Policy policy, std::uint64_t seed)
    : scenario(scenario)
    , policy(policy)
    , seed(seed)
    , world(this->scenario)
    , random(seed)
    , bound(throughputBound(this->scenario, [](const EngineSpec&) { return true; }))
{
    this->world.refused = [this](const RequestId& request, ErrorCode code) { this->refused(request, code); };
}

Result Trial::run()
{
    this->startDaemons();
    this->world.time.runUntil(this->world.time.now().monotonic() + settleTime);
    this->loadStart = this->world.time.now().monotonic();
    this->loadEnd = this->loadStart + this->scenario.length;
    this->scheduleArrivals();
    this->scheduleFault();
    this->loadTrace.resize(this->world.engines.size());
    this->world.time.after(this->scenario.warmUp, [this] { this->sampleLoads(); });
    this->world.time.runUntil(this->loadEnd + drainTime);
    return evaluate(this->world, this->policy, this->seed, this->loadStart);
}

void Trial::startDaemons()
{
    this->world.log[std::string(configurationStream)] = { configurationRecord(this->scenario) };
    for (const DaemonSpec& spec : this->scenario.daemons)
        this->world.daemons.push_back(std::make_unique<FakeDaemon>(spec, makePlanner(this->policy, this->random()), this->random(), this->world));
    for (const auto& daemon : this->world.daemons)
        daemon->start();
}

void Trial::sampleLoads()
{
    if (this->world.time.now().monotonic() >= this->loadEnd)
        return;
    std::size_t number = 0;
    for (const auto& [id, engine] : this->world.engines) {
        const LoadReport load = engine->load();
        this->loadTrace[number++].push_back(load.queued + load.running);
    }
    this->world.time.after(loadSampleInterval, [this] { this->sampleLoads(); });
}

void Trial::scheduleArrivals()
{
    for (const AccountSpec& account : this->scenario.accounts)
        this->scheduleArrival(account);
}

void Trial::scheduleArrival(const AccountSpec& account)
{
    const double requestsPerSecond = this->bound * this->scenario.offeredPart * account.loadPart / answerTokens;
    if (requestsPerSecond <= 0)
        return;
    const double gap = std::exponential_distribution(requestsPerSecond)(this->random);
    this->world.time.after(Duration(static_cast<Duration::rep>(gap * 1e6)), [this, &account] {
        if (this->world.time.now().monotonic() >= this->loadEnd)
            return;
        this->arrive(account.id);
        this->scheduleArrival(account);
    });
}

void Trial::arrive(const AccountId& account)
{
    static const std::string prompt = [] {
        std::string text;
        for (std::uint32_t token = 0; token < promptTokens; ++token)
            text += "p ";
        return text;
    }();
    const RequestId request("r" + std::to_string(this->requests++));
    this->world.recorder.arrived(request, account, this->world.time.now().monotonic());
    CompletionReceived event;
    event.request = request;
    event.account = account;
    event.model = benchModel();
    event.prompt = prompt;
    event.maximumTokens = answerTokens;
    event.stream = true;
    const std::size_t daemon = std::uniform_int_distribution<std::size_t>(0, this->world.daemons.size() - 1)(this->random);
    this->world.daemons[daemon]->handle(event);
}

void Trial::refused(const RequestId& request, ErrorCode)
{
    const RequestRecord& record = this->world.recorder.requests().at(request);
    if (!this->repeatRefused || !record.tokens.empty())
        return;
    this->world.time.after(repeatDelay, [this, account = record.account] { this->arrive(account); });
}

void Trial::scheduleFault()
{
    this->world.time.after(this->scenario.faultAt, [this] {
        std::visit([this](const auto& fault) { this->inject(fault); }, this->scenario.fault);
    });
}

void Trial::inject(const StageLost& fault)
{
    FakeEngine* victim = nullptr;
    for (const auto& [id, engine] : this->world.engines) {
        if (engine->spec().layers.first() > 0 && engine->spec().layers.last() < this->scenario.layers)
            victim = victim ? victim : engine.get();
    }
    if (victim)
        this->lose(*victim, fault.silent);
}

void Trial::inject(const LinksDegraded& fault)
{
    std::size_t number = 0;
    for (const auto& [id, engine] : this->world.engines) {
        if (number++ % degradedEvery == 0)
            this->world.links.degrade(id, fault.factor);
    }
}

void Trial::inject(const DomainCut& fault)
{
    const FailureDomainId domain = this->scenario.daemons.front().failureDomain;
    this->world.links.cut(domain);
    this->world.time.after(fault.length, [this] { this->world.links.heal(); });
}

void Trial::inject(const HalfLeave&)
{
    std::size_t number = 0;
    for (const auto& [id, engine] : this->world.engines) {
        if (number++ % 2 != 0)
            continue;
        this->world.leaving.insert(id);
        engine->drain();
        this->endWhenIdle(*engine);
    }
}

void Trial::inject(const PlatformAway& fault)
{
    this->world.platformUp = false;
    this->world.time.after(fault.length, [this] { this->world.platformUp = true; });
}

void Trial::inject(const RetryStorm& fault)
{
    this->repeatRefused = true;
    for (const auto& [id, engine] : this->world.engines) {
        if (engine->spec().layers.last() != this->scenario.layers)
            continue;
        this->lose(*engine, false);
        this->world.time.after(fault.length, [engine = engine.get()] { engine->restart(); });
    }
}

void Trial::lose(FakeEngine& engine, bool silently)
{
    this->world.recorder.lost(engine.residents());
    engine.stop(silently);
    if (silently)
        return;
    for (const auto& daemon : this->world.daemons)
        daemon->connectionsReset(engine);
}

void Trial::endWhenIdle(FakeEngine& engine)
{
    if (engine.residents().empty()) {
        engine.stop(false);
        return;
    }
    this->world.time.after(10ms, [this, &engine] { this->endWhenIdle(engine); });
}

}
