#ifndef FILBERTSPOKE_WORLD_H
#define FILBERTSPOKE_WORLD_H

#include "FakeEngine.h"
#include "Links.h"
#include "Recorder.h"
#include "Scenario.h"
#include "VirtualTime.h"

#include <filbertspoke/Router>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace filbertspoke::bench {

class FakeDaemon;

/** \brief Everything that stands around the daemons of one trial. */
struct World {
    explicit World(const Scenario&);
    ~World();

    /** \returns the platform's host list as of now */
    std::vector<ListedHost> hosts() const;
    FakeDaemon* findDaemon(const DaemonId&);

    const Scenario& scenario;
    VirtualTime time;
    std::map<EndpointId, std::unique_ptr<FakeEngine>> engines;
    std::set<EndpointId> leaving;
    std::vector<std::unique_ptr<FakeDaemon>> daemons;
    std::map<std::string, std::vector<LogRecord>> log; ///< by stream
    Links links;
    Recorder recorder;
    bool platformUp = true;
    std::function<void(const RequestId&, ErrorCode)> refused; ///< the workload's view of a refusal
};

const ModelId& benchModel();

}

#endif
