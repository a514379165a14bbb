#ifndef FILBERTSPOKE_LOAD_TRACKER_H
#define FILBERTSPOKE_LOAD_TRACKER_H

#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace filbertspoke {

/** \brief Work in progress at one endpoint, and the rate at which it begins. */
struct WorkInProgress {
    double requests = 0;
    double tokenLayers = 0; ///< reserved KV cache: tokens times the layers that they pass at the endpoint
    double requestRate = 0; ///< requests sent per second, if the endpoint has a rate limit

    auto operator<=>(const WorkInProgress&) const = default;

    WorkInProgress& operator+=(const WorkInProgress& other)
    {
        this->requests += other.requests;
        this->tokenLayers += other.tokenLayers;
        this->requestRate += other.requestRate;
        return *this;
    }
    WorkInProgress& operator-=(const WorkInProgress& other)
    {
        this->requests -= other.requests;
        this->tokenLayers -= other.tokenLayers;
        this->requestRate -= other.requestRate;
        return *this;
    }
};

using WorkByEndpoint = std::map<EndpointId, WorkInProgress>;

/** \brief Tracks the work in progress at each endpoint, from three sources: the work of this daemon, reports of its members (the daemons
 * that report to this one) and sums reported for groups of other daemons. */
class LoadTracker {
public:
    /** \brief Adds work of this daemon. */
    void begin(const EndpointId&, const WorkInProgress&);
    /** \brief Subtracts work that was added with begin(). */
    void end(const EndpointId&, const WorkInProgress&);

    /** \brief Replaces the rates at which this daemon sends requests to endpoints with a rate limit. */
    void setRequestRates(const std::map<EndpointId, double>&);

    /** \brief Replaces the work of a member with its latest report. */
    void replaceMemberLoad(const DaemonId&, WorkByEndpoint, TimePoint now);
    /** \brief Replaces the total work of a group of other daemons with the latest report. */
    void replaceGroupLoad(const std::string& group, WorkByEndpoint, TimePoint now);
    /** \brief Records that the reports of other daemons have just been refreshed.
     * \param synchronizedPeers number of other daemons that choose endpoints by the same reports. Until the next refresh each of them
     * is assumed to begin as much work as this daemon does; otherwise all of them would fill the same free endpoint. */
    void markRefreshed(std::size_t synchronizedPeers, TimePoint now);
    /** \brief Records that an endpoint refused work for lack of memory although it seemed to have room for it.
     *
     * Load pattern: other daemons have filled the endpoint since their last reports. Until reports that are newer than the refusal have arrived,
     * the endpoint would stay the best choice for this daemon's other requests, which it refuses too. The missing amount therefore counts as
     * work of others until then.
     * Called after the refused work was subtracted by end().
     * \param capacity of the endpoint, in tokens times layers
     * \param needed by the refused work, in tokens times layers */
    void noteRefusal(const EndpointId&, double capacity, double needed, TimePoint now);
    /** \brief Discards all reports of other daemons; needed when the role of this daemon among them changes. */
    void clearRemoteLoads();
    /** \brief Discards expired reports. */
    void expire(TimePoint now);

    /** \returns the estimated work of all daemons at the endpoint */
    WorkInProgress total(const EndpointId&) const;
    /** \returns the share of the endpoint's capacity that other daemons may have begun to use since their last reports, at most 0.25
     *
     * Load pattern: daemons that know the same choose the same endpoint until the next reports; how much work that is depends on their number, the
     * age of the reports and the rate at which they begin work, for which this daemon's own rate stands.
     * \param otherDaemons number of other daemons
     * \param layerShare share of the model's layers that the endpoint holds
     * \param capacity of the endpoint, in tokens times layers */
    double unreportedShare(std::size_t otherDaemons, double layerShare, double capacity, TimePoint now) const;
    const WorkByEndpoint& own() const { return this->ownWork; }
    /** \returns the work of this daemon and its members */
    WorkByEndpoint withMembers() const;
    /** \returns the work of all daemons without \a member */
    WorkByEndpoint withoutMember(const DaemonId& member) const;

private:
    /** \returns the work of this daemon and that in the reports of others */
    WorkInProgress reported(const EndpointId&) const;

    struct LoadReport {
        WorkByEndpoint work;
        TimePoint receivedAt;
    };

    /** \brief Work of others that is known from a refusal. */
    struct MissingLoad {
        double tokenLayers = 0;
        TimePoint refusedAt;
    };

    WorkByEndpoint ownWork;
    WorkByEndpoint begunSinceRefresh; ///< work of this daemon that began after the last refresh
    std::map<EndpointId, MissingLoad> missing;
    std::optional<TimePoint> refreshedAt;
    double beginningRate = 0; ///< tokens times layers per second that this daemon begins, as an exponential moving average
    std::size_t synchronizedDaemons = 0; ///< other daemons that choose endpoints by the same reports
    std::map<DaemonId, LoadReport> members;
    std::map<std::string, LoadReport> groups;
};

}

#endif
