#include "LatencyRecorder.h"

namespace filbertspoke::internal {

void LatencyRecorder::observe(const Event& event, TimePoint now)
{
    if (const auto* completion = std::get_if<CompletionReceived>(&event))
        this->openRequests[completion->request] = { now, false };
    else if (const auto* call = std::get_if<CallReceived>(&event))
        this->openRequests[call->request] = { now, false };
    else if (const auto* disconnected = std::get_if<CallerDisconnected>(&event))
        this->openRequests.erase(disconnected->request);
}

void LatencyRecorder::observe(const Action& action, TimePoint now)
{
    if (const auto* emitted = std::get_if<EmitToken>(&action))
        this->observeToken(emitted->request, now);
    else if (const auto* complete = std::get_if<CompleteRequest>(&action))
        this->openRequests.erase(complete->request);
    else if (const auto* refused = std::get_if<RefuseRequest>(&action))
        this->openRequests.erase(refused->request);
    else if (const auto* answered = std::get_if<AnswerCall>(&action)) {
        auto entry = this->openRequests.find(answered->request);
        if (entry == this->openRequests.end())
            return;
        this->metrics.observeCall(now - entry->second.previous);
        this->openRequests.erase(entry);
    }
}

void LatencyRecorder::observeToken(const RequestId& request, TimePoint now)
{
    auto entry = this->openRequests.find(request);
    if (entry == this->openRequests.end())
        return;
    Progress& progress = entry->second;
    if (progress.hasToken)
        this->metrics.observeTokenGap(now - progress.previous);
    else
        this->metrics.observeFirstToken(now - progress.previous);
    progress = { now, true };
}

}
