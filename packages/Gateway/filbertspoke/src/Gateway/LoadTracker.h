#ifndef FILBERTSPOKE_LOAD_BOOK_H
#define FILBERTSPOKE_LOAD_BOOK_H

#include <filbertspoke/Core>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

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

/** \brief The work in progress at each endpoint: this daemon's own, that of the daemons that report to this one, and
 * the sums that others told of the rest. */
class LoadTracker {
public:
    void begin(const EndpointId&, const WorkInProgress&);
    void end(const EndpointId&, const WorkInProgress&);

    /** \brief Takes the whole work of a daemon that reports to this one, in place of what it said before. */
    void replaceMemberLoad(const DaemonId&, WorkByEndpoint, TimePoint now);
    /** \brief Takes the sum of a group of other daemons, in place of the group's last one. */
    void replaceGroupLoad(const std::string& group, WorkByEndpoint, TimePoint now);
    /** \brief Marks that what is known of others has just been brought up to date.
     * \param alike how many other daemons choose endpoints by the same knowledge; until the next mark each of them is
     * assumed to begin as much work as this one does, so that they don't all fill the same gap */
    void markRefreshed(std::size_t alike);
    /** \brief Forgets all that others said: this daemon's place among them has changed. */
    void clearRemoteLoads();
    /** \brief Forgets what was said too long ago. */
    void expire(TimePoint now);

    /** \returns the work of all daemons at the endpoint, as far as it is known */
    WorkInProgress total(const EndpointId&) const;
    const WorkByEndpoint& own() const { return this->ownWork; }
    /** \returns the work of this daemon and those that report to it */
    WorkByEndpoint withMembers() const;
    /** \returns the work of all daemons but \a member */
    WorkByEndpoint withoutMember(const DaemonId& member) const;

private:
    struct Word {
        WorkByEndpoint work;
        TimePoint saidAt;
    };

    WorkByEndpoint ownWork;
    WorkByEndpoint begunSinceMark;
    std::size_t alikeDaemons = 0;
    std::map<DaemonId, Word> members;
    std::map<std::string, Word> groups;
};

}

#endif
