#include <filbertspoke/Proxy>

#include <random>
#include <utility>

namespace filbertspoke {

GatewayContext::GatewayContext(boost::asio::io_context& io, GatewaySettings settings, GatewayWires wires)
    : io(io)
    , settings(std::move(settings))
    , wires(std::move(wires))
    , waiters(io)
    , pool(io)
    , random(std::random_device {}())
{
}

RetryBudget& GatewayContext::retryBudget(const ServiceId& service)
{
    const auto& budget = this->settings.retryBudget;
    return this->budgets.try_emplace(service, budget.ratio, budget.reserve).first->second;
}

double GatewayContext::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void GatewayContext::takeDocument(const ConfigurationDocument& document, const std::string& source)
{
    auto decoded = this->wires.store->decodeConfiguration({ document.key, document.text });
    if (!decoded) {
        logLine(WriteLog::Level::Error, "configuration-unreadable", { { "key", document.key }, { "source", source }, { "reason", decoded.error().message() } });
        return;
    }
    if (!*decoded || (this->table && (*decoded)->version() <= this->table->version()))
        return;
    logLine(WriteLog::Level::Info, "configuration-in-force", { { "version", std::to_string((*decoded)->version()) }, { "before", this->table ? std::to_string(this->table->version()) : "none" }, { "source", source } });
    this->table = std::make_shared<const ForwardingTable>(std::move(**decoded));
    this->document = document;
}

void logLine(WriteLog::Level level, const std::string& event, std::vector<std::pair<std::string, std::string>> fields)
{
    LogWriter::write({ level, event, std::move(fields) });
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}
