#ifndef FILBERTSPOKE_TRIAL_H
#define FILBERTSPOKE_TRIAL_H

#include "LoadReporting.h"
#include "Policy.h"
#include "Result.h"
#include "Scenario.h"
#include "World.h"

#include <filbertspoke/Core>

#include <cstdint>

namespace filbertspoke::bench {

/** \brief One scenario under one policy; the same seed gives the same result. */
class Trial {
public:
    Trial(const Scenario&, Policy, std::uint64_t seed);

    Result run();

    /** \returns the load of each engine while it was measured */
    const LoadTrace& loads() const { return this->loadTrace; }

private:
    void startDaemons();
    void sampleLoads();
    void scheduleArrivals();
    void scheduleArrival(const AccountSpec&);
    void arrive(const AccountId&);
    void refused(const RequestId&, ErrorCode);

    void scheduleFault();
    void inject(std::monostate) { }
    void inject(const StageLost&);
    void inject(const LinksDegraded&);
    void inject(const DomainCut&);
    void inject(const HalfLeave&);
    void inject(const PlatformAway&);
    void inject(const RetryStorm&);
    void lose(FakeEngine&, bool silently);
    void endWhenIdle(FakeEngine&);

    Scenario scenario;
    Policy policy;
    std::uint64_t seed;
    World world;
    Random random;
    TimePoint loadStart;
    TimePoint loadEnd;
    double bound; ///< before the fault
    std::uint64_t requests = 0;
    bool repeatRefused = false;
    LoadTrace loadTrace;
};

}

#endif
