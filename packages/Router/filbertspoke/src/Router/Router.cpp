#include <filbertspoke/Router>

#include "internal/RouterImpl.h"

#include <utility>

namespace filbertspoke {

Router::Router(DaemonIdentity identity, Random::result_type seed, Planner planner)
    : impl(std::make_unique<internal::RouterImpl>(std::move(identity), seed, std::move(planner)))
{
}

Router::~Router() = default;
Router::Router(Router&&) noexcept = default;

Actions Router::start(const Now& now)
{
    Actions actions;
    this->impl->start(now, actions);
    return actions;
}

Actions Router::handle(const Event& event, const Now& now)
{
    Actions actions;
    std::visit([&](const auto& alternative) { this->impl->handle(alternative, now, actions); }, event);
    this->impl->finishEvent(now, actions);
    return actions;
}

std::optional<TimePoint> Router::nextWake() const
{
    return this->impl->nextWake();
}

RouterStatus Router::status() const
{
    return this->impl->status();
}

std::optional<RequestTrace> Router::explain(const RequestId& request) const
{
    const RequestTrace* trace = this->impl->findTrace(request);
    return trace ? std::optional(*trace) : std::nullopt;
}

}
