#ifndef FILBERTSPOKE_REPORT_LOG_TEXT_H
#define FILBERTSPOKE_REPORT_LOG_TEXT_H

#include <string>
#include <utility>
#include <vector>

namespace filbertspoke::testing {

using Fields = std::vector<std::pair<std::string, std::string>>;

/** \returns a log line with its time before it, in seconds */
inline std::string logText(const std::string& seconds, const std::string& daemon, const std::string& event, const Fields& fields)
{
    std::string text = "  " + seconds + ' ' + daemon + R"( {"time":"2026-01-04T11:33:13.000000Z","level":"info","daemon":")" + daemon + R"(","event":")" + event + '"';
    for (const auto& [name, value] : fields)
        text += ",\"" + name + "\":\"" + value + '"';
    return text + '}';
}

/** \returns the line of a model with ten layers and room for ten generations beside five layers on an engine */
inline std::string profileText(const std::string& seconds)
{
    return logText(seconds, "g1", "engine-profile", { { "service", "model" }, { "layers", "10" }, { "layerMegabytes", "100" }, { "kvBytesPerToken", "10000000" }, { "stepMs", "10" }, { "stepMsPerSequence", "0.1" }, { "stepMsPerThousandContextTokens", "0.1" }, { "prefillTokensPerMs", "10" }, { "slots", "0" }, { "loadSeconds", "5" }, { "usualPromptTokens", "60" }, { "usualOutputTokens", "40" }, { "accelerators", "fast:5500:1:1,slow:2000:4:4" } });
}

/** \returns the line of an engine with a fast accelerator */
inline std::string engineText(const std::string& seconds, const std::string& engine, const std::string& domain, int first, int last, int startedAtMs = 1000, int heartbeat = 1, const std::string& daemon = "g1")
{
    return logText(seconds, daemon, "endpoint-changed", { { "endpoint", engine }, { "service", "model" }, { "domain", domain }, { "address", engine.substr(0, engine.find('#')) }, { "accelerator", "fast" }, { "draining", "no" }, { "firstLayer", std::to_string(first) }, { "lastLayer", std::to_string(last) }, { "startedAtMs", std::to_string(startedAtMs) }, { "heartbeat", std::to_string(heartbeat) } });
}

}

#endif
