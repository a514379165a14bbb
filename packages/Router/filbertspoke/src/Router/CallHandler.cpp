#include "CallHandler.h"

namespace filbertspoke::internal {

void CallHandler::start(const Now&, Actions&) { }

void CallHandler::handle(const CallReceived& event, const Now& now, Actions& actions)
{
    auto endpoint = ServicePicker().pick(event.call.service, {}, this->context.endpoints, this->context.random, now.monotonic());
    if (!endpoint) {
        actions.push_back(RefuseRequest { event.request, Refusal(ErrorCode::NoEndpoint, Ran::No) });
        return;
    }
    this->calls.emplace(event.request, *endpoint);
    actions.push_back(SendCall { *endpoint, event.request, 0, event.call });
}

void CallHandler::handle(const CallAnswered& event, const Now&, Actions& actions)
{
    if (this->calls.erase(event.request))
        actions.push_back(AnswerCall { event.request, event.answer });
}

void CallHandler::handle(const CallFailed& event, const Now&, Actions& actions)
{
    if (this->calls.erase(event.request))
        actions.push_back(RefuseRequest { event.request, Refusal(ErrorCode::EndpointUnreachable, event.sent ? Ran::Unknown : Ran::No) });
}

void CallHandler::handle(const CallerGone& event, const Now&, Actions&)
{
    this->calls.erase(event.request);
}

void CallHandler::handle(const RecordsRead&, const Now&, Actions&) { }
void CallHandler::handle(const ReadFailed&, const Now&, Actions&) { }
void CallHandler::handle(const RecordsAppended&, const Now&, Actions&) { }
void CallHandler::handle(const AppendFailed&, const Now&, Actions&) { }
void CallHandler::handle(const PeerReceived&, const Now&, Actions&) { }
void CallHandler::handle(const PeerUnreached&, const Now&, Actions&) { }
void CallHandler::handle(const Tick&, const Now&, Actions&) { }

std::optional<TimePoint> CallHandler::nextWake() const
{
    return std::nullopt;
}

void CallHandler::abandon(const Now&, Actions& actions)
{
    for (const auto& [request, endpoint] : this->calls)
        actions.push_back(RefuseRequest { request, Refusal(ErrorCode::Draining, Ran::Unknown) });
    this->calls.clear();
}

}
