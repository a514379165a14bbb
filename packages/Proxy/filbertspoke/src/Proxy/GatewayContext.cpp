#include <filbertspoke/Proxy>

#include <random>
#include <utility>

namespace filbertspoke {

namespace {

// A hub speaks several times a second; a member follows the store itself after so long without a word of its hub.
constexpr Duration hubLifetime = std::chrono::milliseconds(600);

}

GatewayContext::GatewayContext(boost::asio::io_context& io, GatewaySettings settings, GatewayWires wires)
    : io(io)
    , settings(std::move(settings))
    , wires(std::move(wires))
    , roster(this->settings.peers.value_or(this->settings.callers), this->settings.failureDomain)
    , waiters(io)
    , diagnosis(io, this->wires.engine)
    , pool(io)
    , random(std::random_device {}())
{
}

SharedRetryBudget& GatewayContext::retryBudget(const ServiceId& service)
{
    const RetryBudgetSettings& shared = this->settings.retryBudget;
    SharedRetryBudget& budget = this->budgets.try_emplace(service, shared.ratio, shared.reserve).first->second;
    budget.setGatewayCount(this->siteGateways());
    return budget;
}

std::optional<std::size_t> GatewayContext::siteGateways() const
{
    const auto size = this->roster.siteSize(bootNow());
    return size ? std::optional(size->gateways) : std::nullopt;
}

bool GatewayContext::followsStore() const
{
    return this->roster.isHub() || !this->hubHeardAt || bootNow() - *this->hubHeardAt > hubLifetime;
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
