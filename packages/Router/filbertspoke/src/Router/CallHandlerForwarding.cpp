#include "CallHandler.h"

#include <variant>
#include <vector>

// The part of CallHandler that talks to other daemons: a bound key's call runs only at the daemon
// that minted the key.
namespace filbertspoke::internal {

namespace {

RequestId localRequest(const DaemonId& peer, const RequestId& request)
{
    return RequestId(peer.str() + '/' + request.str());
}

}

void CallHandler::forward(const RequestId& request, const CallReceived& event, const BoundKey& key, const Now& now, Actions& actions)
{
    Call& call = this->calls.at(request);
    const auto peer = this->context.peers.find(key.daemon);
    if (peer == this->context.peers.end()) {
        const Refusal refusal = Refusal(ErrorCode::OutcomeUnknown, Ran::Unknown).retryAfter(retryDelay);
        this->refuse(request, refusal.withDetail("the daemon that made the key is not known"), now, actions);
        return;
    }
    call.boundKey = key.str();
    call.forwardedTo = key.daemon;
    this->deadlines.set(request, call.deadline);
    this->context.traces.add(request, now, "forwarded", key.daemon.str());
    actions.push_back(SendToPeer { peer->second, ForwardedCall { request, event.account, event.call.service, event.call.method, event.call.path, event.call.contentType, event.call.body, key.str(), call.deadline - now.monotonic() } });
}

void CallHandler::acceptForwarded(const DaemonId& from, const ForwardedCall& event, const Now& now, Actions& actions)
{
    const RequestId request = localRequest(from, event.request);
    if (this->calls.contains(request) || !this->context.peers.contains(from))
        return;
    Call& call = this->calls[request];
    call.call = ServiceCall { event.service, event.method, event.path, event.contentType, event.body };
    call.deadline = now.monotonic() + event.deadline;
    call.digest = digestOf(event.account, call.call);
    call.origin = Origin { from, event.request };
    const Result<BoundKey> key = BoundKey::parse(event.key);
    if (!key || key->daemon != this->context.identity.id)
        this->refuse(request, Refusal(ErrorCode::MalformedKey, Ran::No), now, actions);
    else
        this->runBound(request, *key, now, actions);
}

void CallHandler::acceptAnswer(const DaemonId& from, const ForwardedAnswer& event, const Now& now, Actions& actions)
{
    const auto call = this->calls.find(event.request);
    if (call == this->calls.end() || call->second.forwardedTo != from)
        return;
    if (event.refusal)
        this->refuse(event.request, *event.refusal, now, actions);
    else
        this->answer(event.request, { event.status, event.contentType, event.body }, now, actions);
}

void CallHandler::handle(const PeerMessageReceived& event, const Now& now, Actions& actions)
{
    if (const auto* call = std::get_if<ForwardedCall>(&event.message))
        this->acceptForwarded(event.from, *call, now, actions);
    else if (const auto* answer = std::get_if<ForwardedAnswer>(&event.message))
        this->acceptAnswer(event.from, *answer, now, actions);
}

void CallHandler::handle(const PeerSendFailed& event, const Now& now, Actions& actions)
{
    std::vector<RequestId> lost;
    for (const auto& [request, call] : this->calls) {
        if (call.forwardedTo == event.peer)
            lost.push_back(request);
    }
    for (const RequestId& request : lost)
        this->refuse(request, Refusal(ErrorCode::PeerUnreachable, Ran::Unknown).retryAfter(retryDelay), now, actions);
}

}
