#include <filbertspoke/Soak>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <iterator>
#include <utility>

namespace filbertspoke::soak {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr int callerCount = 16;
// Pauses between faults, and how long they last: shorter and longer than every time-out of a gateway.
constexpr int shortestPauseMs = 80;
constexpr int longestPauseMs = 500;
constexpr int shortestFaultMs = 50;
constexpr int longestFaultMs = 2500;
constexpr int longestDelayMs = 400;
// Within this time after the last fault everything is served again.
constexpr auto recoveryLimit = 12s;
// A leaving replica gets no more work after this.
constexpr auto drainLimit = 2s;
constexpr auto drainWatch = 1s;
constexpr auto pollPause = 20ms;
// At which endpoints write their entries; that of the gateways' settings.
constexpr auto heartbeatInterval = 1s;
// Before the loader has handed over to the program, a signal meets the system's default, which ends the process. The pause is far shorter
// than the loading, so that the signal still meets the first statements.
constexpr auto loaderPollPause = 1ms;
const std::string leavingReplica = "app-3";
// Separates the generator of the faults that were added later from those of the callers.
constexpr std::uint64_t signalSeedOffset = 1000;
constexpr std::uint64_t cutOffSeedOffset = 2000;
constexpr int shortestSignalPauseMs = 500;
constexpr int longestSignalPauseMs = 2000;
// Longer than the time after which a leaving endpoint must not get requests.
constexpr int shortestLeavingMs = 2500;
constexpr int longestLeavingMs = 4000;
constexpr int shortestPushbackMs = 600;
constexpr int longestPushbackMs = 2500;
constexpr int mostLostRecords = 12;
// Endpoints whose service or layers another endpoint serves meanwhile.
const std::vector<std::string> spareEndpoints { "app-1", "app-2", "engine-b1", "engine-c1" };

boost::json::object forwardOrder()
{
    return { { "mode", "forward" }, { "delayMs", 0 } };
}

}

SoakRun::SoakRun(std::uint64_t seed, std::chrono::seconds length, SoakPaths paths)
    : random(seed)
    , signalRandom(seed + signalSeedOffset)
    , cutOffRandom(seed + cutOffSeedOffset)
    , paths(paths)
    , length(length)
    , site(this->context, this->record, paths, seed + 1)
{
    for (int index = 0; index < callerCount; ++index)
        this->callers.push_back(std::make_unique<SoakCaller>(this->context, this->site, this->record, "caller-" + std::to_string(index), seed + 2 + static_cast<std::uint64_t>(index)));
}

SoakOutcome SoakRun::run()
{
    for (const auto& caller : this->callers)
        asio::co_spawn(this->context, caller->run(this->callersStop), asio::detached);
    asio::co_spawn(this->context, this->watchProcesses(), asio::detached);
    asio::co_spawn(this->context, this->keepHeartbeats(), asio::detached);
    asio::co_spawn(this->context, this->inject(), asio::detached);
    asio::co_spawn(this->context, this->injectSignals(), asio::detached);
    if (this->paths == SoakPaths::ByDomain)
        asio::co_spawn(this->context, this->injectCutOffs(), asio::detached);
    while (!this->over)
        this->context.run_one_for(pollPause);
    SoakOutcome outcome { this->record.count(), this->record.answered(), this->faults, this->record.violations(), {}, {} };
    if (!outcome.violations.empty()) {
        const std::string& first = outcome.violations.front();
        const auto at = first.find("caller-");
        const std::string request = at == std::string::npos ? "\"started\"" : first.substr(at, first.find(' ', at) - at);
        for (SoakGateway& gateway : this->site.gateways) {
            const auto& lines = outcome.logs[gateway.text.name] = SoakSite::logOf(gateway);
            std::ranges::copy_if(lines, std::back_inserter(outcome.log), [&request](const std::string& line) { return line.find("\"" + request + "\"") != std::string::npos; });
        }
    }
    return outcome;
}

SoakRun::Task SoakRun::sleep(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(this->context, duration);
    co_await timer.async_wait(asTuple);
}

SoakRun::Task SoakRun::runFault(std::string name, Task fault)
{
    this->faults.push_back(std::move(name));
    ++this->faultsInProgress;
    co_await std::move(fault);
    --this->faultsInProgress;
}

SoakRun::Task SoakRun::injectSignals()
{
    const auto end = Clock::now() + this->length;
    while (Clock::now() < end) {
        co_await this->sleep(std::chrono::milliseconds(this->drawSignal(shortestSignalPauseMs, longestSignalPauseMs)));
        if (Clock::now() < end)
            this->beginSignal();
    }
}

void SoakRun::beginSignal()
{
    const auto start = [this](std::string what, Task fault) { asio::co_spawn(this->context, this->runFault(std::move(what), std::move(fault)), asio::detached); };
    const std::string endpoint = spareEndpoints[static_cast<std::size_t>(this->drawSignal(0, static_cast<int>(spareEndpoints.size()) - 1))];
    const auto lasting = std::chrono::milliseconds(this->drawSignal(shortestFaultMs, longestFaultMs));
    switch (this->drawSignal(0, 2)) {
    case 0:
        return start("store restarts from a copy after " + std::to_string(lasting.count()) + " ms", this->restartStore(lasting, std::chrono::milliseconds(this->drawSignal(shortestFaultMs, longestPauseMs))));
    case 1:
        return start(endpoint + " says that it is leaving", this->letEndpointLeave(endpoint, std::chrono::milliseconds(this->drawSignal(shortestLeavingMs, longestLeavingMs))));
    default:
        return start(endpoint + " pushes back", this->pushBack(endpoint, lasting, std::chrono::milliseconds(this->drawSignal(shortestPushbackMs, longestPushbackMs))));
    }
}

SoakRun::Task SoakRun::restartStore(std::chrono::milliseconds away, std::chrono::milliseconds rewritten)
{
    this->site.setStoreAway(true);
    co_await this->sleep(away);
    this->site.restartStore(static_cast<std::size_t>(this->drawSignal(1, mostLostRecords)));
    this->site.setStoreAway(false);
    co_await this->sleep(rewritten);
    this->site.writeAgain();
}

SoakRun::Task SoakRun::letEndpointLeave(std::string endpoint, std::chrono::milliseconds duration)
{
    this->site.announceLeaving(endpoint);
    co_await this->sleep(duration);
    this->site.restartEndpoint(endpoint);
}

SoakRun::Task SoakRun::pushBack(std::string endpoint, std::chrono::milliseconds duration, std::chrono::milliseconds pushback)
{
    this->site.setPushback(endpoint, pushback);
    co_await this->sleep(duration);
    this->site.setPushback(endpoint, std::chrono::milliseconds::zero());
}

SoakRun::Task SoakRun::inject()
{
    const auto end = Clock::now() + this->length;
    while (Clock::now() < end) {
        co_await this->sleep(std::chrono::milliseconds(this->draw(shortestPauseMs, longestPauseMs)));
        this->begin();
    }
    while (this->faultsInProgress > 0)
        co_await this->sleep(pollPause);
    co_await this->finish();
}

void SoakRun::begin()
{
    static const std::vector<std::string> modes { "cut", "black-hole", "one-way", "reset", "silence", "delay" };
    const auto lasting = std::chrono::milliseconds(this->draw(shortestFaultMs, longestFaultMs));
    SoakGateway& gateway = this->site.gateways[static_cast<std::size_t>(this->draw(0, static_cast<int>(this->site.gateways.size()) - 1))];
    const std::string& mode = modes[static_cast<std::size_t>(this->draw(0, static_cast<int>(modes.size()) - 1))];
    const std::string& endpoint = this->site.endpointNames[static_cast<std::size_t>(this->draw(0, static_cast<int>(this->site.endpointNames.size()) - 1))];
    const std::string& name = gateway.text.name;
    const std::string time = " for " + std::to_string(lasting.count()) + " ms";
    const auto start = [this](std::string what, Task fault) { asio::co_spawn(this->context, this->runFault(std::move(what), std::move(fault)), asio::detached); };
    switch (this->draw(0, 10)) {
    case 0:
        return start("pause " + name + time, this->pauseGateway(gateway, lasting));
    case 1:
        return start("kill " + name + time, this->killGateway(gateway, lasting));
    case 2:
        return start("stop " + name, this->stopGateway(gateway));
    case 3:
        return start("hangup " + name, this->hangUp(gateway));
    case 4:
    case 5:
        return start("store link of " + name + ": " + mode + time, this->breakStoreLink(*gateway.storeLink, mode, lasting));
    case 6:
    case 7:
        return start("link of " + endpoint + ": " + mode + time, this->breakEndpointLink(endpoint, mode, lasting));
    case 8:
        return start("store away" + time, this->loseStore(lasting));
    case 9:
        return start("endpoints in trouble" + time, this->troubleEndpoints(lasting));
    default:
        return start("configurations", this->changeConfigurations(this->draw(1, 3)));
    }
}

SoakRun::Task SoakRun::hangUp(SoakGateway& gateway)
{
    const unsigned begun = gateway.starts;
    while (!gateway.handled && gateway.starts == begun && !gateway.process->handles(SIGHUP))
        co_await this->sleep(loaderPollPause);
    if (gateway.handled || gateway.starts != begun)
        co_return;
    gateway.process->signal(SIGHUP);
}

SoakRun::Task SoakRun::pauseGateway(SoakGateway& gateway, std::chrono::milliseconds duration)
{
    if (std::exchange(gateway.handled, true))
        co_return;
    gateway.process->signal(SIGSTOP);
    co_await this->sleep(duration);
    gateway.process->signal(SIGCONT);
    gateway.disturbedAt = Clock::now();
    gateway.handled = false;
}

SoakRun::Task SoakRun::killGateway(SoakGateway& gateway, std::chrono::milliseconds duration)
{
    if (std::exchange(gateway.handled, true))
        co_return;
    gateway.process->kill();
    co_await this->sleep(duration);
    this->site.start(gateway);
    gateway.handled = false;
}

SoakRun::Task SoakRun::stopGateway(SoakGateway& gateway)
{
    if (std::exchange(gateway.handled, true))
        co_return;
    while (!gateway.process->handles(SIGTERM))
        co_await this->sleep(loaderPollPause);
    gateway.process->signal(SIGTERM);
    while (gateway.process->running())
        co_await this->sleep(pollPause);
    const int status = gateway.process->wait();
    if (status != 0)
        this->record.breach(gateway.text.name + " ended with " + std::to_string(status) + " after SIGTERM");
    this->site.start(gateway);
    gateway.handled = false;
}

boost::json::object SoakRun::linkOrder(const std::string& mode)
{
    if (mode == "delay")
        return { { "delayMs", this->draw(1, longestDelayMs) } };
    return { { "mode", mode } };
}

SoakRun::Task SoakRun::breakStoreLink(RelayStandIn& link, std::string mode, std::chrono::milliseconds duration)
{
    link.control(this->linkOrder(mode));
    co_await this->sleep(duration);
    link.control(forwardOrder());
}

SoakRun::Task SoakRun::breakEndpointLink(std::string endpoint, std::string mode, std::chrono::milliseconds duration)
{
    // Noted before the fault, since a run may end during it.
    this->record.note(LinkFault { endpoint, Clock::now(), Clock::now() + duration });
    this->site.controlLinks(endpoint, this->linkOrder(mode));
    co_await this->sleep(duration);
    this->site.controlLinks(endpoint, forwardOrder());
}

SoakRun::Task SoakRun::loseStore(std::chrono::milliseconds duration)
{
    this->site.setStoreAway(true);
    co_await this->sleep(duration);
    this->site.setStoreAway(false);
}

SoakRun::Task SoakRun::troubleEndpoints(std::chrono::milliseconds duration)
{
    this->site.setTrouble(true);
    co_await this->sleep(duration);
    this->site.setTrouble(false);
}

SoakRun::Task SoakRun::changeConfigurations(int count)
{
    for (int change = 0; change < count; ++change) {
        this->site.changeConfiguration();
        co_await this->sleep(std::chrono::milliseconds(this->draw(shortestFaultMs, longestPauseMs)));
    }
    if (!this->site.drained)
        this->site.drainLastReplica();
}

std::string SoakRun::failureLine(Process& process)
{
    std::string failure;
    while (const auto line = process.readLine()) {
        if (line->find("\"event\":\"failed\"") != std::string::npos)
            failure = ": " + *line;
    }
    return failure;
}

SoakRun::Task SoakRun::watchProcesses()
{
    while (!this->over) {
        for (SoakGateway& gateway : this->site.gateways) {
            if (gateway.handled || gateway.process->running())
                continue;
            this->record.breach(gateway.text.name + " ended by itself with " + std::to_string(gateway.process->wait()) + failureLine(*gateway.process));
            this->site.start(gateway);
        }
        co_await this->sleep(pollPause);
    }
}

SoakRun::Task SoakRun::keepHeartbeats()
{
    while (!this->over) {
        co_await this->sleep(heartbeatInterval);
        this->site.renewEndpoints();
    }
}

asio::awaitable<std::optional<CallRecord>> SoakRun::firstUnserved(SoakCaller& caller)
{
    for (std::size_t gateway = 0; gateway < this->site.gateways.size(); ++gateway) {
        for (const CallKind kind : { CallKind::Booking, CallKind::LookUp, CallKind::Generation, CallKind::Probe }) {
            const CallRecord call = co_await caller.callOnce(kind, gateway);
            if (call.status != 200 || !call.whole)
                co_return call;
        }
    }
    co_return std::nullopt;
}

SoakRun::Task SoakRun::checkRecovery()
{
    SoakCaller caller(this->context, this->site, this->record, "caller-last", 1);
    const auto limit = Clock::now() + recoveryLimit;
    while (const auto unserved = co_await this->firstUnserved(caller)) {
        if (Clock::now() > limit) {
            this->record.breach("not everything is served " + std::to_string(recoveryLimit.count()) + " s after the last fault, as " + unserved->id + " at gateway " + std::to_string(unserved->gateway) + ", status " + std::to_string(unserved->status));
            co_return;
        }
        co_await this->sleep(pollPause);
    }
}

SoakRun::Task SoakRun::checkDraining()
{
    if (!this->site.drained)
        co_return;
    co_await this->sleep(drainLimit);
    const auto since = Clock::now();
    co_await this->sleep(drainWatch);
    if (const std::size_t runs = this->record.runsSince(leavingReplica, since))
        this->record.breach(std::to_string(runs) + " requests ran at a replica that left long before");
}

SoakRun::Task SoakRun::finish()
{
    co_await this->checkRecovery();
    co_await this->checkDraining();
    this->callersStop = true;
    // Requests that were refused must not run later either.
    co_await this->sleep(drainWatch);
    this->over = true;
}

}
