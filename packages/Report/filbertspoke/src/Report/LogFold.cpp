#include <filbertspoke/Report>

#include <algorithm>
#include <set>
#include <tuple>
#include <variant>

namespace filbertspoke::report {

namespace {

constexpr std::int64_t microsecondsPerSecond = 1'000'000;
constexpr std::int64_t microsecondsPerMs = 1000;
// Statuses that promise that the request did not run and will not.
constexpr std::int64_t refusals[] = { 400, 401, 404, 408, 413, 421, 429, 431, 503 };

std::int64_t wholeSeconds(std::int64_t instant)
{
    const std::int64_t seconds = instant / microsecondsPerSecond;
    return instant % microsecondsPerSecond < 0 ? seconds - 1 : seconds;
}

std::string serviceOf(const LogLine& line)
{
    const std::string_view service = line.field("service");
    return std::string(service.empty() ? "?" : service);
}

std::string runKey(const LogLine& line)
{
    return line.daemon + ' ' + std::string(line.field("request"));
}

}

void LogFold::add(std::string_view text)
{
    if (text.find_first_not_of(" \t\r\n") == std::string_view::npos)
        return;
    const ParsedLine parsed = parseLogLine(text);
    std::visit(Overloaded {
                   [this](const LogLine& line) { this->addLine(line); },
                   [this](DamagedLine) { ++this->lines.damaged; },
                   [this](ForeignLine) { ++this->lines.foreign; },
               },
        parsed);
}

void LogFold::addLine(const LogLine& line)
{
    ++this->lines.read;
    this->hasOffsets = this->hasOffsets || line.offset.has_value();
    this->earliest = std::min(this->earliest.value_or(line.instant()), line.instant());
    if (auto event = placementEvent(line))
        this->placement.push_back({ line.instant(), std::move(*event) });
    else if (line.event == "started")
        this->endRunsOf(line.daemon, line.instant());
    else if (!line.field("request").empty())
        this->addRequestLine(line);
}

void LogFold::addRequestLine(const LogLine& line)
{
    if (line.event == "chain-chosen") {
        this->startRun(line);
    } else if (line.event == "stream-pace") {
        this->endRun(line);
    } else if (line.event == "attempt-failed") {
        this->addFailed(line);
    } else if (line.event == "request-given-up") {
        this->addGivenUp(line);
    } else if (line.event == "request-ended") {
        this->addEnded(line);
    } else if (line.event == "request-refused") {
        SecondCounts& counts = this->counts(line.instant(), "-");
        ++counts.offered;
        ++counts.refused[std::string(line.field("reason"))];
    } else if (line.event == "request-handed-over") {
        ++this->counts(line.instant(), serviceOf(line)).handedOver;
    } else if (line.event == "request-taken-over") {
        this->takenOver.insert(runKey(line));
    }
}

void LogFold::startRun(const LogLine& line)
{
    const std::string service = serviceOf(line);
    SecondCounts& counts = this->counts(line.instant(), service);
    ++counts.chains;
    counts.resumed += line.field("resumesAfter").empty() ? 0 : 1;
    this->endRun(line);
    this->runs[line.daemon].emplace(line.field("request"), service);
    this->addRun(line.instant(), service, 1);
}

void LogFold::addRun(std::int64_t instant, const std::string& service, std::int64_t change)
{
    this->counts(instant, service);
    this->runsStarted[{ wholeSeconds(instant), service }] += change;
}

void LogFold::endRun(const LogLine& line)
{
    const auto daemon = this->runs.find(line.daemon);
    if (daemon == this->runs.end())
        return;
    const auto run = daemon->second.find(std::string(line.field("request")));
    if (run == daemon->second.end())
        return;
    this->addRun(line.instant(), run->second, -1);
    daemon->second.erase(run);
}

void LogFold::endRunsOf(const std::string& daemon, std::int64_t instant)
{
    const auto entry = this->runs.find(daemon);
    if (entry == this->runs.end())
        return;
    for (const auto& [request, service] : entry->second)
        this->addRun(instant, service, -1);
    this->runs.erase(entry);
}

void LogFold::addFailed(const LogLine& line)
{
    SecondCounts& counts = this->counts(line.instant(), serviceOf(line));
    ++counts.attemptsFailed[std::string(line.field("reason"))];
    counts.interrupted += line.number("events").value_or(0) > 0 ? 1 : 0;
    counts.retried += line.field("retry") == "yes" ? 1 : 0;
    this->endRun(line);
}

void LogFold::addGivenUp(const LogLine& line)
{
    ++this->counts(line.instant(), serviceOf(line)).givenUp[std::string(line.field("reason"))];
    if (const auto returnAfter = line.number("returnAfterMs"))
        ++this->counts(line.instant() + *returnAfter * microsecondsPerMs, serviceOf(line)).toldToReturn;
}

void LogFold::addEnded(const LogLine& line)
{
    this->endRun(line);
    if (this->takenOver.erase(runKey(line)) > 0)
        return;
    const std::string service = serviceOf(line);
    const std::string outcome(line.field("outcome"));
    const std::int64_t arrival = line.instant() - line.number("tookMs").value_or(0) * microsecondsPerMs;
    const bool answered = outcome == "answered";
    const bool refused = !answered && std::find(std::begin(refusals), std::end(refusals), line.number("status").value_or(0)) != std::end(refusals);
    ++this->counts(arrival, service).offered;
    SecondCounts& counts = this->counts(line.instant(), service);
    counts.answered += answered ? 1 : 0;
    counts.brokenOff += outcome == "broken-off" ? 1 : 0;
    if (refused)
        ++counts.refused[outcome];
    else if (!answered)
        ++counts.failed[outcome];
    this->returns.add(line.field("fingerprint"), { arrival, line.instant(), this->serviceIndex(service), answered }, refused);
}

SecondCounts& LogFold::counts(std::int64_t instant, std::string_view service)
{
    return this->bySecond[{ wholeSeconds(instant), std::string(service) }];
}

std::uint32_t LogFold::serviceIndex(std::string_view service)
{
    const auto found = std::find(this->services.begin(), this->services.end(), service);
    const auto index = static_cast<std::uint32_t>(found - this->services.begin());
    if (found == this->services.end())
        this->services.emplace_back(service);
    return index;
}

void LogFold::foldReturns(std::map<SecondKey, SecondRow>& rows) const
{
    for (const CallerReturn& repeat : this->returns.find()) {
        const std::string& service = this->services[repeat.service];
        ++rows[{ wholeSeconds(repeat.arrival), service }].counts.repeats;
        rows[{ wholeSeconds(repeat.end), service }].counts.repeatsAnswered += repeat.answered ? 1 : 0;
    }
}

void LogFold::foldRunning(std::map<SecondKey, SecondRow>& rows) const
{
    std::map<std::string, std::int64_t> running;
    for (auto& [key, row] : rows) {
        const auto change = this->runsStarted.find(key);
        running[key.second] += change == this->runsStarted.end() ? 0 : change->second;
        row.running = running[key.second];
    }
}

void LogFold::foldPlacement(std::map<SecondKey, SecondRow>& rows, std::vector<CopiesRow>& copies) const
{
    std::vector<TimedEvent> sorted = this->placement;
    std::stable_sort(sorted.begin(), sorted.end(), [](const TimedEvent& a, const TimedEvent& b) { return a.instant < b.instant; });
    PlacementState state;
    std::map<std::string, PlacedCapacity> now;
    auto next = sorted.begin();
    std::set<std::int64_t> seconds;
    for (const auto& [key, row] : rows)
        seconds.insert(key.first);
    for (const std::int64_t second : seconds) {
        std::map<std::string, PlacedCapacity> leastCapacity = now;
        for (; next != sorted.end() && wholeSeconds(next->instant) <= second; ++next) {
            const auto change = state.apply(next->event);
            if (!change)
                continue;
            SecondCounts& counts = rows[{ second, change->service }].counts;
            counts.enginesLost += change->lost ? 1 : 0;
            counts.enginesReturned += change->returned ? 1 : 0;
            counts.ordersSent += change->orderSent ? 1 : 0;
            counts.ordersDone += change->orderDone ? 1 : 0;
            const auto capacity = change->orderSent ? std::nullopt : state.capacity(change->service);
            if (!capacity)
                continue;
            now[change->service] = *capacity;
            const auto known = leastCapacity.try_emplace(change->service, *capacity).first;
            if (std::tie(capacity->atOnce, capacity->atOnceWithinDomains) < std::tie(known->second.atOnce, known->second.atOnceWithinDomains))
                known->second = *capacity;
            copies.push_back({ next->instant, change->service, state.copies(change->service) });
        }
        for (const auto& [service, capacity] : leastCapacity)
            rows[{ second, service }].capacity = capacity;
    }
}

Report LogFold::finish(std::optional<std::int64_t> start) const
{
    Report report;
    report.lines = this->lines;
    report.start = start.value_or(this->hasOffsets ? 0 : wholeSeconds(this->earliest.value_or(0)) * microsecondsPerSecond);
    std::map<SecondKey, SecondRow> rows;
    for (const auto& [key, counts] : this->bySecond)
        rows[key].counts = counts;
    for (const TimedEvent& event : this->placement)
        rows.try_emplace({ wholeSeconds(event.instant), "-" });
    this->foldReturns(rows);
    this->foldPlacement(rows, report.copies);
    this->foldRunning(rows);
    for (auto& [key, row] : rows) {
        row.second = key.first - wholeSeconds(report.start);
        row.service = key.second;
        if (row.service != "-" || row.counts != SecondCounts {})
            report.seconds.push_back(std::move(row));
    }
    for (CopiesRow& row : report.copies)
        row.time -= report.start;
    return report;
}

}
