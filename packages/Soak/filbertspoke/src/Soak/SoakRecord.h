#ifndef FILBERTSPOKE_SOAK_RECORD_H
#define FILBERTSPOKE_SOAK_RECORD_H

#include <filbertspoke/Core>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace filbertspoke::soak {

using Clock = std::chrono::steady_clock;

// The time limit that callers send, and that their routes have room for.
constexpr std::chrono::milliseconds callLimit { 3000 };
// Retries that the gateways may make beyond the ratio, in the window.
constexpr unsigned retryReserve = 20;
constexpr double retryRatio = 0.2;
constexpr std::chrono::seconds retryWindow { 10 };
constexpr int eventsOfAStream = 6;

enum class CallKind {
    Booking, ///< may run once
    LookUp, ///< may be repeated
    Generation,
    Probe, ///< a look-up on a route that a certain version of the configuration added
};

/** \brief One request as its caller saw it. */
struct CallRecord {
    std::string id;
    CallKind kind = CallKind::LookUp;
    std::size_t gateway = 0;
    unsigned start = 0; ///< of the gateway's process, counted
    int version = 0; ///< that added a probe's route
    Clock::time_point sentAt;
    Clock::time_point endedAt;
    bool undisturbed = false; ///< the gateway's process ran all the while
    unsigned status = 0; ///< 0 without an answer
    bool whole = false;
    std::string echoedId;
    std::string returnTime;
    std::string body;

    bool operator==(const CallRecord&) const = default;
};

/** \brief What an endpoint said about itself in answer to one request. */
struct SignalRecord {
    std::string id; ///< of the request
    std::string endpoint;
    unsigned start = 0; ///< of the endpoint, counted
    bool leaving = false;
    std::chrono::milliseconds pushback {}; ///< time for which it wants no requests; 0 when it did not say so
    Clock::time_point at;

    bool operator==(const SignalRecord&) const = default;
};

/** \brief A request as it reached an endpoint, whether it ran there or not. */
struct ArrivalRecord {
    std::string id;
    std::string endpoint;
    unsigned start = 0; ///< of the endpoint, counted
    Clock::time_point at;

    bool operator==(const ArrivalRecord&) const = default;
};

/** \brief A time during which requests and answers may be held up between gateways and an endpoint. */
struct LinkFault {
    std::string endpoint;
    Clock::time_point from;
    Clock::time_point to;

    bool operator==(const LinkFault&) const = default;
};

/** \brief A time during which gateways are cut off from all endpoints. */
struct CutOffRecord {
    std::set<std::size_t> gateways;
    Clock::time_point from;
    Clock::time_point to;

    bool operator==(const CutOffRecord&) const = default;
};

/** \brief One request as it ran at an endpoint. */
struct RunRecord {
    std::string id;
    std::string endpoint;
    std::string account;
    bool keyPassedOn = false;
    Clock::time_point at;

    bool operator==(const RunRecord&) const = default;
};

/** \brief What callers and endpoints saw, and the promises that it breaks. */
class SoakRecord {
public:
    void note(CallRecord call) { this->calls.push_back(std::move(call)); }
    void note(RunRecord run) { this->runs[run.id].push_back(std::move(run)); }
    void note(SignalRecord signal) { this->endpointSignals.push_back(std::move(signal)); }
    void note(ArrivalRecord arrival) { this->arrivals[arrival.endpoint].push_back(std::move(arrival)); }
    void note(LinkFault fault) { this->linkFaults.push_back(std::move(fault)); }
    void note(CutOffRecord cutOff) { this->cutOffs.push_back(std::move(cutOff)); }
    /** \brief Notes a breach that was seen as it happened. */
    void breach(std::string what) { this->breaches.push_back(std::move(what)); }

    /** \returns the breaches of promises, in words; a breach that concerns a request names its id */
    std::vector<std::string> violations() const;
    std::size_t count() const { return this->calls.size(); }
    std::size_t answered() const;
    /** \returns runs at the endpoint since a time */
    std::size_t runsSince(const std::string& endpoint, Clock::time_point) const;

private:
    void checkCall(const CallRecord&, std::vector<std::string>& found) const;
    void checkRuns(const CallRecord&, std::vector<std::string>& found) const;
    void checkStream(const CallRecord&, std::vector<std::string>& found) const;
    void checkConfigurations(std::vector<std::string>& found) const;
    void checkHeldCalls(std::vector<std::string>& found) const;
    void checkRetries(bool generations, std::vector<std::string>& found) const;
    void checkCutOff(const CutOffRecord&, std::vector<std::string>& found) const;
    bool isCutOff(const CallRecord&) const;
    void checkSignals(std::vector<std::string>& found) const;
    void checkLeaving(const SignalRecord&, const std::map<std::string, const CallRecord*>& callsById, std::vector<std::string>& found) const;
    void checkPushback(const SignalRecord&, const std::map<std::string, const CallRecord*>& callsById, std::vector<std::string>& found) const;

    std::vector<CallRecord> calls;
    std::map<std::string, std::vector<RunRecord>> runs; ///< by request
    std::vector<SignalRecord> endpointSignals;
    std::map<std::string, std::vector<ArrivalRecord>> arrivals; ///< by endpoint
    std::vector<LinkFault> linkFaults;
    std::vector<CutOffRecord> cutOffs;
    std::vector<std::string> breaches;
};

}

#endif
