#include "Settings.h"
#include "internal/MappingReader.h"

#include <limits>

namespace filbertspoke {

namespace {

constexpr std::uint64_t maximumPort = 65535;
constexpr std::uint64_t minimumBodyBytes = 1024;
constexpr std::uint64_t maximumBodyBytes = 64 * 1024 * 1024;
constexpr std::uint64_t minimumTimeoutMs = 10;
constexpr std::uint64_t maximumTimeoutMs = 3'600'000;
constexpr std::uint64_t maximumConnections = 1'000'000;

const std::vector<std::string_view> levelNames = { "debug", "info", "warning", "error" };

SocketAddress readListener(internal::MappingReader& root, const std::string& key, std::uint16_t defaultPort)
{
    internal::MappingReader section = root.section(key, true);
    SocketAddress address;
    address.address = section.ipAddress("address");
    address.port = static_cast<std::uint16_t>(section.integer("port", 0, maximumPort, defaultPort));
    section.reportUnknownKeys();
    return address;
}

SocketAddress readPlatformAddress(internal::MappingReader& platform, const std::string& key)
{
    internal::MappingReader section = platform.section(key, true);
    SocketAddress address;
    address.address = section.ipAddress("address");
    address.port = static_cast<std::uint16_t>(section.integer("port", 1, maximumPort));
    section.reportUnknownKeys();
    return address;
}

Duration readTimeout(internal::MappingReader& section, const std::string& key, Duration fallback)
{
    const auto fallbackMs = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds(section.integer(key, minimumTimeoutMs, maximumTimeoutMs, fallbackMs));
}

CallerLimits readLimits(internal::MappingReader& root)
{
    internal::MappingReader section = root.section("limits", false);
    CallerLimits limits;
    limits.bodyBytes = section.integer("bodyBytes", minimumBodyBytes, maximumBodyBytes, limits.bodyBytes);
    limits.headerTimeout = readTimeout(section, "headerTimeoutMs", limits.headerTimeout);
    limits.idleTimeout = readTimeout(section, "idleTimeoutMs", limits.idleTimeout);
    limits.connections = static_cast<std::uint32_t>(section.integer("connections", 1, maximumConnections, limits.connections));
    limits.drainTimeout = readTimeout(section, "drainMs", limits.drainTimeout);
    section.reportUnknownKeys();
    return limits;
}

Settings readSettings(internal::MappingReader& root)
{
    const DaemonId daemon(root.identifier("daemon"));
    Settings::Builder builder(daemon, FailureDomainId(root.identifier("failureDomain")));
    builder.callers(readListener(root, "callers", defaultCallersPort));
    builder.peers(readListener(root, "peers", defaultPeersPort));
    builder.operators(readListener(root, "operators", defaultOperatorsPort));
    internal::MappingReader platform = root.section("platform", true);
    SocketAddress log = readPlatformAddress(platform, "log");
    builder.platform(std::move(log), readPlatformAddress(platform, "hosts"));
    platform.reportUnknownKeys();
    builder.limits(readLimits(root));
    builder.logLevel(static_cast<LogLevel>(root.choice("logLevel", levelNames, static_cast<std::size_t>(LogLevel::Info))));
    if (root.has("randomSeed"))
        builder.randomSeed(root.integer("randomSeed", 0, std::numeric_limits<std::uint64_t>::max()));
    root.reportUnknownKeys();
    return builder.build();
}

}

std::string_view name(LogLevel level)
{
    return levelNames[static_cast<std::size_t>(level)];
}

std::variant<Settings, std::vector<SettingsProblem>> parseSettings(std::string_view yaml)
{
    std::vector<SettingsProblem> problems;
    const std::optional<YAML::Node> document = internal::parseDocument(yaml, problems);
    if (!document)
        return problems;
    internal::MappingReader root(*document, {}, 1, problems);
    Settings settings = readSettings(root);
    if (problems.empty())
        return settings;
    internal::sortProblems(problems);
    return problems;
}

}
