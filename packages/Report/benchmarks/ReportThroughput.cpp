// Measures the time and the memory for a report from 1 GB of log lines. The budget is 30 s and 300 MB.
#include <filbertspoke/Report>

#include <sys/resource.h>

#include <chrono>
#include <cstdio>
#include <string>

using namespace filbertspoke::report;

namespace {

constexpr std::size_t totalBytes = 1'000'000'000;
constexpr std::size_t gateways = 100;
constexpr std::int64_t requestsPerSecond = 2'000;
// Of 16 requests, this many are refused and come again.
constexpr std::size_t refusedOfSixteen = 2;

std::string head(std::int64_t microseconds, std::size_t gateway, const char* event, std::size_t request)
{
    char text[256];
    std::snprintf(text, sizeof text, "%10.4f gateway-%zu {\"time\":\"2026-01-04T11:33:13.030551Z\",\"level\":\"info\",\"daemon\":\"gateway-%zu\",\"event\":\"%s\",\"request\":\"%016zx\",\"service\":\"drafting-models\"",
        static_cast<double>(microseconds) / 1e6, gateway, gateway, event, request);
    return text;
}

std::size_t addRequest(LogFold& fold, std::size_t request)
{
    const std::int64_t arrival = static_cast<std::int64_t>(request) * 1'000'000 / requestsPerSecond;
    const std::size_t gateway = request % gateways;
    const bool refused = request % 16 < refusedOfSixteen;
    char fingerprint[64];
    std::snprintf(fingerprint, sizeof fingerprint, "request:%032zx", request / 16);
    const std::string decision = R"(,"configuration":"2","endpointsRevision":"82","othersWorkAgeMs":"134"})";
    const std::string chosen = refused
        ? head(arrival, gateway, "request-given-up", request) + R"(,"reason":"no-pipeline","possibleRuns":"0","avoided":"0","rateLimitMs":"0","timeLeftMs":"15000","returnAfterMs":"3100")" + decision
        : head(arrival, gateway, "chain-chosen", request) + R"(,"stages":"11","first":"i-8852fa3465","firstTokenMs":"31","perTokenUs":"11599","crossings":"0","waitedMs":"7","resumesAfter":"","sharePerSecond":"")" + decision;
    const std::string pace = head(arrival + 2'400'000, gateway, "stream-pace", request) + R"(,"events":"27","perEventUs":"29189","expectedUs":"24116"})";
    const std::string ended = head(arrival + 2'500'000, gateway, "request-ended", request) + R"(,"route":"r-ee9y8z5","fingerprint":")" + fingerprint + R"(","outcome":")" + (refused ? "no-pipeline\",\"status\":\"503\",\"tookMs\":\"0\"" : "answered\",\"status\":\"200\",\"tookMs\":\"2500\"") + R"(,"sends":"1","configuration":"2"})";
    fold.add(chosen);
    if (!refused)
        fold.add(pace);
    fold.add(ended);
    return chosen.size() + (refused ? 0 : pace.size()) + ended.size();
}

}

int main()
{
    const auto begin = std::chrono::steady_clock::now();
    LogFold fold;
    std::size_t bytes = 0;
    std::size_t requests = 0;
    while (bytes < totalBytes)
        bytes += addRequest(fold, requests++);
    const Report report = fold.finish();
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    std::printf("%zu bytes, %zu requests, %lld lines, %zu rows: %.1f s (%.1f s of processor time) with making the lines, %.0f MB at most\n", bytes, requests, static_cast<long long>(report.lines.read), report.seconds.size(), seconds, static_cast<double>(usage.ru_utime.tv_sec) + static_cast<double>(usage.ru_utime.tv_usec) / 1e6, static_cast<double>(usage.ru_maxrss) / 1024);
    return 0;
}
