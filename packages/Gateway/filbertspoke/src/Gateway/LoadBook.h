#ifndef FILBERTSPOKE_LOAD_BOOK_H
#define FILBERTSPOKE_LOAD_BOOK_H

#include <filbertspoke/Core>

#include <cstdint>
#include <map>

namespace filbertspoke {

/** \brief Work that daemons have in progress at one endpoint. */
struct WorkInProgress {
    double requests = 0;
    double tokenLayers = 0; ///< KV cache set aside: tokens times the layers that they pass there

    auto operator<=>(const WorkInProgress&) const = default;

    WorkInProgress& operator+=(const WorkInProgress& other)
    {
        this->requests += other.requests;
        this->tokenLayers += other.tokenLayers;
        return *this;
    }
    WorkInProgress& operator-=(const WorkInProgress& other)
    {
        this->requests -= other.requests;
        this->tokenLayers -= other.tokenLayers;
        return *this;
    }
};

using WorkByEndpoint = std::map<EndpointId, WorkInProgress>;

/** \brief The work in progress at each endpoint: this daemon's own, and what peers said of theirs. */
class LoadBook {
public:
    void begin(const EndpointId&, const WorkInProgress&);
    void end(const EndpointId&, const WorkInProgress&);

    /** \brief Takes a peer's whole load, in place of what it said before. */
    void notePeer(const DaemonId&, WorkByEndpoint, TimePoint now);
    /** \brief Forgets what peers said that have been silent since before \a now minus the time for which a word holds. */
    void expire(TimePoint now);

    /** \returns the load of all daemons at the endpoint, as far as it is known */
    WorkInProgress total(const EndpointId&) const;
    const WorkByEndpoint& own() const { return this->ownLoad; }

private:
    struct PeerLoad {
        WorkByEndpoint load;
        TimePoint saidAt;
    };

    WorkByEndpoint ownLoad;
    std::map<DaemonId, PeerLoad> byPeer;
};

}

#endif
