#ifndef FILBERTSPOKE_ENDPOINT_GROUP_H
#define FILBERTSPOKE_ENDPOINT_GROUP_H

#include "../EndpointState.h"

#include <array>
#include <cstddef>
#include <vector>

namespace filbertspoke::internal {

/** \brief Endpoints that can stand in for each other, those of the own failure domain apart.
 *
 * Insertion and removal take constant time.
 */
class EndpointGroup {
public:
    using Members = std::vector<EndpointState*>;

    void insert(EndpointState& state, bool local)
    {
        Members& members = this->membersByPlace[local ? 0 : 1];
        state.groupPosition = members.size();
        members.push_back(&state);
    }

    void erase(EndpointState& state, bool local)
    {
        Members& members = this->membersByPlace[local ? 0 : 1];
        EndpointState* last = members.back();
        last->groupPosition = state.groupPosition;
        members[state.groupPosition] = last;
        members.pop_back();
    }

    /** \returns the endpoints of the own failure domain */
    const Members& local() const { return this->membersByPlace[0]; }
    /** \returns the endpoints of all other failure domains */
    const Members& remote() const { return this->membersByPlace[1]; }
    std::size_t size() const { return this->local().size() + this->remote().size(); }
    bool empty() const { return this->size() == 0; }
    /** \returns the rate at full load of the endpoints that take new work and report one */
    double capacity() const { return this->summedCapacity; }
    void addCapacity(double difference) { this->summedCapacity += difference; }

    /** \brief Calls \a visit with every EndpointState of the group. */
    template <typename Visitor>
    void forEach(Visitor&& visit) const
    {
        for (const Members& members : this->membersByPlace) {
            for (const EndpointState* member : members)
                visit(*member);
        }
    }

private:
    std::array<Members, 2> membersByPlace;
    double summedCapacity = 0;
};

}

#endif
