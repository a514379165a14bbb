#ifndef FILBERTSPOKE_ENDPOINT_GROUP_H
#define FILBERTSPOKE_ENDPOINT_GROUP_H

#include "../EndpointState.h"

#include <vector>

namespace filbertspoke::internal {

/** \brief Endpoints that can stand in for each other; insertion and removal in constant time. */
class EndpointGroup {
public:
    void insert(EndpointState& state)
    {
        state.groupPosition = this->members.size();
        this->members.push_back(&state);
    }

    void erase(EndpointState& state)
    {
        EndpointState* last = this->members.back();
        last->groupPosition = state.groupPosition;
        this->members[state.groupPosition] = last;
        this->members.pop_back();
    }

    bool empty() const { return this->members.empty(); }
    std::size_t size() const { return this->members.size(); }
    const EndpointState& operator[](std::size_t position) const { return *this->members[position]; }
    auto begin() const { return this->members.begin(); }
    auto end() const { return this->members.end(); }

private:
    std::vector<EndpointState*> members;
};

}

#endif
