#ifndef FILBERTSPOKE_OVERLOADED_H
#define FILBERTSPOKE_OVERLOADED_H

namespace filbertspoke {

/** \brief A visitor for std::visit, put together from one lambda for each alternative. */
template <typename... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};

template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}

#endif
