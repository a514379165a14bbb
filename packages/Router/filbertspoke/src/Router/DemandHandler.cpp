#include "DemandHandler.h"

#include <chrono>

namespace filbertspoke::internal {

namespace {

constexpr Duration reportInterval = std::chrono::milliseconds(500);
constexpr std::size_t maximumReceivers = 16; ///< bounds what reports cost; who isn't heard keeps an even part

}

void DemandHandler::handle(const HostsListed&, const Now& now, Actions&)
{
    if (!this->nextReport)
        this->nextReport = now.monotonic();
}

void DemandHandler::handle(const PeerMessageReceived& event, const Now& now, Actions& actions)
{
    const auto* report = std::get_if<DemandReport>(&event.message);
    AccountLimiter* limiter = this->completions.limiter();
    if (!report || !limiter)
        return;
    limiter->updatePeerDemand(event.from, report->demands, now.monotonic());
    this->completions.startWaiting(now, actions);
}

void DemandHandler::handle(const Tick&, const Now& now, Actions& actions)
{
    if (!this->nextReport || now.monotonic() < *this->nextReport)
        return;
    this->nextReport = now.monotonic() + reportInterval;
    DemandReport report;
    if (const AccountLimiter* limiter = this->completions.limiter())
        report.demands = limiter->demand(now.monotonic());
    std::size_t receivers = 0;
    for (const ListedDaemon& peer : this->membership.directory().peersIn(MemberState::Alive)) {
        if (++receivers > maximumReceivers)
            return;
        actions.push_back(SendToPeer { peer, report });
    }
}

}
