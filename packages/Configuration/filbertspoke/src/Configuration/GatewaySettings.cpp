#include "GatewaySettings.h"
#include "internal/MappingReader.h"

#include <string>

namespace filbertspoke {

namespace {

constexpr double maximumRatio = 10;
constexpr double maximumReserve = 1e6;
constexpr std::uint64_t minimumHeartbeatMs = 10;
constexpr std::uint64_t maximumHeartbeatMs = 60'000;
constexpr std::uint64_t minimumStopMs = 100;
constexpr std::uint64_t maximumStopMs = 600'000;
// Less would not hold a request with the largest body of the usual limits, 4 MB, and the copy of it that is forwarded.
constexpr std::uint64_t minimumRequestMemoryMb = 8;
constexpr std::uint64_t maximumRequestMemoryMb = 65'536;
constexpr std::size_t megabyte = std::size_t { 1 } << 20;
const std::vector<std::string_view> levelNames = { "debug", "info", "warning", "error" };

SocketAddress readAddress(internal::MappingReader& root, const std::string& key)
{
    const auto address = parseSocketAddress(root.text(key));
    if (!address)
        root.addProblem(key, ProblemReason::WrongType, "must be an IP address and a port, for example 10.1.0.4:8080");
    return address.value_or(SocketAddress {});
}

std::optional<SocketAddress> readOptionalAddress(internal::MappingReader& root, const std::string& key)
{
    if (!root.has(key))
        return std::nullopt;
    return readAddress(root, key);
}

std::vector<SocketAddress> readSeeds(internal::MappingReader& root)
{
    std::vector<SocketAddress> seeds;
    for (const std::string& text : root.texts("seeds", false)) {
        const auto address = parseSocketAddress(text);
        if (address)
            seeds.push_back(*address);
        else
            root.addProblem("seeds", ProblemReason::WrongType, "'" + text + "' is not an IP address with a port");
    }
    return seeds;
}

Duration readMilliseconds(internal::MappingReader& root, const std::string& key, std::uint64_t minimum, std::uint64_t maximum, Duration fallback)
{
    const auto fallbackMs = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds(root.integer(key, minimum, maximum, static_cast<std::uint64_t>(fallbackMs)));
}

}

std::variant<GatewaySettings, std::vector<DocumentProblem>> parseGatewaySettings(std::string_view yaml)
{
    std::vector<DocumentProblem> problems;
    const std::optional<YAML::Node> document = internal::parseDocument(yaml, problems);
    if (!document)
        return problems;
    internal::MappingReader root(*document, {}, 1, problems);
    GatewaySettings settings;
    settings.daemon = DaemonId(root.identifier("daemon"));
    settings.failureDomain = FailureDomainId(root.identifier("failureDomain"));
    settings.callers = readAddress(root, "callers");
    settings.readiness = readAddress(root, "readiness");
    settings.peers = readOptionalAddress(root, "peers");
    settings.handover = readOptionalAddress(root, "handover");
    settings.metrics = readOptionalAddress(root, "metrics");
    settings.seeds = readSeeds(root);
    settings.store = readAddress(root, "store");
    settings.heartbeatInterval = readMilliseconds(root, "heartbeatMs", minimumHeartbeatMs, maximumHeartbeatMs, settings.heartbeatInterval);
    internal::MappingReader budget = root.section("retryBudget", false);
    settings.retryBudget.ratio = budget.number("ratio", 0, maximumRatio, settings.retryBudget.ratio);
    settings.retryBudget.reserve = budget.number("reserve", 0, maximumReserve, settings.retryBudget.reserve);
    budget.reportUnknownKeys();
    settings.stopTimeout = readMilliseconds(root, "stopTimeoutMs", minimumStopMs, maximumStopMs, settings.stopTimeout);
    settings.requestMemoryBytes = root.integer("requestMemoryMb", minimumRequestMemoryMb, maximumRequestMemoryMb, settings.requestMemoryBytes / megabyte) * megabyte;
    settings.logLevel = static_cast<LogLevel>(root.choice("logLevel", levelNames, static_cast<std::size_t>(LogLevel::Info)));
    root.reportUnknownKeys();
    if (problems.empty())
        return settings;
    internal::sortProblems(problems);
    return problems;
}

}
