#include "Evaluation.h"

#include "Bound.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace filbertspoke::bench {

namespace {

constexpr Duration recoveryWindow = std::chrono::milliseconds(500);
constexpr Duration recoveryStep = std::chrono::milliseconds(50);
constexpr double recoveredPart = 0.9;
constexpr double microsecondsInSecond = 1e6;

double seconds(Duration duration) { return static_cast<double>(duration.count()) / microsecondsInSecond; }

/** \brief The part of a trial that is measured. */
struct Window {
    TimePoint start;
    TimePoint end;

    bool contains(TimePoint time) const { return time >= this->start && time < this->end; }
};

/** \returns the times of all tokens of complete answers, in order */
std::vector<TimePoint> goodTokens(const Recorder& recorder)
{
    std::vector<TimePoint> tokens;
    for (const auto& [request, record] : recorder.requests()) {
        if (record.complete && !record.wrong)
            tokens.insert(tokens.end(), record.tokens.begin(), record.tokens.end());
    }
    std::sort(tokens.begin(), tokens.end());
    return tokens;
}

double tokensPerSecond(const std::vector<TimePoint>& sorted, const Window& window)
{
    const auto first = std::lower_bound(sorted.begin(), sorted.end(), window.start);
    const auto last = std::lower_bound(sorted.begin(), sorted.end(), window.end);
    return static_cast<double>(last - first) / seconds(window.end - window.start);
}

/** \returns the time from \a fault until a window starts in which goodput is at \a target again */
std::optional<double> recovery(const std::vector<TimePoint>& tokens, TimePoint fault, TimePoint end, double target)
{
    for (TimePoint start = fault; start + recoveryWindow <= end; start += recoveryStep) {
        if (tokensPerSecond(tokens, { start, start + recoveryWindow }) >= target)
            return seconds(start - fault);
    }
    return std::nullopt;
}

std::optional<double> nextTokenAfter(const Recorder& recorder, TimePoint fault)
{
    std::vector<std::int64_t> delays;
    for (const RequestId& request : recorder.lostStages()) {
        const std::vector<TimePoint>& tokens = recorder.requests().at(request).tokens;
        const auto next = std::upper_bound(tokens.begin(), tokens.end(), fault);
        if (next != tokens.end())
            delays.push_back((*next - fault).count());
    }
    if (delays.empty())
        return std::nullopt;
    return quantiles(std::move(delays)).p95;
}

/** \brief Answer tokens of one account's requests that arrived while it was measured. */
struct AccountTokens {
    double asked = 0;
    double served = 0;
    double weight = 1;
};

/** \brief Shares \a capacity out by weight; nobody gets more than it asks for.
 * \returns the least of any account's served tokens over its due */
double leastPartOfDue(std::vector<AccountTokens> open, double capacity)
{
    double least = 1;
    while (!open.empty()) {
        double weights = 0;
        for (const AccountTokens& account : open)
            weights += account.weight;
        const auto wantsMore = [&](const AccountTokens& account) { return account.asked > capacity * account.weight / weights; };
        const auto satisfied = std::partition(open.begin(), open.end(), wantsMore);
        const bool noneSatisfied = satisfied == open.end();
        const double left = capacity;
        for (auto account = noneSatisfied ? open.begin() : satisfied; account != open.end(); ++account) {
            const double due = noneSatisfied ? left * account->weight / weights : account->asked;
            least = due > 0 ? std::min(least, account->served / due) : least;
            capacity -= due;
        }
        open.erase(noneSatisfied ? open.begin() : satisfied, open.end());
    }
    return least;
}

double fairness(const World& world, const Window& window)
{
    std::map<AccountId, AccountTokens> accounts;
    for (const AccountSpec& account : world.scenario.accounts)
        accounts[account.id].weight = account.weight;
    double capacity = 0;
    for (const auto& [request, record] : world.recorder.requests()) {
        if (!window.contains(record.arrival))
            continue;
        accounts[record.account].asked += answerTokens;
        accounts[record.account].served += record.complete ? answerTokens : 0;
        capacity += record.complete ? answerTokens : 0;
    }
    std::vector<AccountTokens> open;
    open.reserve(accounts.size());
    for (const auto& [id, tokens] : accounts)
        open.push_back(tokens);
    return leastPartOfDue(std::move(open), capacity);
}

void measureLatencies(const Recorder& recorder, const Window& window, Result& result)
{
    std::vector<std::int64_t> firsts;
    std::vector<std::int64_t> gaps;
    for (const auto& [request, record] : recorder.requests()) {
        if (record.tokens.empty())
            continue;
        if (window.contains(record.arrival))
            firsts.push_back((record.tokens.front() - record.arrival).count());
        for (std::size_t index = 1; index < record.tokens.size(); ++index) {
            if (window.contains(record.tokens[index]))
                gaps.push_back((record.tokens[index] - record.tokens[index - 1]).count());
        }
    }
    result.firstToken = quantiles(std::move(firsts));
    result.gap = quantiles(std::move(gaps));
}

bool standsAtTheEnd(const World& world, const EngineSpec& spec)
{
    return world.engines.at(spec.id)->alive();
}

}

Result evaluate(const World& world, Policy policy, std::uint64_t seed, TimePoint loadStart)
{
    const Scenario& scenario = world.scenario;
    const bool faulty = !std::holds_alternative<std::monostate>(scenario.fault);
    const TimePoint fault = loadStart + scenario.faultAt;
    const Window window { faulty ? fault : loadStart + scenario.warmUp, loadStart + scenario.length };
    const std::vector<TimePoint> tokens = goodTokens(world.recorder);

    Result result;
    result.scenario = scenario.name;
    result.policy = policy;
    result.seed = seed;
    result.offered = scenario.offeredPart * throughputBound(scenario, [](const EngineSpec&) { return true; });
    result.bound = throughputBound(scenario, [&](const EngineSpec& spec) { return standsAtTheEnd(world, spec); });
    result.goodput = tokensPerSecond(tokens, window);
    measureLatencies(world.recorder, window, result);
    if (faulty) {
        result.recoverySeconds = recovery(tokens, fault, window.end, recoveredPart * std::min(result.bound, result.offered));
        result.nextTokenP95 = nextTokenAfter(world.recorder, fault);
    }
    result.refusals = world.recorder.refusals();
    std::uint64_t refused = 0;
    for (const auto& [kind, count] : result.refusals)
        refused += count;
    for (const auto& [request, record] : world.recorder.requests()) {
        result.completed += record.complete ? 1 : 0;
        result.wrong += record.wrong ? 1 : 0;
    }
    result.unfinished = world.recorder.requests().size() - result.completed - refused;
    result.fairness = fairness(world, window);
    return result;
}

}
