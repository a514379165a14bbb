#ifndef FILBERTSPOKE_CRASH_SCENE_H
#define FILBERTSPOKE_CRASH_SCENE_H

#include "GatewayScene.h"

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace filbertspoke {

/** \brief A GatewayScene whose endpoints crash as they begin to run some of the requests: their connections end, and they accept no new ones
 * until they restart. They serve all other requests. */
class CrashScene : public GatewayScene {
public:
    using Condition = std::function<bool(const HttpRequest&)>;

    CrashScene() { this->start(); }

    /** \brief Lets the endpoints crash under requests that meet the condition. */
    void crashUnder(const std::vector<std::string>& endpoints, Condition);
    /** \brief Sets what an endpoint sends as it crashes; by default the head of a stream, or nothing to a call, and a reset. */
    void setLastAnswer(ReplicaStandIn::Answer answer) { this->lastAnswer = std::move(answer); }
    /** \returns the answer to a crashing request of a caller. The endpoints that crash restart afterwards */
    std::string sendCrashing(const std::string& method, const std::string& target, const std::string& headers = {});
    /** \brief Sends a request of a caller.
     * \returns whether the answer has the ending */
    bool serve(const std::string& method, const std::string& target, const std::string& ending, const std::string& headers = {});
    /** \returns whether the endpoint is down */
    bool hasCrashed(const std::string& endpoint) const { return this->crashed.contains(endpoint); }
    /** \brief Lets an endpoint crash now. */
    void crash(const std::string& endpoint);

    std::size_t crashes = 0; ///< requests under which endpoints crashed

private:
    ReplicaScript answerAt(const std::string& endpoint, const HttpRequest&);
    void restartCrashed();

    Condition condition;
    ReplicaStandIn::Answer lastAnswer;
    std::set<std::string> crashed; ///< endpoints that are down
};

}

#endif
