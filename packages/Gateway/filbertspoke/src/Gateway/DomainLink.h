#ifndef FILBERTSPOKE_DOMAIN_LINK_H
#define FILBERTSPOKE_DOMAIN_LINK_H

#include <filbertspoke/Core>

#include <algorithm>
#include <compare>

namespace filbertspoke {

/** \brief The undirected link between two failure domains. */
class DomainLink {
public:
    DomainLink(FailureDomainId a, FailureDomainId b)
        : lower(std::min(a, b))
        , higher(std::max(a, b))
    {
    }

    /** \returns the key under which a LoadTracker counts work on the link */
    EndpointId name() const { return EndpointId("link/" + this->lower.str() + "/" + this->higher.str()); }

    auto operator<=>(const DomainLink&) const = default;

private:
    FailureDomainId lower;
    FailureDomainId higher;
};

}

#endif
