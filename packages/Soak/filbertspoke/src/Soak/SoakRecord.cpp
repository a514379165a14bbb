#include <filbertspoke/Soak>

#include <algorithm>
#include <set>
#include <utility>

namespace filbertspoke::soak {

namespace {

constexpr unsigned statusNotFound = 404;
// Statuses that say that the request has not run and never will.
const std::set<unsigned> refusals { 408, 421, 429, 503 };
// Endpoints at which the routes of look-ups and generations allow one request to run.
constexpr std::size_t routeAttempts = 2;
// A later request may still be under way to the gateway when an earlier one shows a new version.
constexpr std::chrono::milliseconds revertSlack { 250 };
constexpr std::chrono::milliseconds heldSlack { 500 };
// Fewer late answers than this are one stall of the machine.
constexpr std::size_t leastHeld = 5;

// A gateway passes no request on to an endpoint this long after it has passed on the endpoint's word that it is leaving.
constexpr std::chrono::seconds leavingLimit { 2 };
// Requests that may reach an endpoint between this time after its pushback and the pushback's end.
constexpr std::chrono::milliseconds pushbackGrace { 500 };
constexpr std::ptrdiff_t allowedDuringPushback = 2;
// Requirement: from this time after a cut on, gateways that are cut off from all endpoints serve two thirds of what the others serve.
constexpr std::chrono::seconds cutOffAdjustment { 3 };
constexpr double leastCutOffShare = 2.0 / 3;
constexpr double allowedCutOffFailures = 10;
constexpr double allowedCutOffFailureShare = 1.0 / 50;

std::string describe(const CallRecord& call)
{
    return call.id + " at gateway " + std::to_string(call.gateway) + ", status " + std::to_string(call.status);
}

}

std::size_t SoakRecord::answered() const
{
    return static_cast<std::size_t>(std::count_if(this->calls.begin(), this->calls.end(), [](const CallRecord& call) { return call.status == statusOk && call.whole; }));
}

std::size_t SoakRecord::runsSince(const std::string& endpoint, Clock::time_point time) const
{
    std::size_t count = 0;
    for (const auto& [id, list] : this->runs) {
        count += static_cast<std::size_t>(std::count_if(list.begin(), list.end(), [&](const RunRecord& run) { return run.endpoint == endpoint && run.at > time; }));
    }
    return count;
}

void SoakRecord::checkCall(const CallRecord& call, std::vector<std::string>& found) const
{
    if (call.status == statusOk && call.echoedId != call.id)
        found.push_back("the answer to " + call.echoedId + " came for " + describe(call));
    if (call.status == statusOk && call.whole && call.kind != CallKind::Generation && call.body != "served " + call.id)
        found.push_back("another body, '" + call.body + "', came for " + describe(call));
    if (refusals.contains(call.status) && call.returnTime.empty())
        found.push_back("a refusal without a time to come back for " + describe(call));
    if (call.status == statusNotFound && call.kind != CallKind::Probe)
        found.push_back("a route that every version has was not found for " + describe(call));
}

void SoakRecord::checkRuns(const CallRecord& call, std::vector<std::string>& found) const
{
    const auto entry = this->runs.find(call.id);
    const std::size_t count = entry == this->runs.end() ? 0 : entry->second.size();
    if (call.kind == CallKind::Booking && count > 1)
        found.push_back(std::to_string(count) + " runs of a booking, " + describe(call));
    if ((call.kind == CallKind::LookUp || call.kind == CallKind::Probe) && count > routeAttempts)
        found.push_back(std::to_string(count) + " runs of a look-up, " + describe(call));
    if (call.kind == CallKind::Booking && refusals.contains(call.status) && count > 0)
        found.push_back("a refusal of a booking that ran, " + describe(call));
    const bool unanswered = call.status == 0 && call.undisturbed && call.kind != CallKind::Generation;
    if (unanswered && count > 0 && call.endedAt - call.sentAt < callLimit)
        found.push_back("a connection that closed on a request in progress, " + describe(call));
    if (entry == this->runs.end())
        return;
    std::set<std::string> endpoints;
    for (const RunRecord& run : entry->second)
        endpoints.insert(run.endpoint);
    if (endpoints.size() > routeAttempts)
        found.push_back(std::to_string(endpoints.size()) + " endpoints ran one request, " + describe(call));
    for (const RunRecord& run : entry->second) {
        if (run.account != "gold" || run.keyPassedOn)
            found.push_back("the account '" + run.account + "' or the key itself at " + run.endpoint + " for " + describe(call));
    }
}

void SoakRecord::checkStream(const CallRecord& call, std::vector<std::string>& found) const
{
    int last = 0;
    for (std::size_t at = call.body.find("id: "); at != std::string::npos; at = call.body.find("id: ", at + 1)) {
        const int event = std::atoi(call.body.c_str() + at + 4);
        if (event != last + 1)
            found.push_back("event " + std::to_string(event) + " behind " + std::to_string(last) + " in " + describe(call));
        last = event;
    }
    if (call.status == statusOk && call.whole && last != eventsOfAStream)
        found.push_back("a stream that ends as whole behind event " + std::to_string(last) + ", " + describe(call));
    for (std::size_t at = call.body.find("data: "); at != std::string::npos; at = call.body.find("data: ", at + 1)) {
        if (call.body.compare(at + 6, call.id.size(), call.id) != 0)
            found.push_back("another request's event in " + describe(call));
    }
}

void SoakRecord::checkConfigurations(std::vector<std::string>& found) const
{
    std::map<std::pair<std::size_t, unsigned>, std::vector<const CallRecord*>> byProcess;
    for (const CallRecord& call : this->calls) {
        if (call.kind == CallKind::Probe)
            byProcess[{ call.gateway, call.start }].push_back(&call);
    }
    // Only a run shows that a version was in force: a gateway refuses all requests until it knows a configuration.
    const auto ranBefore = [this](const CallRecord& earlier, Clock::time_point time) {
        const auto run = this->runs.find(earlier.id);
        return run != this->runs.end() && run->second.front().at + revertSlack < time;
    };
    for (auto& [process, probes] : byProcess) {
        for (const CallRecord* later : probes) {
            const bool reverted = later->status == statusNotFound && std::any_of(probes.begin(), probes.end(), [&](const CallRecord* earlier) {
                return earlier->version >= later->version && ranBefore(*earlier, later->sentAt);
            });
            if (reverted)
                found.push_back("an older configuration than before, " + describe(*later));
        }
    }
}

void SoakRecord::checkHeldCalls(std::vector<std::string>& found) const
{
    std::size_t late = 0;
    std::vector<const CallRecord*> held;
    for (const CallRecord& call : this->calls) {
        const auto took = call.endedAt - call.sentAt;
        if (!call.undisturbed || took <= callLimit)
            continue;
        ++late;
        if (took > callLimit + heldSlack)
            held.push_back(&call);
    }
    if (held.size() >= leastHeld && 2 * held.size() > late)
        found.push_back(std::to_string(held.size()) + " of " + std::to_string(late) + " requests that missed their time had no answer half a second later, the first " + describe(*held.front()));
}

void SoakRecord::checkRetries(bool generations, std::vector<std::string>& found) const
{
    std::vector<Clock::time_point> requests;
    std::vector<Clock::time_point> repeats;
    for (const CallRecord& call : this->calls) {
        if ((call.kind == CallKind::Generation) == generations)
            requests.push_back(call.sentAt);
    }
    for (const auto& [id, list] : this->runs) {
        for (std::size_t index = 1; index < list.size() && list.front().endpoint.starts_with("engine") == generations; ++index)
            repeats.push_back(list[index].at);
    }
    const auto within = [](const std::vector<Clock::time_point>& times, Clock::time_point end) {
        return static_cast<double>(std::count_if(times.begin(), times.end(), [&](Clock::time_point time) { return time > end - retryWindow && time <= end; }));
    };
    for (const Clock::time_point end : repeats) {
        const double most = std::max({ within(requests, end), within(requests, end - retryWindow / 2), within(requests, end - retryWindow) });
        if (within(repeats, end) > retryRatio * most + retryReserve) {
            found.push_back(std::to_string(within(repeats, end)) + " repeats of " + (generations ? "generations" : "calls") + " in ten seconds with " + std::to_string(most) + " requests");
            return;
        }
    }
}

void SoakRecord::checkLeaving(const SignalRecord& signal, const std::map<std::string, const CallRecord*>& callsById, std::vector<std::string>& found) const
{
    const auto passed = callsById.find(signal.id);
    const auto arrived = this->arrivals.find(signal.endpoint);
    if (passed == callsById.end() || passed->second->status == 0 || arrived == this->arrivals.end())
        return;
    for (const ArrivalRecord& arrival : arrived->second) {
        const auto call = callsById.find(arrival.id);
        if (call == callsById.end() || arrival.start != signal.start)
            continue;
        const bool sameProcess = call->second->gateway == passed->second->gateway && call->second->start == passed->second->start && call->second->undisturbed;
        if (sameProcess && call->second->sentAt > passed->second->endedAt + leavingLimit)
            found.push_back("a request at " + signal.endpoint + " after its gateway had passed on that it is leaving, " + describe(*call->second));
    }
}

void SoakRecord::checkPushback(const SignalRecord& signal, const std::map<std::string, const CallRecord*>& callsById, std::vector<std::string>& found) const
{
    const auto refused = callsById.find(signal.id);
    const auto end = signal.at + signal.pushback;
    const bool heldUp = std::any_of(this->linkFaults.begin(), this->linkFaults.end(), [&](const LinkFault& fault) { return fault.endpoint == signal.endpoint && fault.from < end && fault.to + pushbackGrace > signal.at; });
    const auto arrived = this->arrivals.find(signal.endpoint);
    if (refused == callsById.end() || heldUp || arrived == this->arrivals.end())
        return;
    const auto count = std::count_if(arrived->second.begin(), arrived->second.end(), [&](const ArrivalRecord& arrival) {
        const auto call = callsById.find(arrival.id);
        const bool sameProcess = call != callsById.end() && call->second->gateway == refused->second->gateway && call->second->start == refused->second->start && call->second->undisturbed;
        return sameProcess && arrival.start == signal.start && arrival.at > signal.at + pushbackGrace && arrival.at <= end;
    });
    if (count > allowedDuringPushback)
        found.push_back(std::to_string(count) + " requests reached " + signal.endpoint + " while it pushed back, the refused one " + describe(*refused->second));
}

void SoakRecord::checkCutOff(const CutOffRecord& cut, std::vector<std::string>& found) const
{
    double cutCalls = 0;
    double cutServed = 0;
    double otherCalls = 0;
    double otherServed = 0;
    for (const CallRecord& call : this->calls) {
        if (call.sentAt < cut.from + cutOffAdjustment || call.endedAt > cut.to || call.status == statusNotFound)
            continue;
        const double served = call.status == statusOk && call.whole ? 1 : 0;
        if (!cut.gateways.contains(call.gateway)) {
            ++otherCalls;
            otherServed += served;
        } else if (call.undisturbed) {
            ++cutCalls;
            cutServed += served;
        }
    }
    const bool few = cutCalls - cutServed < allowedCutOffFailures + allowedCutOffFailureShare * cutCalls;
    if (!few && cutServed * otherCalls < leastCutOffShare * otherServed * cutCalls)
        found.push_back(std::to_string(cutServed) + " of " + std::to_string(cutCalls) + " requests were served at gateways that are cut off from all endpoints, " + std::to_string(otherServed) + " of " + std::to_string(otherCalls) + " at the others");
}

bool SoakRecord::isCutOff(const CallRecord& call) const
{
    return std::any_of(this->cutOffs.begin(), this->cutOffs.end(), [&](const CutOffRecord& cut) { return cut.gateways.contains(call.gateway) && call.sentAt < cut.to && call.endedAt > cut.from; });
}

void SoakRecord::checkSignals(std::vector<std::string>& found) const
{
    std::map<std::string, const CallRecord*> callsById;
    for (const CallRecord& call : this->calls)
        callsById.emplace(call.id, &call);
    for (const SignalRecord& signal : this->endpointSignals) {
        // A gateway that is cut off hands its requests over, so another one got what the endpoint said.
        const auto call = callsById.find(signal.id);
        if (call != callsById.end() && this->isCutOff(*call->second))
            continue;
        if (signal.leaving)
            this->checkLeaving(signal, callsById, found);
        if (signal.pushback.count() > 0)
            this->checkPushback(signal, callsById, found);
    }
}

std::vector<std::string> SoakRecord::violations() const
{
    std::vector<std::string> found = this->breaches;
    for (const CallRecord& call : this->calls) {
        this->checkCall(call, found);
        this->checkRuns(call, found);
        if (call.kind == CallKind::Generation)
            this->checkStream(call, found);
    }
    this->checkConfigurations(found);
    this->checkHeldCalls(found);
    this->checkSignals(found);
    for (const CutOffRecord& cut : this->cutOffs)
        this->checkCutOff(cut, found);
    for (const bool generations : { false, true })
        this->checkRetries(generations, found);
    return found;
}

}
