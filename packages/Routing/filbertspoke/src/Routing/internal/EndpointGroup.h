#ifndef FILBERTSPOKE_ENDPOINT_GROUP_H
#define FILBERTSPOKE_ENDPOINT_GROUP_H

#include "../EndpointState.h"

#include <array>
#include <cstddef>
#include <vector>

namespace filbertspoke::internal {

/** \brief Interchangeable endpoints, kept apart by whether they are in the local failure domain.
 *
 * Insertion and removal take constant time.
 */
class EndpointGroup {
public:
    using Members = std::vector<EndpointState*>;

    /** \param local whether the endpoint is in the failure domain of this daemon */
    void insert(EndpointState& state, bool local)
    {
        Members& members = this->membersByLocality[local ? 0 : 1];
        state.groupPosition = members.size();
        members.push_back(&state);
    }

    void erase(EndpointState& state, bool local)
    {
        Members& members = this->membersByLocality[local ? 0 : 1];
        EndpointState* last = members.back();
        last->groupPosition = state.groupPosition;
        members[state.groupPosition] = last;
        members.pop_back();
    }

    /** \returns the endpoints of the local failure domain */
    const Members& local() const { return this->membersByLocality[0]; }
    /** \returns the endpoints of all other failure domains */
    const Members& remote() const { return this->membersByLocality[1]; }
    std::size_t size() const { return this->local().size() + this->remote().size(); }
    bool empty() const { return this->size() == 0; }
    /** \returns the summed rate of the endpoints that take new work and report one, in tokens or calls a second */
    double capacity() const { return this->summedCapacity; }
    void addCapacity(double difference) { this->summedCapacity += difference; }

    /** \brief Calls \a visit with every EndpointState of the group. */
    template <typename Visitor>
    void forEach(Visitor&& visit) const
    {
        for (const Members& members : this->membersByLocality) {
            for (const EndpointState* member : members)
                visit(*member);
        }
    }

private:
    std::array<Members, 2> membersByLocality;
    double summedCapacity = 0;
};

}

#endif
