#include "TraceBuffer.h"

#include <utility>

namespace filbertspoke::internal {

void TraceBuffer::add(const RequestId& request, const Now& now, std::string decision, std::string reason)
{
    auto [entry, added] = this->traces.try_emplace(request);
    RequestTrace& trace = entry->second;
    if (added) {
        trace.request = request;
        this->order.push_back(request);
    }
    if (trace.entries.size() < maximumEntriesPerRequest)
        trace.entries.push_back({ now.wall(), std::move(decision), std::move(reason) });
    if (this->order.size() > maximumRequests) {
        this->traces.erase(this->order.front());
        this->order.pop_front();
    }
}

const RequestTrace* TraceBuffer::find(const RequestId& request) const
{
    auto entry = this->traces.find(request);
    return entry == this->traces.end() ? nullptr : &entry->second;
}

}
