#include "PlacementLog.h"

#include "../GatewayContext.h"

#include <string>

namespace filbertspoke::internal {

namespace {

/** \returns the kinds of accelerators as `ID:MEGABYTES:STEPFACTOR:PREFILLFACTOR`, separated by commas */
std::string formatAccelerators(const EngineProfile& profile)
{
    std::string text;
    for (const auto& [id, accelerator] : profile.accelerators) {
        text += text.empty() ? "" : ",";
        text += id.str() + ':' + std::to_string(accelerator.memoryMegabytes) + ':' + std::to_string(accelerator.stepFactor) + ':' + std::to_string(accelerator.prefillFactor);
    }
    return text;
}

void logEngineProfile(const ServiceId& service, const EngineProfile& profile)
{
    logLine(WriteLog::Level::Info, "engine-profile", { { "service", service.str() }, { "layers", std::to_string(profile.layers) }, { "layerMegabytes", std::to_string(profile.layerMegabytes) }, { "kvBytesPerToken", std::to_string(profile.kvBytesPerToken) }, { "stepMs", std::to_string(profile.stepMs) }, { "stepMsPerSequence", std::to_string(profile.stepMsPerSequence) }, { "stepMsPerThousandContextTokens", std::to_string(profile.stepMsPerThousandContextTokens) }, { "prefillTokensPerMs", std::to_string(profile.prefillTokensPerMs) }, { "slots", std::to_string(profile.slots) }, { "loadSeconds", std::to_string(profile.loadSeconds) }, { "usualPromptTokens", std::to_string(profile.usualPromptTokens) }, { "usualOutputTokens", std::to_string(profile.usualOutputTokens) }, { "accelerators", formatAccelerators(profile) } });
}

}

void logEndpoint(const RegisteredEndpoint& endpoint)
{
    logLine(WriteLog::Level::Info, "endpoint-changed", { { "endpoint", endpoint.id.str() }, { "service", endpoint.service.str() }, { "domain", endpoint.failureDomain.str() }, { "address", formatSocketAddress(endpoint.address) }, { "accelerator", endpoint.accelerator.str() }, { "draining", endpoint.draining ? "yes" : "no" }, { "firstLayer", std::to_string(endpoint.layers.first()) }, { "lastLayer", std::to_string(endpoint.layers.last()) }, { "startedAtMs", std::to_string(endpoint.startedAtMs) }, { "heartbeat", std::to_string(endpoint.heartbeat) } });
}

bool differsBeyondHeartbeat(const RegisteredEndpoint& a, const RegisteredEndpoint& b)
{
    RegisteredEndpoint same = a;
    same.heartbeat = b.heartbeat;
    return same != b;
}

void logEngineProfiles(const ForwardingTable* before, const ForwardingTable& after)
{
    for (const auto& [name, service] : after.services()) {
        const ForwardedService* known = before ? before->findService(name) : nullptr;
        if (service.engine && (!known || known->engine != service.engine))
            logEngineProfile(name, *service.engine);
    }
}

}
