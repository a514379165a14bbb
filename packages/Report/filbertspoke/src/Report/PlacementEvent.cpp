#include <filbertspoke/Report>

#include <algorithm>
#include <sstream>

namespace filbertspoke::report {

namespace {

// An engine's answer to an order that has begun.
constexpr std::string_view acceptedOutcome = "status 202";
constexpr std::int64_t microsecondsPerMs = 1000;
// More layers than any model has: ranges of damaged lines are cut to it.
constexpr std::int64_t maximumLayers = 10'000;

std::uint32_t layerNumber(const LogLine& line, std::string_view field)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(line.number(field).value_or(0), 0, maximumLayers));
}

LayerRange layersOf(const LogLine& line)
{
    const std::uint32_t first = layerNumber(line, "firstLayer");
    return { first, std::max(first, layerNumber(line, "lastLayer")) };
}

EngineRead readEngine(const LogLine& line)
{
    EngineRead engine;
    engine.endpoint = EndpointId(std::string(line.field("endpoint")));
    engine.service = line.field("service");
    engine.domain = line.field("domain");
    engine.address = line.field("address");
    engine.accelerator = AcceleratorId(std::string(line.field("accelerator")));
    engine.draining = line.field("draining") == "yes";
    engine.layers = layersOf(line);
    engine.startedAtMs = line.number("startedAtMs").value_or(0);
    engine.heartbeat = line.number("heartbeat").value_or(0);
    return engine;
}

/** \brief Reads `ID:MEGABYTES:STEPFACTOR:PREFILLFACTOR`, separated by commas. */
std::map<AcceleratorId, AcceleratorProfile> readAccelerators(const std::string& text)
{
    std::map<AcceleratorId, AcceleratorProfile> accelerators;
    std::istringstream entries(text);
    for (std::string entry; std::getline(entries, entry, ',');) {
        std::istringstream parts(entry);
        std::string id;
        AcceleratorProfile accelerator;
        char colon = ':';
        if (std::getline(parts, id, ':') && parts >> accelerator.memoryMegabytes >> colon >> accelerator.stepFactor >> colon >> accelerator.prefillFactor)
            accelerators.emplace(AcceleratorId(id), accelerator);
    }
    return accelerators;
}

ProfileRead readProfile(const LogLine& line)
{
    ProfileRead read;
    read.service = line.field("service");
    EngineProfile& profile = read.profile;
    profile.layers = layerNumber(line, "layers");
    profile.layerMegabytes = line.decimal("layerMegabytes");
    profile.kvBytesPerToken = line.decimal("kvBytesPerToken");
    profile.stepMs = line.decimal("stepMs");
    profile.stepMsPerSequence = line.decimal("stepMsPerSequence");
    profile.stepMsPerThousandContextTokens = line.decimal("stepMsPerThousandContextTokens");
    profile.prefillTokensPerMs = line.decimal("prefillTokensPerMs");
    profile.slots = static_cast<std::uint32_t>(std::max<std::int64_t>(0, line.number("slots").value_or(0)));
    profile.loadSeconds = line.decimal("loadSeconds");
    profile.usualPromptTokens = line.decimal("usualPromptTokens");
    profile.usualOutputTokens = line.decimal("usualOutputTokens");
    profile.accelerators = readAccelerators(std::string(line.field("accelerators")));
    return read;
}

}

std::optional<PlacementEvent> placementEvent(const LogLine& line)
{
    const EndpointId endpoint(std::string(line.field("endpoint")));
    if (line.event == "endpoint-changed")
        return readEngine(line);
    if (line.event == "endpoint-removed")
        return EngineRemoved { endpoint };
    if (line.event == "engine-taken-as-lost" || line.event == "endpoint-crashed")
        return EngineLost { endpoint, line.time / microsecondsPerMs - line.number("ageMs").value_or(0) };
    if (line.event == "layer-order" && line.field("outcome") == acceptedOutcome)
        return OrderAccepted { endpoint, layersOf(line) };
    if (line.event == "engine-profile")
        return readProfile(line);
    return std::nullopt;
}

}
