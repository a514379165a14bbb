#include "LatencyRecorder.h"

namespace filbertspoke::internal {

void LatencyRecorder::observe(const Event& event, TimePoint now)
{
    if (const auto* completion = std::get_if<CompletionReceived>(&event))
        this->requests[completion->request] = { now, false };
    else if (const auto* call = std::get_if<CallReceived>(&event))
        this->requests[call->request] = { now, false };
    else if (const auto* gone = std::get_if<CallerDisconnected>(&event))
        this->requests.erase(gone->request);
}

void LatencyRecorder::observe(const Action& action, TimePoint now)
{
    if (const auto* emitted = std::get_if<EmitToken>(&action))
        this->token(emitted->request, now);
    else if (const auto* complete = std::get_if<CompleteRequest>(&action))
        this->requests.erase(complete->request);
    else if (const auto* refused = std::get_if<RefuseRequest>(&action))
        this->requests.erase(refused->request);
    else if (const auto* answered = std::get_if<AnswerCall>(&action)) {
        auto entry = this->requests.find(answered->request);
        if (entry == this->requests.end())
            return;
        this->metrics.observeCall(now - entry->second.last);
        this->requests.erase(entry);
    }
}

void LatencyRecorder::token(const RequestId& request, TimePoint now)
{
    auto entry = this->requests.find(request);
    if (entry == this->requests.end())
        return;
    Progress& progress = entry->second;
    if (progress.hasToken)
        this->metrics.observeTokenGap(now - progress.last);
    else
        this->metrics.observeFirstToken(now - progress.last);
    progress = { now, true };
}

}
