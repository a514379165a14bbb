#include <filbertspoke/Proxy>

#include <random>
#include <utility>

namespace filbertspoke {

namespace {

// A hub sends several messages a second; a member reads the store itself after this time without one.
constexpr Duration hubReportLifetime = std::chrono::milliseconds(600);

}

GatewayContext::GatewayContext(boost::asio::io_context& io, GatewaySettings settings, GatewayCodecs codecs)
    : io(io)
    , settings(std::move(settings))
    , codecs(std::move(codecs))
    , roster(this->settings.peers.value_or(this->settings.callers), this->settings.failureDomain)
    , waiters(io)
    , failureDetector(io, this->codecs.engine)
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
    return this->roster.isHub() || !this->lastHubReportAt || bootNow() - *this->lastHubReportAt > hubReportLifetime;
}

double GatewayContext::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void GatewayContext::applyConfiguration(const ConfigurationDocument& document, const std::string& source)
{
    auto decoded = this->codecs.store->decodeConfiguration({ document.key, document.text });
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
