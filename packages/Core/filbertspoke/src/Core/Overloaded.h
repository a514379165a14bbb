#ifndef FILBERTSPOKE_OVERLOADED_H
#define FILBERTSPOKE_OVERLOADED_H

namespace filbertspoke {

/** \brief Combines lambdas, one for each alternative, into a visitor for std::visit. */
template <typename... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};

template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}

#endif
