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

bool GatewayContext::takeTable(ForwardingTable table, const std::string& source)
{
    if (this->table && table.version() <= this->table->version())
        return false;
    logLine(WriteLog::Level::Info, "configuration-in-force", { { "version", std::to_string(table.version()) }, { "before", this->table ? std::to_string(this->table->version()) : "none" }, { "source", source } });
    this->table = std::make_shared<const ForwardingTable>(std::move(table));
    return true;
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
