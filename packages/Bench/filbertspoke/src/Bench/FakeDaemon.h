#ifndef FILBERTSPOKE_FAKE_DAEMON_H
#define FILBERTSPOKE_FAKE_DAEMON_H

#include "World.h"

#include <filbertspoke/Router>

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace filbertspoke::bench {

constexpr const char* benchVersion = "1";

/** \brief A Router whose actions are carried out against the fakes, with the delays of the links. */
class FakeDaemon {
public:
    FakeDaemon(DaemonSpec, Planner, Random::result_type seed, World&);

    void start();
    void handle(const Event&);
    /** \brief Fails the steps that wait for an engine whose connections were reset. */
    void connectionsReset(const FakeEngine&);

    const DaemonSpec& spec() const { return this->daemonSpec; }

private:
    using StepKey = std::pair<RequestId, std::uint64_t>;

    void carryOut(const Actions&);
    void carryOut(const EmitToken&);
    void carryOut(const CompleteRequest&);
    void carryOut(const RefuseRequest&);
    void carryOut(const SendStep&);
    void carryOut(const CancelSteps&);
    void carryOut(const WatchEndpoint&);
    void carryOut(const UnwatchEndpoint&);
    void carryOut(const AppendRecords&);
    void carryOut(const ReadRecords&);
    void carryOut(const SendToPeer&);
    template <typename Other>
    void carryOut(const Other&)
    {
    }

    void handleAfter(Duration, Event);
    void reach(FakeEngine&, const Step&);
    void answer(const FakeEngine&, const StepReceipt&);
    void fail(const FakeEngine&, const Step&, bool sent);
    void poll(const EndpointId&);
    void readHosts();
    void scheduleTick();
    Duration delayTo(const FakeEngine&) const;
    bool reaches(const FakeEngine&) const;

    DaemonSpec daemonSpec;
    World& world;
    Router router;
    std::map<StepKey, SendStep> outstanding;
    std::set<EndpointId> watched;
    std::optional<TimePoint> tickAt;
};

}

#endif
