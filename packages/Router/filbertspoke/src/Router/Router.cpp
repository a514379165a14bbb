#include <filbertspoke/Router>

#include "internal/RouterParts.h"

#include <utility>

namespace filbertspoke {

Router::Router(DaemonIdentity identity, Random::result_type seed, Planner planner)
    : parts(std::make_unique<internal::RouterParts>(std::move(identity), seed, std::move(planner)))
{
}

Router::~Router() = default;
Router::Router(Router&&) noexcept = default;

Actions Router::start(const Now& now)
{
    Actions actions;
    this->parts->start(now, actions);
    return actions;
}

Actions Router::handle(const Event& event, const Now& now)
{
    Actions actions;
    std::visit([&](const auto& alternative) { this->parts->handle(alternative, now, actions); }, event);
    this->parts->settle(now, actions);
    return actions;
}

std::optional<TimePoint> Router::nextWake() const
{
    return this->parts->nextWake();
}

RouterStatus Router::status() const
{
    return this->parts->status();
}

std::optional<RequestTrace> Router::explain(const RequestId& request) const
{
    const RequestTrace* trace = this->parts->findTrace(request);
    return trace ? std::optional(*trace) : std::nullopt;
}

}
