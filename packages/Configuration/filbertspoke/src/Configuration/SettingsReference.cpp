#include "Settings.h"

namespace filbertspoke {

const std::vector<SettingsKey>& settingsReference()
{
    static const std::vector<SettingsKey> keys = {
        { "daemon", "name", "addis-bole-1", true, "Name of this daemon, unique among all daemons." },
        { "failureDomain", "name", "addis-bole", true, "Failure domain of the daemon's host." },
        { "callers.address", "IP number", "127.0.0.1", true, "Where the platform's balancer reaches the daemon." },
        { "callers.port", "0 to 65535", "8080", false, "TCP port for callers; 0 takes a free one." },
        { "peers.address", "IP number", "127.0.0.1", true, "Where other daemons reach the daemon." },
        { "peers.port", "0 to 65535", "8081", false, "TCP port for other daemons; 0 takes a free one." },
        { "operators.address", "IP number", "127.0.0.1", true, "Where operators read metrics, health, readiness and status." },
        { "operators.port", "0 to 65535", "8082", false, "TCP port for operators; 0 takes a free one." },
        { "platform.log.address", "IP number", "127.0.0.1", true, "Where the platform's log listens." },
        { "platform.log.port", "1 to 65535", "9001", true, "TCP port of the platform's log." },
        { "platform.hosts.address", "IP number", "127.0.0.1", true, "Where the platform's host list listens." },
        { "platform.hosts.port", "1 to 65535", "9002", true, "TCP port of the platform's host list." },
        { "limits.bodyBytes", "1024 to 67108864, bytes", "1048576", false, "The longest request body from a caller." },
        { "limits.headerTimeoutMs", "10 to 3600000, milliseconds", "5000", false, "Time for a caller to send the whole header of a request." },
        { "limits.idleTimeoutMs", "10 to 3600000, milliseconds", "60000", false, "A caller's connection without a request is closed after this time." },
        { "limits.connections", "1 to 1000000", "10000", false, "Open connections from callers at the same time." },
        { "limits.drainMs", "10 to 3600000, milliseconds", "30000", false, "How long a graceful stop waits for requests in progress." },
        { "logLevel", "debug, info, warning or error", "info", false, "The least severe lines in the log." },
        { "randomSeed", "0 to 18446744073709551615", "", false, "Makes the daemon's random choices repeatable; for tests only." },
    };
    return keys;
}

namespace {

constexpr std::size_t indentWidth = 4;

// Writes the headings of the sections that contain a key, except for the sections that are already open.
void openSections(std::string& text, std::vector<std::string_view>& open, std::string_view key)
{
    std::vector<std::string_view> sections;
    for (std::size_t dot = key.find('.'); dot != std::string_view::npos; dot = key.find('.')) {
        sections.push_back(key.substr(0, dot));
        key.remove_prefix(dot + 1);
    }
    for (std::size_t depth = 0; depth < sections.size(); ++depth) {
        if (depth < open.size() && open[depth] == sections[depth])
            continue;
        open.resize(depth);
        text += std::string(depth * indentWidth, ' ') + std::string(sections[depth]) + ":\n";
    }
    open = sections;
}

}

std::string settingsSample()
{
    std::string text = "# Settings of one daemon: filbertspoked --settings FILE. A value that equals the default may be left out.\n";
    std::vector<std::string_view> open;
    for (const SettingsKey& entry : settingsReference()) {
        openSections(text, open, entry.key);
        const std::string indent(open.size() * indentWidth, ' ');
        const std::string name(entry.key.substr(entry.key.rfind('.') + 1));
        text += indent + "# " + std::string(entry.meaning) + " (" + std::string(entry.type) + (entry.required ? ", required)\n" : ")\n");
        text += indent + (entry.sample.empty() ? "# " : "") + name + ":" + (entry.sample.empty() ? " 1" : " " + std::string(entry.sample)) + "\n";
    }
    return text;
}

}
