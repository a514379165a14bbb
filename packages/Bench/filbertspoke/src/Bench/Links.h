#ifndef FILBERTSPOKE_LINKS_H
#define FILBERTSPOKE_LINKS_H

#include "Scenario.h"

#include <filbertspoke/Core>

#include <chrono>
#include <map>
#include <optional>

namespace filbertspoke::bench {

/** \brief One delay for each link between a daemon and an engine, and a cut that may stop some of them. */
class Links {
public:
    /** \returns the one-way delay */
    Duration delay(const FailureDomainId& daemon, const EngineSpec& engine) const
    {
        const Duration usual = daemon == engine.failureDomain ? withinDomain : betweenDomains;
        auto degraded = this->degradedBy.find(engine.id);
        const double factor = engine.linkFactor * (degraded == this->degradedBy.end() ? 1 : degraded->second);
        return Duration(static_cast<Duration::rep>(static_cast<double>(usual.count()) * factor));
    }

    bool connected(const FailureDomainId& left, const FailureDomainId& right) const
    {
        return !this->cutOff || (left == *this->cutOff) == (right == *this->cutOff);
    }

    void degrade(const EndpointId& engine, double factor) { this->degradedBy[engine] = factor; }
    void cut(const FailureDomainId& domain) { this->cutOff = domain; }
    void heal() { this->cutOff.reset(); }

    static constexpr Duration withinDomain = std::chrono::microseconds(100);
    static constexpr Duration betweenDomains = std::chrono::microseconds(400);

private:
    std::map<EndpointId, double> degradedBy;
    std::optional<FailureDomainId> cutOff;
};

}

#endif
